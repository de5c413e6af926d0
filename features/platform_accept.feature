Feature: An entry that is ready takes new connections, whatever others hold

  Scenario: Connections at rest make room for new callers
    Given a fleet of its own whose entry may have 100 descriptors
    When 200 callers ask once and keep their connections
    Then 20 new callers at once are all served within 3 s
    And the entry is ready

  Scenario: Callers who connect and say nothing make room too
    Given a fleet of its own whose entry may have 100 descriptors
    When 200 callers connect and say nothing
    Then 20 new callers at once are all served within 3 s
    And the entry is ready

  Scenario: A stream is not cut to make room
    Given a fleet of its own whose entry may have 100 descriptors
    When 6 streams are in progress and 200 callers connect and say nothing
    Then every stream ends whole
    And 20 new callers at once are all served within 3 s

  Scenario: New callers are served after a storm
    Given a fleet of its own whose entry may have 100 descriptors
    When 300 callers connect at once and reset their connections
    Then 20 new callers at once are all served within 3 s
    And the entry is ready
