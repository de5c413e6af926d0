Feature: An agent observes the backoff that its upstream requests

  Scenario: Attempts are refused as not run until the backoff expires
    Given an agent whose upstream has refused a request with a backoff of 3 s
    Then an attempt after 0.1 s is refused as "backoff"
    And an attempt after 2.8 s is refused as "backoff"
    And an attempt after 3.1 s is admitted

  Scenario: A later, shorter backoff does not shorten the first
    Given an agent whose upstream has refused a request with a backoff of 3 s
    When the upstream requests a backoff of 0.5 s
    Then an attempt after 2.0 s is refused as "backoff"

  Scenario Outline: Answers that request no backoff start none
    Given an agent whose upstream has answered <status> with "<header>"
    Then an attempt after 0.1 s is admitted

    Examples:
      | status | header                                     |
      | 503    | Date: x                                    |
      | 503    | Retry-After: soon                          |
      | 200    | Retry-After: 3                             |
      | 301    | Retry-After: 3                             |

  Scenario: The agent grants no slots during the backoff
    Given an agent whose upstream has refused a request with a backoff of 3 s
    Then its gate is closed after 2.9 s and open after 3.1 s
