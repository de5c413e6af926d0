Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators confirm conflicting plans concurrently
    Given a cluster of its own with engines 0
    When 8 pairs of conflicting plans are confirmed concurrently from two halls
    Then of each pair exactly one is accepted
    And the error of the refused plan names the conflicting object
    And all processes reach the same configuration

  Scenario: The answers of appends are lost
    Given a cluster of its own with engines 0
    When the log loses the answer of a plan and of its confirmation
    Then the plan is still accepted, exactly once

  Scenario: The log is down while an operator confirms
    Given a cluster of its own with engines 0
    When an operator confirms while the log is down
    Then the answer comes within 8 s and says that the outcome is unknown
    And callers are served throughout
    And confirming the same plan once the log is back is accepted

  Scenario: An entry that starts while the log is down gets its state from peers
    Given a cluster of its own with engines 0
    When an entry restarts without state while the log is down
    Then it is ready at the offset of its peers
    And it serves callers

  Scenario: An entry that reaches neither the log nor a peer refuses requests
    Given a cluster of its own with engines 0
    When an entry restarts without state and reaches neither log nor peers
    Then it is not ready and refuses requests as not run

  Scenario: A new entry starts from a snapshot after the log was truncated
    Given a cluster of its own with engines 0 and snapshots every 16 records
    When 40 changes are made and the log keeps only the last 30 records
    Then an entry that restarts without state reaches the same offset

  Scenario: A partitioned hall continues to serve and catches up
    Given a cluster of its own with engines 0
    When hall "b" is partitioned from the other hall and the platform
    And the operator makes a change in hall "a"
    Then callers in both halls are served
    And hall "b" is behind but has not reverted
    And it catches up within 5 s after the partition ends

  Scenario: All processes of a hall restart together while the log is down
    Given a cluster of its own with engines 0
    When all processes of hall "b" restart while the log is down
    Then hall "b" serves callers again on the same offset

  Scenario: An agent is back and another stops before an entry has its grant
    Given a cluster of its own with engines 0
    When an agent returns and the other one stops, 10 times
    Then no caller was refused

  Scenario: An agent that starts before its upstream is ready soon after it
    Given a cluster of its own with engines 0
    When there were no calls for 6 s and an agent starts 3 s before its upstream
    Then the agent is ready within 8 s after its upstream, without calls

  Scenario: Every process is replaced one by one under load
    Given a cluster of its own with engines 0
    When every entry and agent is stopped and started again in turn under load
    Then no offset decreased
    And no caller lost an answer
