Feature: A request that comes late in a stop is answered or not taken

  Scenario Outline: Requests to <path> are complete only late in a stop
    Given a fleet of its own with a grace time of 3 s
    When an entry is told to stop and requests to "<path>" end 0.1 to 2.9 s later
    Then each that was read 0.2 s before the end of the process has an answer
    And none that was refused as not run has run
    And the process ends by itself with status 0 within its grace time

    Examples:
      | path       |
      | /push/mute |
      | /read/mute |
      | /push/x    |
      | /chat/x    |
