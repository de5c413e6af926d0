Feature: What was handed over is not taken for delivered

  Scenario: A request that crosses a stop does not cost earlier answers
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And the entry is told to stop and its caller sends one more request, then reads
    Then the caller gets every answer whole

  Scenario: A call that crosses a stop does not cost earlier answers to a peer
    Given a fleet of its own
    When 5000 calls of a peer are answered and it reads nothing yet
    And the entry is told to stop and the peer sends one more call, then reads
    Then the peer gets every answer

  Scenario: A caller who reads all the time is not idle
    Given a fleet of its own that lets callers rest for 1 s
    When 40 answers are ready for a caller who reads nothing yet
    And the caller reads 250 KB a second from then on
    Then the caller gets every answer whole

  Scenario: An empty line after a request does not hold a stop up
    Given a cluster of its own of one hall without engines
    When a caller ends a request with an empty line and reads its answer
    And its entry is told to stop
    Then the entry ends within 8 s

  Scenario: An answer without a length is reset when the grace time cuts it
    Given a fleet of its own with a grace time of 2 s
    When a caller of HTTP/1.0 asks for 1 MB and reads nothing
    And the entry is told to stop and the caller reads once it has ended
    Then the caller can tell that the answer is not whole

  Scenario: A request whose upstream is being connected is answered before the end
    Given a fleet whose upstream accepts nothing, with a grace time of 2 s
    When a request is sent 0.8 s after the entry is told to stop
    Then that request gets an answer

  Scenario: A connection with an unsent request is not used for another
    Given a peer that answers a long request without reading it
    When an exchange with it has ended
    Then the pool opens another connection for the next exchange

  Scenario: A call that was sent as the process stops reaches the peer
    Given a process that sends a cancel as its caller leaves
    When the stop looks at it in the next turn of the loop
    Then the peer has got the cancel

  Scenario: Lines left out last are told of before the process ends
    Given a log that has used up its lines
    When 3 more lines are logged and the process ends
    Then the log tells that 3 lines were left out
