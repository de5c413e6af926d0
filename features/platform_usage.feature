Feature: Entries jointly limit the requests at each upstream

  Scenario: Two entries share the slots of one worker
    Given a fleet of one worker and 2 entries
    When 10 requests that never end are sent alternately through both entries
    Then the worker runs 6 and 4 are refused as not run

  Scenario: The requests of a dead entry no longer count
    Given a fleet of one worker and 2 entries
    When 6 requests that never end are sent through entry "f1"
    Then entry "f2" refuses
    When entry "f1" dies
    Then entry "f2" serves within 5 s

  Scenario: Invalid datagrams are ignored
    Given a fleet of one worker and 2 entries
    When 300 generated datagrams are sent to entry "f1"
    Then entry "f1" still serves

  Scenario: The limit follows the pauses between events
    When a group's pauses are 0.2 s for 3 s where 0.12 s is good
    Then at its limit the pauses would be good, and no more than a tenth shorter
    When a group's pauses are 0.05 s for 25 s where 0.12 s is good
    Then its limit has risen to the maximum

  Scenario: A single stall does not close a group
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And one of its pauses is 1.0 s
    And a group's pauses are 0.06 s for 1 s where 0.12 s is good
    Then its limit has risen to the maximum
    When a group's pauses are 0.3 s for 2 s where 0.12 s is good
    Then its limit is at most half

  Scenario: A single slow rank does not close its group
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And a group's pauses are 0.6 s for 3 s where 0.12 s is good
    Then there is no limit, as it would be ineffective
    When a group's pauses are 0.06 s for 25 s where 0.12 s is good
    And a group's pauses are 0.3 s for 2 s where 0.12 s is good
    Then its limit is at most half

  Scenario: The limit is lifted once a slow rank has recovered
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And a group's pauses are 0.6 s for 4 s where 0.12 s is good
    And a group's pauses are 0.06 s for 6 s where 0.12 s is good
    Then at least half of its slots may be in use

  Scenario: An ineffective limit is dropped
    When a group's pauses are 0.2 s for 3 s where 0.12 s is good
    And they stay so though its limit is observed
    Then there is no limit, as it would be ineffective

  Scenario: Streams keep their pace while the load shifts
    When 6 entries are asked for a fifth more streams than a group can run for 60 s
    And the cost of a stream more than doubles for 1.5 s of each 4 s
    Then at least 7 of 10 streams keep the good pause
    And at least 7 of 10 of those that the group could have kept in time were

  Scenario: Entries independently find the number of streams that keeps pace
    When 7 entries follow a group whose pause grows with its streams
    Then the pause stays within the good one for 9 of 10 steps after 3 s
    And at least 6 of 10 slots that the pause allows are in use

  Scenario: The queue of an upstream follows from the duration of its requests
    Then 6 slots taken for 2.0 s let none wait where 0.4 s is the goal
    And 6 slots taken for 0.02 s let 6 wait where 0.1 s is the goal
