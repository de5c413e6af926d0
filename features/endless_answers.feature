Feature: Bytes that come without end cost little, and the caller is answered soon

  Scenario Outline: <what> comes without end in answer to <kind>
    When <what> comes without end in answer to <kind>
    Then at most <limit> KB of it are read, and <outcome>
    And no exception has left the path of the request

    Examples:
      | what                          | kind                              | limit | outcome             |
      | a line of a head              | a stream                          | 128   | another one answers |
      | a line of a head              | a request that must not run twice | 128   | the answer is a 502 |
      | lines of a head               | a request that may run twice      | 128   | another one answers |
      | interim heads                 | a request that may run twice      | 128   | another one answers |
      | a chunk's extension           | a stream                          | 128   | another one answers |
      | a trailer                     | a request that may run twice      | 128   | another one answers |
      | text in an event              | a stream                          | 320   | another one answers |
      | garbage between events        | a stream                          | 128   | another one answers |
      | the body of a refusal         | a request that must not run twice | 256   | another one answers |
      | the body of a refusal         | a stream                          | 256   | another one answers |
      | the body of an unstated refusal | a request that must not run twice | 256 | the answer is a 502 |
      | the body of an error          | a request that may run twice      | 512   | another one answers |
      | the body of an error          | a request that must not run twice | 512   | the answer is a 502 |

  Scenario Outline: <what> does not come to its end
    When <what> stops before its end in answer to <kind>
    Then the request does not wait for it, and <outcome>

    Examples:
      | what                            | kind                              | outcome             |
      | the body of a refusal           | a request that must not run twice | another one answers |
      | the body of an unstated refusal | a request that must not run twice | the answer is a 502 |

  Scenario: The body of a success comes without end
    When a success comes without end to a caller who reads nothing
    Then little of it is held, and the caller sees that it breaks off

  Scenario Outline: Bytes without end follow a whole answer to <kind>
    When bytes without end follow a whole answer to <kind> whose caller reads nothing
    Then at most 512 KB of all this is taken from the upstream

    Examples:
      | kind                              |
      | a stream                          |
      | a request that may run twice      |
      | a request that must not run twice |

  Scenario: A surplus answer comes without end
    When a surplus answer comes without end
    Then at most 256 KB of it are read

  Scenario Outline: The answer to a call of this process has <what> without end
    When the answer to a call of this process has <what> without end
    Then at most 9000 KB of it are read, and the call fails

    Examples:
      | what          |
      | a body        |
      | interim heads |
      | a head        |

  Scenario: The answer to a call of this process comes too slowly
    When a byte of the answer to a call of this process comes every 10 ms
    Then the call fails after its time-out of 60 ms
