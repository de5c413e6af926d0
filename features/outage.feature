Feature: A group is out of service when none of its ranks accepts work

  Scenario: A group in which only some ranks refuse stays in service
    Given a group of 8 ranks of which 4 refuse all requests
    When 15 streams per second are requested for 8 s
    Then the group is never considered out of service
    And requests are refused only by ranks

  Scenario: A stalled group is out of service after three refusals
    Given a stalled group of 8 ranks that refuse all requests
    When 15 streams per second are requested for 2 s
    Then the group is considered out of service
    And at most 12 requests reach its ranks
