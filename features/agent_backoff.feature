Feature: An agent leaves its upstream alone for as long as that asks

  Scenario: Attempts are refused as not run until the time is over
    Given an agent whose upstream has refused a request and asked for 3 s
    Then an attempt after 0.1 s is refused as "backoff"
    And an attempt after 2.8 s is refused as "backoff"
    And an attempt after 3.1 s is admitted

  Scenario: A refusal that asks for less does not shorten the time
    Given an agent whose upstream has refused a request and asked for 3 s
    When the upstream asks for 0.5 s
    Then an attempt after 2.0 s is refused as "backoff"

  Scenario Outline: What asks for nothing closes nothing
    Given an agent whose upstream has answered <status> with "<header>"
    Then an attempt after 0.1 s is admitted

    Examples:
      | status | header                                     |
      | 503    | Date: x                                    |
      | 503    | Retry-After: soon                          |
      | 200    | Retry-After: 3                             |
      | 301    | Retry-After: 3                             |

  Scenario: Entries are given no slots of it meanwhile
    Given an agent whose upstream has refused a request and asked for 3 s
    Then its gate is closed after 2.9 s and open after 3.1 s
