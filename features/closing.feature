Feature: What ends a connection costs none of the answers before it

  A caller may ask again before it has read its answers.  A socket that is
  closed while such a request lies unread resets the connection, and the
  answers that had not arrived are gone: of 40 answers of 200 KB that were
  ready callers got 27, though the log of the entry has 40 lines "A request
  has ended." with outcome ran, and "Stopped." counts no unsent byte.  Each way
  on which an entry ends a connection is therefore played with a caller who
  has not read and goes on to send.

  Scenario: A request that crosses a stop is refused as not run
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And the entry is told to stop and its caller sends one more request, then reads
    Then the caller gets every answer whole
    And the request that crossed is refused as not run, and no worker ran it

  Scenario: A request that crosses a stop on our own interface is refused
    Given a cluster of its own with a fast engine
    When an answer of 8 MB is ready for a caller who reads nothing yet
    And its entry is told to stop and its caller asks once more, then reads
    Then the caller gets all 8 MB and a refusal behind them

  Scenario: Uploads behind the last answer of a connection do not cost it
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And the entry is told to stop and its caller uploads 4 MB, then reads
    Then the caller gets every answer whole

  Scenario: A request that is no HTTP does not cost earlier answers
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And its caller sends what is no request and 4 MB more, then reads
    Then the caller gets every answer whole
    And the last answer has status 400 and nothing behind it ran

  Scenario: A head that is too long does not cost earlier answers
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And its caller sends a head of 4 MB, then reads
    Then the caller gets every answer whole
    And the last answer has status 431 and nothing behind it ran

  Scenario: A stream that breaks off does not cost earlier answers
    Given a fleet of its own whose streams cannot go on elsewhere
    When 2 answers are ready for a caller who reads nothing yet
    And its caller asks for a stream that breaks off, then reads
    Then the caller gets every answer whole
    And the stream has no end

  Scenario: A caller who never reads does not keep a closing connection open
    Given a fleet of its own
    When 40 answers are ready for a caller who reads nothing yet
    And its caller sends what is no request and 4 MB more, and never reads
    Then its connection is reset within 40 s

  Scenario Outline: A caller who stops reading holds its slot for its time at most
    Given a fleet of its own
    When a caller asks for an endless answer of <kind> and never reads
    Then its request ends within 8 s, and the slot is free
    And its connection is reset within 40 s

    Examples:
      | kind     |
      | events   |
      | one body |
