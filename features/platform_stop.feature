Feature: An entry stops and reloads without cutting anything

  Scenario: SIGTERM lets requests end and closes connections with answers
    Given a fleet of its own that keeps connections for 3 s when it stops
    When an entry is told to stop during 6 streams and a kept connection
    Then it is not ready at once
    And the kept connection is served once more and told to close
    And every stream ends whole
    And the process ends by itself with status 0 within its grace time

  Scenario: SIGTERM ends by the grace time, whatever goes on
    Given a fleet of its own
    When an entry is told to stop during a request that never ends
    Then the process ends by itself with status 0 within its grace time

  Scenario: SIGHUP cuts nothing
    Given a fleet of its own
    When an entry gets SIGHUP with a changed settings file during 6 streams
    Then every stream ends whole
    And its log names the settings that changed

  Scenario: A bad settings file changes nothing
    Given a fleet of its own
    When an entry gets SIGHUP with a bad settings file
    Then its log says what is bad and it serves on

  Scenario: A stopping entry takes no new connections after a while
    Given a fleet of its own
    When an entry is told to stop during 6 streams and a kept connection
    Then it refuses new connections before its streams have ended
    And every stream ends whole

  Scenario: A stopping entry ends after the last byte of its answers has left
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the entry receives SIGTERM and the caller reads once it no longer listens
    Then the caller receives every answer completely
    And the process ends by itself with status 0 within its grace time

  Scenario: A caller who never reads does not hold a stop up
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the entry receives SIGTERM and the caller does not read
    Then the process ends by itself with status 0 within its grace time
    And its last log line has the number of unsent bytes

  Scenario: A request that outlasts the grace time is answered before the end
    Given a fleet of its own with a grace time of 2 s
    When an entry is told to stop during a request that never ends
    Then the request is answered with status 504 and its connection closed
    And the process ends by itself with status 0 within its grace time
    And its last line says that 1 request was broken off

  Scenario: An answer that its caller never took is seen in the log
    Given a fleet of its own
    When 40 answers are queued for a caller that does not read yet
    And the caller disconnects without reading
    Then the log has its last request and the number of unsent bytes
