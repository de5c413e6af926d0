Feature: After the machine was suspended nothing stale is trusted

  Scenario Outline: A suspension is told from what is none
    When this befalls a machine: <event>
    Then a suspension of <seconds> s is noticed

    Examples:
      | event                                                | seconds |
      | suspended for 5 s                                    | 5       |
      | suspended for 0.1 s                                  | 0       |
      | busy for 5 s                                         | 0       |
      | put 5 s forward in its time of day                   | 0       |
      | put 5 s back in its time of day                      | 0       |
      | suspended for 5 s without a clock that counts it     | 5       |
      | put 5 s back in its time of day without such a clock | 0       |

  Scenario Outline: What a suspension of <seconds> s does to <belief>
    When the machine is suspended for <seconds> s with <belief>
    Then <belief> no longer counts

    Examples:
      | belief                           | seconds |
      | a lease of 3 s                   | 5       |
      | 1 s left for a request           | 5       |
      | an entry that was heard          | 5       |
      | an upstream's load               | 5       |
      | an upstream's refusal            | 5       |
      | a backoff of 3 s                 | 5       |
      | an open circuit                  | 5       |
      | a connection that was idle       | 5       |
      | a conviction                     | 400     |

  Scenario: A limit goes on filling while the machine is suspended
    When the bucket of a limit of 1 request a second is empty for 5 s of suspension
    Then one request may go, and not more

  Scenario: No request is taken on a configuration that is in doubt
    Given an entry's configuration at offset 4
    When the machine was suspended and the log has a record more
    Then no request is taken until the log has answered
    And the configuration is at offset 5

  Scenario: A hall that is cut off serves on what it has
    Given an entry's configuration at offset 4
    When the machine was suspended and neither the log nor a peer answers
    Then no request is taken for 1 s, and then again on offset 4

  Scenario: Timers go by a clock that does not step
    When the time of day steps back while a process waits 0.3 s
    Then it has waited less than 2 s

  Scenario: An entry tells a suspension in a line and a counter
    Given an entry's watch for suspensions
    When its machine is suspended for 5 s
    Then a line says so, with what was dropped
    And the counter of suspensions stands at 1

  Scenario: A process that was frozen ends what is over
    Given a fleet of 2 workers that can be crashed and 1 entries
    When a request with 1 s left is sent and the entry is frozen for 2 s
    Then it is ended without a success, and the worker hears of its end
    And the entry serves again within 3 s
