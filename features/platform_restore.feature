Feature: The store comes back from an older copy

  Scenario: A log that ends below the offset reached is reported
    Given a fleet whose store names no era
    When the operator states 3 more versions
    And the store comes back from a copy 1.5 s old
    Then its log says that the store lacks the records asked for
    And its log says once that the log ends below the offset reached
