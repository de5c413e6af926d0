Feature: Loops continue after unexpected errors

  If a loop ended, its process would serve stale data and still be ready.

  Scenario Outline: The loop "<loop>" continues
    Given the loop "<loop>"
    When its work fails 5 times with an unexpected error
    Then it still does its work, and has logged the error within 4 lines
    And the metrics count 5 faults of it

    Examples:
      | loop          |
      | list          |
      | configuration |
      | members       |
      | group         |
      | lease         |
      | own rank      |
      | usage         |
      | timer         |

  Scenario Outline: A process whose loop "<loop>" only fails is not ready
    Given the loop "<loop>"
    When its work fails for 30 s with an unexpected error
    Then it counts as stuck until its work succeeds

    Examples:
      | loop          |
      | list          |
      | configuration |
      | members       |
      | group         |
      | lease         |
      | own rank      |
      | usage         |
      | timer         |

  Scenario: An unavailable store does not count as a fault of the loop
    Given the loop "list"
    When its work fails for 30 s because the store is down
    Then it does not count as stuck

  Scenario: A listener that fails on a configuration does not affect the others
    Given a configuration with a listener that fails and one that works
    When a new version is read
    Then the working listener has received it
