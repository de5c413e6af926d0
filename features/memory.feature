Feature: A caller who reads nothing costs bounded memory

  Scenario: Callers who read nothing hold the engine back
    Given a cluster of its own with a fast engine
    When 30 callers ask for 400000 events each and read nothing for 4 s
    Then entry and agent have each grown by less than 1 MB a caller
    And the engine was held back long before its last event
    And the callers who then read get every event
