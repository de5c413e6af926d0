Feature: Only the answer to a request says what became of it

  Scenario Outline: A <status> that names <named> is taken for the refusal of a request
    When an entry reads a <status> that states not to have run <named> on exchange <exchange>
    Then the request counts as <counts>
    And what the entry records is: <recorded>

    Examples: The request is named
      | status | named       | exchange | counts  | recorded |
      | 503    | the request | 1        | not run | load, rate_limit, backoff, leaving, refused |
      | 503    | the request | 2        | not run | load, rate_limit, backoff, leaving, refused |
      | 429    | the request | 2        | not run | load, rate_limit, backoff, leaving, refused |
      | 421    | the request | 2        | not run | load, rate_limit, leaving, refused          |
      | 408    | the request | 2        | not run | load, rate_limit, leaving, refused          |
      | 400    | the request | 2        | not run | load, rate_limit, leaving, refused          |

    Examples: Another request is named
      | status | named           | exchange | counts      | recorded |
      | 503    | another request | 1        | may have run | failure |
      | 503    | another request | 2        | may have run | failure |
      | 429    | another request | 2        | may have run | failure |
      | 421    | another request | 2        | may have run | failure |
      | 408    | another request | 2        | may have run | failure |
      | 400    | another request | 2        | may have run | failure |

    Examples: No request is named
      | status | named      | exchange | counts       | recorded                                    |
      | 503    | no request | 1        | not run      | load, rate_limit, backoff, leaving, refused |
      | 400    | no request | 1        | not run      | load, rate_limit, leaving, refused          |
      | 503    | no request | 2        | may have run | rate_limit, backoff, leaving                |
      | 429    | no request | 2        | may have run | rate_limit, backoff, leaving                |
      | 421    | no request | 2        | may have run | rate_limit, leaving                         |

  Scenario Outline: An answer that names <named> ends a request
    When an entry reads a 200 that names <named>
    Then the request counts as may have run
    And what the entry records is: failure

    Examples:
      | named           |
      | another request |
      | no request      |

  Scenario Outline: <count> surplus answers hide the answer to a request
    When an entry reads <count> refusals of an earlier request and then its own answer
    Then its caller gets <answer>

    Examples:
      | count | answer            |
      | 1     | the status 200    |
      | 2     | the status 200    |
      | 3     | no answer from it |

  Scenario Outline: A <status> without a statement promises that <kind> has not run
    When an entry reads a <status> to <kind> that states nothing
    Then its caller gets <answer>

    Examples:
      | status | kind                              | answer            |
      | 503    | a request that must not run twice | no answer from it |
      | 429    | a request that must not run twice | no answer from it |
      | 421    | a request that must not run twice | no answer from it |
      | 408    | a request that must not run twice | no answer from it |
      | 500    | a request that must not run twice | the status 500    |
      | 404    | a request that must not run twice | the status 404    |
      | 429    | an idempotent request             | the status 429    |

  Scenario: A batch of another attempt refuses an attempt
    When an agent answers a pull with a refusal of another attempt
    Then the attempt counts as may have run
