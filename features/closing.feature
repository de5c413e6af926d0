Feature: Closing a connection loses none of its earlier answers

  Closing a socket with unread data resets the connection, and the peer loses
  answers that it has not received.  Each way in which an entry closes a
  connection is tested with a caller that sends without reading.

  Scenario: A request that crosses a stop is refused as not run
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the entry receives SIGTERM and the caller sends more requests, then reads
    Then the caller receives every answer completely
    And the crossing request is refused as not run, and no worker ran it

  Scenario: A request that crosses a stop on the native interface is refused
    Given a cluster of its own with a fast engine
    When an answer of 8 MB is queued for a caller that does not read yet
    And its entry receives SIGTERM and the caller sends another request, then reads
    Then the caller receives all 8 MB, followed by a refusal

  Scenario: Uploads after the last answer of a connection do not lose it
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the entry receives SIGTERM and the caller uploads 4 MB, then reads
    Then the caller receives every answer completely

  Scenario: A malformed request does not lose earlier answers
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the caller sends a malformed request and 4 MB more, then reads
    Then the caller receives every answer completely
    And the last answer has status 400 and no later request ran

  Scenario: A too long request head does not lose earlier answers
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the caller sends a request head of 4 MB, then reads
    Then the caller receives every answer completely
    And the last answer has status 431 and no later request ran

  Scenario: An interrupted stream does not lose earlier answers
    Given a fleet of its own whose streams are not resumable
    When 2 answers are queued for a caller that does not read yet
    And the caller requests a stream that is interrupted, then reads
    Then the caller receives every answer completely
    And the stream has no end marker

  Scenario: A caller that never reads does not keep a closing connection open
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the caller sends a malformed request and 4 MB more, and never reads
    Then its connection is reset within 40 s

  Scenario Outline: A caller that stops reading holds its slot until its deadline at most
    Given a fleet of its own
    When a caller requests an endless answer of <kind> and never reads
    Then its request ends within 8 s and the slot is released
    And its connection is reset within 40 s

    Examples:
      | kind     |
      | events   |
      | one body |
