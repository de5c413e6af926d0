Feature: An entry treats the groups of ranks of a target independently

  Scenario: A group that refuses requests does not close the others
    Given an entry that knows 2 groups of 4 ranks
    When 3 ranks of the first group refuse requests
    Then requests go only to the second group
    And no request is refused at the entry
    When a quarter of a second has passed
    Then one request may try the first group
    And the next ones go only to the second group
    When the first group answers
    Then requests may go to both groups

  Scenario: A target is closed when all its groups refuse requests
    Given an entry that knows 2 groups of 4 ranks
    When 3 ranks of the first group refuse requests
    And 3 ranks of the second group refuse requests
    Then requests are refused at the entry

  Scenario: A slow group does not lower the limit of another
    Given an entry that knows 2 groups of 4 ranks
    When the first group's pauses are 0.2 s where 0.12 s is good
    And 12 of 24 slots of each group are in use
    Then requests go only to the second group

  Scenario: Entries learn the groups from agents and from each other
    Given 2 groups of ranks with agents and 2 entries
    Then both entries know the group of every rank within 20 s
    And only one entry has queried the agents

  Scenario: An entry that starts asks another entry before the agents
    Given 2 groups of ranks with agents and 2 entries
    Then both entries know the group of every rank within 20 s
    When the first entry by name is killed and the other queries the agents
    And the first entry by name starts again
    Then it learns every group before it queries the agents
