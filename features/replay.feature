Feature: The protocols keep their invariants under any interleaving

  Generated traces interleave deliveries, losses, duplicates, reorderings,
  restarts with empty memory and racing holders, owners and operators. For
  each rule a variant without it must violate the invariant on a recorded
  trace, which shows that the check can fail.

  Scenario Outline: <invariant>
    When 300 generated traces and 1500 seeded ones of the <model> model run
    Then no trace violates the invariant

    Examples:
      | invariant                                          | model     |
      | A step runs on one layout                          | lockstep  |
      | A step of an engine that arms itself, too          | relayout  |
      | A key runs at most once                            | oncekeys  |
      | Not-run means not run, and answers are one's own   | exchange  |
      | All readers of the log fold the same, none reverts | configlog |

  Scenario: Entries follow a store through restores, cuts and restarts
    When 60 generated traces and 100 seeded ones of the restores model run
    Then no trace violates the invariant

  Scenario: Entries learn of changes in time while neighbours come and go
    When 40 generated traces and 60 seeded ones of the silent_reads model run
    Then no trace violates the invariant

  Scenario Outline: The <model> model finds a fault <rules>
    When the recorded trace of the <model> model <rules> is replayed
    Then it violates the invariant
    But the same trace with the rules as built does not

    Examples:
      | model        | rules                                       |
      | lockstep     | without fences                              |
      | lockstep     | without the decision phase                  |
      | lockstep     | without holding                             |
      | lockstep     | without asking again after a loss           |
      | relayout     | without holding                             |
      | relayout     | without refusing earlier holders            |
      | relayout     | without arming every rank                   |
      | relayout     | without knowing the silent rank             |
      | oncekeys     | without asking earlier homes                |
      | oncekeys     | without refusing keys from before a restart |
      | exchange     | without tombstones                          |
      | exchange     | without checking the incarnation            |
      | exchange     | without sequence numbers                    |
      | restores     | without the incarnation                     |
      | silent_reads | without confirmations                       |

  Scenario Outline: A group converges to its target layout once faults cease
    When 200 seeded traces of the <model> model run and faults cease
    Then every group converges to the target layout

    Examples:
      | model    |
      | lockstep |
      | relayout |

  Scenario: A holder learns the state of empty ranks that answer one by one
    When empty ranks first answer in different rounds
    Then the holder has the state of all of them within a few rounds
