Feature: The decisions keep the promises under any interleaving

  Generated traces interleave deliveries, losses, doubles, reorderings,
  restarts with empty memory and racing holders, homes and operators. For
  each rule a variant without it must break the promise on a kept trace, so
  that these checks can fail.

  Scenario Outline: <promise>
    When 300 generated traces and 1500 seeded ones of the <model> model run
    Then none breaks the promise

    Examples:
      | promise                                            | model     |
      | A step runs on one layout                          | lockstep  |
      | A step of an engine that arms itself, too          | relayout  |
      | A key runs at most once                            | oncekeys  |
      | Not-run means not run, and answers are one's own   | exchange  |
      | All readers of the log fold the same, none reverts | configlog |

  Scenario Outline: The <model> model finds a fault <rules>
    When the kept trace of the <model> model <rules> runs
    Then it breaks the promise
    But the same trace with the rules as built does not

    Examples:
      | model    | rules                                        |
      | lockstep | without fences                               |
      | lockstep | without the decision phase                   |
      | lockstep | without holding                              |
      | lockstep | without asking again after a loss            |
      | relayout | without holding                              |
      | relayout | without refusing earlier holders             |
      | relayout | without arming every rank                    |
      | relayout | without knowing the silent rank              |
      | oncekeys | without asking earlier homes                 |
      | oncekeys | without refusing keys from before a restart  |
      | exchange | without tombstones                           |
      | exchange | without checking the incarnation     |
      | exchange | without sequence numbers                     |

  Scenario Outline: A group comes onto its layout once faults cease
    When 200 seeded traces of the <model> model run and faults cease
    Then every group ends on the layout wanted

    Examples:
      | model    |
      | lockstep |
      | relayout |

  Scenario: Ranks that hold nothing and answer one after the other are all known
    When ranks that hold nothing first answer in different rounds
    Then the holder knows all of them in a few rounds
