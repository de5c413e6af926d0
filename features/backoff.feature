Feature: Entries observe the backoff of an upstream that sheds load

  Scenario: A backoff holds across retries, queues, new connections and lists
    When 60 traces of upstreams that shed load are played
    Then no upstream gets more than was in flight

  Scenario Outline: The replay detects a fault in <fault>
    When <count> traces of upstreams that shed load are played with a fault in <fault>
    Then some upstream gets more than was in flight

    Examples:
      | fault            | count |
      | heeding          | 10    |
      | openings         | 60    |
      | lists            | 20    |

  Scenario: A new start of an upstream gets requests at once
    Given an entry and 1 upstream that requested a backoff of 3 s
    When the upstream starts again
    Then a request is served

  Scenario: An upstream gets requests again once its backoff expires
    Given an entry and 1 upstream that requested a backoff of 3 s
    When the upstream has capacity again
    And a request that may wait for 4 s comes
    Then it is served 3 s after the refusal

  Scenario: A request that would wait past its deadline is refused
    Given an entry and 2 upstreams that requested a backoff of 3 s
    When a request that may wait for 1 s comes
    Then it is refused at once with Retry-After of 3 s

  Scenario: The backoff that ends last applies, whatever the order
    Given the backoffs of an upstream started at 10 s
    When it requests a backoff of 3 s at 20 s
    And it requests a backoff of 0.7 s at 20.1 s
    Then its backoff lasts 2.9 s more

  Scenario: A backoff requested by a start before it was listed applies to it
    Given the backoffs of an upstream started at 10 s
    When it requests a backoff of 3 s at 20.3 s
    And the list reports at 21 s that it restarted at 20.1 s
    Then its backoff lasts 2.3 s more

  Scenario: A backoff requested before a start does not apply to it
    Given the backoffs of an upstream started at 10 s
    When it requests a backoff of 3 s at 20.3 s
    And the list reports at 21 s that it restarted at 20.6 s
    Then its backoff lasts 0 s more

  Scenario: Retry-After is the time until any upstream of the target is available
    Given an entry and 3 upstreams of which 2 request a backoff of 3 s
    When a request is refused by both of them
    Then its Retry-After is less than 3 s
    And a request after that time is served

  Scenario Outline: Parsing of Retry-After
    Then a refusal with "Retry-After: <text>" requests <seconds>

    Examples:
      | text                          | seconds   |
      | 3                             | 3.0 s     |
      | 0.5                           | 0.5 s     |
      | 7200                          | 3600.0 s  |
      | -1                            | no time   |
      | nan                           | no time   |
      | inf                           | no time   |
      | 1e2                           | no time   |
      | Thu, 03 Dec 2026 07:44:07 GMT | no time   |

  Scenario: An upstream of a service gets no requests during its backoff
    Given a fleet of two workers of "push"
    When worker "w1" sheds load with a backoff of 3 s
    And "/read/x" is asked 20 times a second for 3.6 s
    Then only what was in flight reaches "w1" during its backoff
    And all callers are served

  Scenario: A rank gets no requests during its backoff
    Given a fleet of three workers of "llm"
    When worker "w1" sheds load with a backoff of 3 s
    And "/chat/x" is asked 20 times a second for 3.6 s
    Then only what was in flight reaches "w1" during its backoff
    And all callers are served
