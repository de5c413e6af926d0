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

  Scenario Outline: The probe of <kind> that ends as <way> gives its upstream up for good
    Given an entry and an upstream whose circuit is open
    When the probe is <kind> and <way>
    Then a request that comes 1.5 s later is served

    Examples:
      | kind                  | way                                                |
      | a request             | it is refused                                      |
      | an idempotent request | it is refused                                      |
      | a request             | its upstream fails it                              |
      | an idempotent request | its upstream fails it                              |
      | a request             | its deadline passes                                |
      | a request             | its caller disconnects                             |
      | a request             | its caller disconnects while it connects           |
      | a request             | its deadline passes while it connects              |
      | a request             | its upstream asks for a back-off while it connects |
      | a request             | a refusal without an id comes                      |

  Scenario: A probe that ended without a verdict does not end the next one
    Given an upstream with 10 requests in progress
    When all of them fail at once
    And a probe is sent, an earlier request fails, and another probe is sent
    And the first probe ends without a verdict
    Then the circuit allows no request

  Scenario: A request that waits for an open circuit is forgotten in the queue
    Given an entry whose list is unreadable and an upstream that has just failed
    When a request that may wait for 3 s comes
    Then it is sent 1 s after the failure
