Feature: A success is forwarded only with everything that makes it one

  Scenario Outline: A success <lacking> is forwarded to <kind>
    When the first upstream answers <kind> with a success <lacking>
    Then nothing of it reaches the caller, and <outcome>
    And the circuit of its upstream is charged and its connection is gone

    Examples:
      | lacking                         | kind                              | outcome             |
      | without its proof               | a stream                          | another one answers |
      | without its proof               | a request that may run twice      | another one answers |
      | without its proof               | a request that must not run twice | the answer is a 502 |
      | with an empty proof             | a request that may run twice      | another one answers |
      | with two proofs                 | a request that may run twice      | another one answers |
      | with two ids                    | a request that may run twice      | another one answers |
      | with a content coding           | a request that may run twice      | another one answers |
      | with a content coding           | a stream                          | another one answers |
      | with both a length and chunks   | a request that may run twice      | another one answers |
      | with both a length and chunks   | a stream                          | another one answers |
      | that is no stream               | a stream                          | another one answers |
      | that is nearly a stream         | a stream                          | another one answers |
      | that has no content             | a stream                          | another one answers |
      | that ends behind its head       | a request that may run twice      | another one answers |
      | that ends behind its head       | a request that must not run twice | the answer is a 502 |

  Scenario Outline: A success <with> is as good as any
    When the first upstream answers <kind> with a success <with>
    Then the caller receives the whole answer from it

    Examples:
      | with                     | kind                              |
      | of the usual kind        | a stream                          |
      | of the usual kind        | a request that must not run twice |
      | that states a charset    | a stream                          |
      | that codes nothing       | a request that must not run twice |
      | that ends with its connection | a request that must not run twice |

  Scenario Outline: A head is cut short, and the connection is <ended>
    When a head of every kind is cut behind each of its bytes and the connection is <ended>
    Then no caller receives a success, and no exception has left the path

    Examples:
      | ended  |
      | closed |
      | reset  |
