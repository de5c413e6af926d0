Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators confirm conflicting plans at the same moment
    Given a cluster of its own with engines 0
    When 8 pairs of conflicting plans are confirmed at once from two halls
    Then of each pair exactly one is accepted
    And the loser's error names what overtook it
    And all processes come to the same configuration

  Scenario: The answers of appends are lost
    Given a cluster of its own with engines 0
    When the log loses the answer of a plan and of its confirmation
    Then the plan is accepted all the same, once

  Scenario: The log is down while an operator confirms
    Given a cluster of its own with engines 0
    When an operator confirms while the log is down
    Then the answer comes within 8 s and says that the outcome is unknown
    And callers are served all the while
    And confirming the same plan once the log is back is accepted

  Scenario: An entry born while the log is down serves what its peers have
    Given a cluster of its own with engines 0
    When an entry restarts with nothing while the log is down
    Then it is ready at the offset of its peers
    And it serves callers

  Scenario: An entry that can ask neither the log nor a peer serves nothing
    Given a cluster of its own with engines 0
    When an entry restarts with nothing and can ask nobody
    Then it is not ready and refuses callers as not run

  Scenario: The log drops the records that a new entry would need
    Given a cluster of its own with engines 0 and snapshots every 16 records
    When 40 changes are made and the log keeps only the last 30 records
    Then an entry that restarts with nothing comes to the same offset

  Scenario: A hall cut off goes on serving and catches up
    Given a cluster of its own with engines 0
    When hall "b" is cut off from the other hall and the platform
    And the operator changes something in hall "a"
    Then callers in both halls are served
    And hall "b" is behind but has not reverted
    And it catches up within 5 s of the end of the cut

  Scenario: All processes of a hall restart together while the log is down
    Given a cluster of its own with engines 0
    When all processes of hall "b" restart while the log is down
    Then hall "b" serves callers again on the same offset

  Scenario: An agent is back and another stops before an entry has its grant
    Given a cluster of its own with engines 0
    When an agent is back and the other one stops 10 times over
    Then no caller was refused

  Scenario: An agent that starts before its upstream is ready soon after it
    Given a cluster of its own with engines 0
    When nobody has called for 6 s and an agent starts 3 s before its upstream
    Then the agent is ready within 8 s of its upstream though nobody calls

  Scenario: Every process is replaced one by one under load
    Given a cluster of its own with engines 0
    When every entry and agent is stopped and started again in turn under load
    Then no offset went down
    And no caller lost an answer
