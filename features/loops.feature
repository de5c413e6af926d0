Feature: No loop ends on an error that nobody foresaw

  A loop that ends serves on what it knew last for ever, and nothing tells.
  The loop that follows the list of upstreams ended so on one unreadable
  record, without a line, while its entry stayed ready.

  Scenario Outline: <loop> goes on
    Given the loop "<loop>"
    When its work fails 5 times with an error that nobody foresaw
    Then it still does its work, and has told the error within 4 lines
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
    When its work fails for 30 s with an error that nobody foresaw
    Then it counts as stuck, and no more once its work succeeds

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

  Scenario: A store that is down is no fault of the loop
    Given the loop "list"
    When its work fails for 30 s as the store is down
    Then it does not count as stuck

  Scenario: One part that does not take a configuration costs the others none
    Given a configuration with a part that fails and one that listens
    When a new version is read
    Then the one that listens has it
