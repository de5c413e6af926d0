Feature: An answer that a rank sends twice is not taken for the next one

  Scenario: A late copy of a report is taken for the answer to an order
    Given an agent that has read a report of its rank
    When it sends an order and a copy of the report arrives
    Then the order has no outcome yet
    When the rank accepts the order
    Then the outcome of the order is taken

  Scenario: A report from before an order is taken for one after it
    Given an agent that has read a report of its rank
    When it sends an order that the rank accepts
    And it asks for a report and a copy of the earlier report arrives
    Then it has no report yet

  Scenario: A connection that was busy during an order is used after it
    Given an agent that is reading a report of its rank
    When it sends an order that the rank accepts
    And the report arrives
    And it asks for a report and a copy of the earlier report arrives
    Then it has no report yet
