Feature: Entries together send each upstream what it can take

  Scenario: Two entries share the slots of one worker
    Given a fleet of one worker and 2 entries
    When 10 requests that never end are sent by turns through both entries
    Then the worker runs 6 and 4 are refused as not run

  Scenario: The requests of an entry that has died no longer count
    Given a fleet of one worker and 2 entries
    When 6 requests that never end are sent through entry "f1"
    Then entry "f2" refuses
    When entry "f1" dies
    Then entry "f2" serves within 5 s

  Scenario: Datagrams that are none of ours do no harm
    Given a fleet of one worker and 2 entries
    When 300 generated datagrams are sent to entry "f1"
    Then entry "f1" still serves

  Scenario: The limit follows the pauses between events
    When a group's pauses are 0.2 s for 3 s where 0.12 s is good
    Then at its limit the pauses would be good, and no more than a tenth shorter
    When a group's pauses are 0.05 s for 25 s where 0.12 s is good
    Then its limit has come up to the whole

  Scenario: A group that stood still once is not shut for it
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And one of its pauses is 1.0 s
    And a group's pauses are 0.06 s for 1 s where 0.12 s is good
    Then its limit has come up to the whole
    When a group's pauses are 0.3 s for 2 s where 0.12 s is good
    Then its limit is at most half

  Scenario: A rank that is slow by itself does not shut its group
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And a group's pauses are 0.6 s for 3 s where 0.12 s is good
    Then there is no limit, as it would do no good
    When a group's pauses are 0.06 s for 25 s where 0.12 s is good
    And a group's pauses are 0.3 s for 2 s where 0.12 s is good
    Then its limit is at most half

  Scenario: A rank that is no longer slow leaves no limit behind
    When a group's pauses are 0.06 s for 5 s where 0.12 s is good
    And a group's pauses are 0.6 s for 4 s where 0.12 s is good
    And a group's pauses are 0.06 s for 6 s where 0.12 s is good
    Then at least half of its slots may be in use

  Scenario: A limit that is kept in vain is given up
    When a group's pauses are 0.2 s for 3 s where 0.12 s is good
    And they stay so though its limit is kept
    Then there is no limit, as it would do no good

  Scenario: Streams keep their pace though what is wanted shifts
    When 6 entries are asked for a fifth more streams than a group bears for 60 s
    And what a stream costs more than doubles for 1.5 s of each 4 s
    Then at least 7 of 10 streams keep the pause that is good
    And at least 7 of 10 of those that the group could have kept in time were

  Scenario: Entries by themselves find the number of streams that keeps pace
    When 7 entries follow a group whose pause grows with its streams
    Then the pause stays within the good one for 9 of 10 steps after 3 s
    And at least 6 of 10 slots that the pause allows are in use

  Scenario: How much may wait at an upstream follows from how long work takes
    Then 6 slots taken for 2.0 s let none wait where 0.4 s is wanted
    And 6 slots taken for 0.02 s let 6 wait where 0.1 s is wanted
