Feature: An entry that gets nearly all new connections serves them

  # A balancer may hand most new connections to one entry, and to another once
  # that one is out, while callers open connections more often.
  Scenario: Most new connections go to one entry, and to another after its stop
    Given a fleet of 4 workers and 3 entries with 600 descriptors each
    When callers connect to all entries in turn for each request
    And they connect to "f1" alone, twice as often
    Then from 3 s on it serves at least three quarters as often as before
    When "f1" is stopped and they connect to "f2" alone
    Then from 3 s on it serves at least three quarters as often as before
