Feature: Logs never hold work up

  Scenario: A reader that stops reading costs lines, not time
    Given a log that writes to a pipe which nobody reads
    When 5000 lines are logged
    Then the last was logged without waiting and most are left out
    When the reader reads on and 1 line is logged
    Then it is told how many lines were left out
    And every line read is whole

  Scenario: Lines are bounded in number
    Given a log of 50 lines a second that somebody reads
    When 500 lines are logged at one moment
    Then 50 are written and the others are counted
    When 10 lines are logged 1 s later
    Then they are written and the reader is told of 450 left out

  Scenario: A log whose reader has gone does no harm
    Given a log that writes to a pipe which nobody reads
    When the reader goes away and 10 lines are logged
    Then nothing is raised and all are left out

  Scenario: A line that is too long is cut inside a text and stays JSON
    Given a log that writes to a pipe which nobody reads
    When a traceback of 9000 characters is logged
    Then the line can be decoded and has both ends of the traceback
