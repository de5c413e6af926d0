Feature: What reaches a caller of a stream is a piece of one run, in its order

  Scenario Outline: Garbage of an upstream stands <place> of a stream
    When every kind of garbage stands <place> of a stream, in every framing
    Then each time the caller receives every event once and nothing else
    And no exception has left the path of the request

    Examples:
      | place                        |
      | before the head              |
      | in the head                  |
      | behind the head              |
      | before the first event       |
      | inside an event              |
      | in place of an event's end   |
      | between two events           |
      | behind the last event        |
      | in place of a chunk's size   |
      | in a chunk's extension       |
      | in the trailer               |
      | behind the end               |

  Scenario: A stream that may not be resumed is seen to break off at garbage
    When garbage stands between two events of a stream that may not be resumed
    Then the caller receives the events before it and sees that more are due

  Scenario Outline: An event that is <wrong> is handed on
    When an upstream sends an event that is <wrong>
    Then no part of it reaches the caller, and the stream goes on elsewhere

    Examples:
      | wrong                                |
      | ended by CRLF                        |
      | ended by CR                          |
      | without an id                        |
      | without data                         |
      | with an id that is empty             |
      | with an id that is no number         |
      | with two ids                         |
      | with two lines of data               |
      | with its data before its id          |
      | with a field that nobody knows       |
      | with a line that is no field         |
      | with a comment in it                 |
      | with a control byte in it            |
      | with text that is not UTF-8          |
      | with a byte order mark before it     |
      | not the first, where that is due     |

  Scenario Outline: A true event that <how> is handed on
    When an upstream sends an event that <how>
    Then it reaches the caller as it is

    Examples:
      | how                                  |
      | has letters beyond ASCII             |
      | has no space behind its colons       |
      | names the version that changes       |
      | holds a tab                          |

  Scenario: An event without end is not read to the end
    When an upstream sends an event without end
    Then little of it is read and the stream goes on elsewhere
    And no exception has left the path of the request

  Scenario: The circuit of an upstream that sends garbage is charged
    When garbage stands between two events of a stream
    Then the circuit of its upstream is charged and its connection is gone
    And the log names the request, the upstream, the reason and the bytes
