Feature: An unforeseen error ends the attempt in which it occurs, and no more

  Scenario Outline: An error while the <part> of an answer is read ends <request>
    When an error that no check foresaw occurs while the <part> is read of <request>
    Then its caller receives <answer>
    And the circuit of its upstream is charged and the log has the traceback

    Examples:
      | part   | request                         | answer                          |
      | head   | a stream                        | the whole answer                |
      | third event | a stream                   | the whole answer                |
      | third event | a stream that may not be resumed | three events, seen to break off |
      | head   | a request that may run twice    | the whole answer                |
      | head   | a request that must not run twice | a 502 that promises nothing   |

  Scenario: An error behind the end of an answer does not break it off
    When an error that no check foresaw occurs while the end is read of a request that may run twice
    Then its caller receives the whole answer
    And the log has the traceback

  Scenario: An error once the caller has gone is none of ours
    When a caller goes while its answer is finished
    Then no exception has left the path of the request
