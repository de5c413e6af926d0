Feature: A caller that does not read uses bounded memory

  Scenario: Callers that do not read pause the engine
    Given a cluster of its own with a fast engine
    When 6 callers request 900000 events each and do not read for 8 s
    Then the memory of entry and agent has grown by less than 1000 KB per caller
    And the engine was paused long before its last event
    And a caller that then reads gets every event

  Scenario: A stopping entry ends after the last byte of its answers has left
    Given a cluster of its own with a fast engine
    When an answer of 8 MB is queued for a caller that does not read yet
    And its entry receives SIGTERM and the caller reads once it no longer listens
    Then the caller receives all 8 MB
    And the entry exits with status 0
