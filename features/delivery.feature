Feature: Answers and calls are delivered before a connection or process ends

  Scenario: A request that crosses a stop does not lose earlier answers
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the entry receives SIGTERM and the caller sends more requests, then reads
    Then the caller receives every answer completely

  Scenario: A call that crosses a stop does not lose earlier answers to a peer
    Given a fleet of its own
    When 5000 calls of a peer are answered and the peer does not read yet
    And the entry receives SIGTERM and the peer sends more calls, then reads
    Then the peer receives every answer

  Scenario: A caller that reads continuously is not idle
    Given a fleet of its own with an idle timeout of 1 s
    When 40 answers are queued for a caller that does not read yet
    And the caller reads 250 KB per second from then on
    Then the caller receives every answer completely

  Scenario: An empty line after a request does not delay a stop
    Given a cluster of its own of one hall without engines
    When a caller sends an empty line after a request and reads its answer
    And its entry receives SIGTERM
    Then the entry ends within 8 s

  Scenario: An answer without a length is reset at the end of the grace time
    Given a fleet of its own with a grace time of 2 s
    When an HTTP/1.0 caller requests 1 MB and does not read
    And the entry receives SIGTERM and the caller reads once it has exited
    Then the caller can detect that the answer is incomplete

  Scenario: A request that waits for a connection is answered before a stop
    Given a fleet whose upstream accepts no connections, with a grace time of 2 s
    When a request is sent 0.8 s after the entry receives SIGTERM
    Then that request is answered

  Scenario: A connection with an unsent request is not reused
    Given a peer that answers a large request without reading it
    When an exchange with the peer has ended
    Then the pool opens another connection for the next exchange

  Scenario: A call sent during a stop reaches the peer
    Given a process that sends a cancel when its caller disconnects
    When a stop begins in the next iteration of the event loop
    Then the peer has received the cancel

  Scenario: The number of dropped log lines is logged before the process ends
    Given a log that has used up its lines
    When 3 more lines are logged and the process ends
    Then the log tells that 3 lines were left out
