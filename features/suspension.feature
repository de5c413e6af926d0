Feature: Stale state is not used after a suspension of the machine

  Scenario Outline: A suspension is distinguished from other events
    When this event occurs at a machine: <event>
    Then a suspension of <seconds> s is detected

    Examples:
      | event                                                | seconds |
      | suspended for 5 s                                    | 5       |
      | suspended for 0.1 s                                  | 0       |
      | busy for 5 s                                         | 0       |
      | clock set forward by 5 s                             | 0       |
      | clock set back by 5 s                                | 0       |
      | suspended for 5 s without a clock that counts it     | 5       |
      | clock set back by 5 s without such a clock           | 0       |

  Scenario Outline: A suspension of <seconds> s expires <state>
    When the machine is suspended for <seconds> s with <state>
    Then <state> has expired

    Examples:
      | state                            | seconds |
      | a lease of 3 s                   | 5       |
      | a deadline in 1 s                | 5       |
      | a reachable entry                | 5       |
      | an upstream's load               | 5       |
      | an upstream's refusal            | 5       |
      | a backoff of 3 s                 | 5       |
      | an open circuit                  | 5       |
      | an idle connection               | 5       |
      | a conviction                     | 400     |

  Scenario: A rate limit refills during a suspension
    When the bucket of a limit of 1 request per second is empty before a suspension of 5 s
    Then exactly one request may be sent

  Scenario: No request is accepted until the configuration is confirmed
    Given an entry's configuration at offset 4
    When the machine was suspended and the log has a new record
    Then no request is accepted until the log has answered
    And the configuration is at offset 5

  Scenario: A partitioned hall serves with the last known configuration
    Given an entry's configuration at offset 4
    When the machine was suspended and neither the log nor a peer answers
    Then no request is accepted for 1 s, and then again on offset 4

  Scenario: Timers use a clock that does not step
    When the time of day steps back while a process waits 0.3 s
    Then it has waited less than 2 s

  Scenario: An entry logs and counts a suspension
    Given an entry that watches for suspensions
    When its machine is suspended for 5 s
    Then a log line reports it, with the state that was dropped
    And the counter of suspensions is 1

  Scenario: A frozen process ends requests past their deadline
    Given a fleet of 2 workers that can be crashed and 1 entries
    When a request with 1 s left is sent and the entry is frozen for 2 s
    Then it is ended without a success, and the worker is notified
    And the entry serves again within 3 s
