Feature: What an engine sends is checked before it is handed on

  Scenario Outline: The body of an answer to this process <does>
    When the body of an answer to this process <does>
    Then at most 9 MB of it are held, and reading it fails

    Examples:
      | does                |
      | comes without end   |
      | is cut              |
      | stops and is given up |
