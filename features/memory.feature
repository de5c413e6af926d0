Feature: A caller who reads nothing costs bounded memory

  Scenario: Callers who read nothing hold the engine back
    Given a cluster of its own with a fast engine
    When 6 callers ask for 900000 events each and read nothing for 8 s
    Then entry and agent have each grown by less than 1000 KB a caller
    And the engine was held back long before its last event
    And the callers who then read get every event

  Scenario: A stopping entry ends after the last byte of its answers has left
    Given a cluster of its own with a fast engine
    When an answer of 8 MB is queued for a caller that does not read yet
    And its entry receives SIGTERM and the caller reads once it no longer listens
    Then the caller receives all 8 MB
    And the entry exits with status 0
