Feature: An upstream that sheds load is left alone for as long as it asks

  Scenario: An entry keeps away through retries, queues, openings and lists
    When 60 traces of upstreams that shed load are played
    Then no upstream gets more than was on its way

  Scenario Outline: The replay finds a fault in <fault>
    When <count> traces of upstreams that shed load are played with a fault in <fault>
    Then some upstream gets more than was on its way

    Examples:
      | fault            | count |
      | heeding          | 10    |
      | openings         | 20    |
      | lists            | 20    |

  Scenario: A new start of an upstream is asked at once
    Given an entry and 1 upstream that asked for 3 s without requests
    When the upstream starts again
    Then a request is served

  Scenario: An upstream is asked again once its time is over
    Given an entry and 1 upstream that asked for 3 s without requests
    When the upstream has room again
    And a request that may wait for 4 s comes
    Then it is served 3 s after the refusal

  Scenario: Nobody waits for what comes too late
    Given an entry and 2 upstreams that asked for 3 s without requests
    When a request that may wait for 1 s comes
    Then it is refused at once, to come back after 3 s

  Scenario: The answer that reaches furthest counts, whichever comes last
    Given what an entry knows of an upstream born at 10 s
    When it asks for 3 s at 20 s
    And it asks for 0.7 s at 20.1 s
    Then it wants nothing for 2.9 s more

  Scenario: What a start asked before it was listed holds for it
    Given what an entry knows of an upstream born at 10 s
    When it asks for 3 s at 20.3 s
    And the list tells at 21 s that it was born again at 20.1 s
    Then it wants nothing for 2.3 s more

  Scenario: What was asked before a start was born does not hold for it
    Given what an entry knows of an upstream born at 10 s
    When it asks for 3 s at 20.3 s
    And the list tells at 21 s that it was born again at 20.6 s
    Then it wants nothing for 0 s more

  Scenario: A caller is told when the target has room, not when one upstream has
    Given an entry and 3 upstreams of which 2 want no requests for 3 s
    When a request is refused by both of them
    Then it is told to come back before those 3 s are over
    And one that comes back then is served

  Scenario Outline: How long an upstream asks for
    Then a refusal with "Retry-After: <text>" asks for <seconds>

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

  Scenario: A service's upstream that sheds load is not asked before its time
    Given a fleet of two workers of "push"
    When worker "w1" sheds load and asks for 3 s without requests
    And "/read/x" is asked 20 times a second for 3.6 s
    Then nothing but what was on its way reaches "w1" in the time it asked for
    And all callers are served

  Scenario: A rank that sheds load is not asked before its time
    Given a fleet of three workers of "llm"
    When worker "w1" sheds load and asks for 3 s without requests
    And "/chat/x" is asked 20 times a second for 3.6 s
    Then nothing but what was on its way reaches "w1" in the time it asked for
    And all callers are served
