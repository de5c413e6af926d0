Feature: What is no status of an answer is never forwarded as one

  Scenario Outline: The status of an answer to <kind> is <status>
    When the first upstream answers <kind> with the status "<status>"
    Then nothing of it reaches the caller, and <outcome>
    And the circuit of its upstream is charged and its connection is gone

    Examples:
      | status | kind                              | outcome             |
      | 000    | a request that may run twice      | another one answers |
      | 000    | a stream                          | another one answers |
      | 000    | a request that must not run twice | the answer is a 502 |
      | 099    | a request that must not run twice | the answer is a 502 |
      | 101    | a request that must not run twice | the answer is a 502 |
      | 600    | a request that may run twice      | another one answers |
      | 600    | a stream                          | another one answers |
      | 600    | a request that must not run twice | the answer is a 502 |
      | 999    | a request that may run twice      | another one answers |
      | 999    | a request that must not run twice | the answer is a 502 |
      | 1000   | a request that must not run twice | the answer is a 502 |
      | 20     | a request that must not run twice | the answer is a 502 |
      | +20    | a request that must not run twice | the answer is a 502 |
      | -20    | a request that must not run twice | the answer is a 502 |
      | 2e2    | a request that must not run twice | the answer is a 502 |

  Scenario Outline: An engine behind an agent answers with the status <status>
    When an engine answers the agent with the status "<status>"
    Then the agent hands nothing on, and the answer ends as "<code>"

    Examples:
      | status | code             |
      | 000    | upstream-garbled |
      | 099    | upstream-garbled |
      | 600    | upstream-garbled |
      | 999    | upstream-garbled |
      | 1000   | upstream-garbled |
      | -20    | upstream-garbled |
      | 2e2    | upstream-lost    |

  Scenario: Every status that there is may be an answer
    When an upstream answers with each final status that there is
    Then the caller receives each but those that state what nobody knows
