Feature: The circuit breaker counts a burst of failures as one event

  Requests that fail together must not double the open interval one by one.

  Scenario Outline: <count> requests fail together
    Given an upstream with <count> requests in progress
    When all of them fail at once
    Then the circuit allows a request after 1 s

    Examples:
      | count |
      | 5     |
      | 6     |
      | 10    |
      | 60    |

  Scenario: Each failed probe doubles the open interval
    Given an upstream with 10 requests in progress
    When all of them fail at once
    And 3 probes fail, each sent as soon as the circuit allows it
    Then the circuit allows a request after 8 s

  Scenario: Requests sent before the circuit opened fail during a probe
    Given an upstream with 10 requests in progress
    When 5 of them fail, a probe is sent, the others fail and the probe succeeds
    Then the circuit allows a request after 0 s
