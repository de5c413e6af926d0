Feature: Guarantees hold when processes fail

  Scenario Outline: A step has one layout while <what> is <fault>
    Given a cluster of its own with <option> <value>
    When the layout changes 3 times while <what> is <fault>
    Then every rank ends on the last layout
    And no step ran on two layouts

    Examples:
      | what   | fault                  | option       | value |
      | holder | killed                 | lease_s      | 1     |
      | holder | frozen past its lease  | lease_s      | 1     |
      | engine | restarted              | lease_s      | 1     |
      | store  | slow                   | checks_fence | 0     |

  Scenario: A holder that keeps its lease continues the numbering of its orders
    Given a cluster of its own with lease_s 30
    When the layout changes 3 times in one lease
    Then every rank ends on the last layout
    And no agent refused an order

  Scenario: Streams continue at another upstream when one is killed
    Given a cluster of its own with services 0
    When 24 callers stream 200 tokens while an agent is killed
    Then every stream is complete and its caller's own

  Scenario: A stream that lost its upstream waits for one that is full
    Given a cluster of its own of one entry and two engines with 1 slots
    When 2 callers stream 300 tokens while an agent is killed
    Then every stream is complete and its caller's own

  Scenario: A request waits for a full upstream, not for a dead one
    Given a cluster of its own of one entry and two engines with 1 slots
    When a caller streams 300 tokens and another asks as the free agent dies
    Then every stream is complete and its caller's own

  Scenario: Streams that had not begun cost one retry each
    Given a cluster of its own of one entry and two engines with 16 slots
    When 32 callers ask a frozen engine and its agent is killed
    Then as many as the retry budget allows continue elsewhere
    And the others get the outcome unknown, with Retry-After

  Scenario: A caller of a killed entry gets a broken stream, not a truncated one
    Given a cluster of its own with services 0
    When 6 callers stream 300 tokens through an entry that is killed
    Then every stream of that entry is broken or complete, and none is wrong

  Scenario: Many callers each get their own complete answer
    Given a cluster of its own with slots 64
    When 400 callers ask at once through both halls
    Then every answer that ran is complete and its caller's own

  Scenario: Not-run means not run while services and agents are killed
    Given a cluster of its own with engines 0
    When callers send for 6 s while agents and services are killed and cut
    Then nothing that a caller was told not-run is in the ledger
    And nothing sent once is in the ledger twice
    And every refusal came at once with Retry-After

  Scenario: A key runs at most once, however it is repeated
    Given a cluster of its own with engines 0
    When callers repeat keys through all entries for 15 s while owners change
    Then nothing sent once is in the ledger twice
    And many keys have run

  Scenario: A key is refused by an agent that has restarted
    Given a cluster of its own with engines 0
    When a key has run and its owner restarts
    Then the same key is answered with the outcome "unknown" and not run again
    But a new key for that owner runs

  Scenario: Keys run and repeat their answers while the log is down
    Given a cluster of its own with engines 0
    When the log is down and a key is sent through each entry
    Then the key ran once and every answer is the same

  Scenario Outline: A leaving upstream gets no new work after some seconds, <how>
    Given a cluster of its own with engines 0
    When an upstream leaves under load, <how>
    Then no new work reaches it after 3 s

    Examples:
      | how                                    |
      | confirmed by an operator               |
      | seen only in the platform's list       |
      | with an entry cut from the log         |
      | with an entry frozen and resumed       |

  Scenario: A planned stop interrupts no request
    Given a cluster of its own with services 0
    When an entry and an agent are stopped at once under long streams
    Then both exit with status 0
    And every stream is complete and its caller's own
