Feature: What an engine sends is checked before it is handed on

  Scenario Outline: An engine sends <what> between two events
    When an engine sends <what> between two events of its answer
    Then the answer ends as "upstream-garbled" behind the first event

    Examples:
      | what                          |
      | a line that is no field       |
      | an event of another kind      |
      | data that is no JSON          |
      | data that is no object        |
      | data that is not UTF-8        |
      | an event behind the last one  |
      | a line without end            |

  Scenario Outline: An engine's answer with <what> is complete
    When an engine sends <what> between two events of its answer
    Then both events are handed on and the answer is complete

    Examples:
      | what            |
      | nothing         |
      | a comment       |
      | lines with CRLF |

  Scenario Outline: The body of an answer to this process <does>
    When the body of an answer to this process <does>
    Then at most 9 MB of it are held, and reading it fails

    Examples:
      | does                |
      | comes without end   |
      | is cut              |
      | stops and is given up |
