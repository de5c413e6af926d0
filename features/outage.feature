Feature: A group is out when none of its ranks takes work

  Scenario: While some ranks of a group refuse, the others go on serving
    Given a group of 8 ranks of which 4 refuse all that arrives
    When 15 streams a second are asked for during 8 s
    Then the group is never taken to be out
    And no rank that refuses nothing stands idle while a caller is refused

  Scenario: A group without progress is out after three refusals
    Given a group of 8 ranks that stands still and refuses all that arrives
    When 15 streams a second are asked for during 2 s
    Then the group is taken to be out
    And 12 requests at most reach its ranks
