Feature: An unreadable record is skipped

  Guards against a malformed record that ends the loop that follows the list
  at all entries, which then stay ready with a stale list.

  Scenario Outline: The list of upstreams is followed past <what>
    Given a fleet of its own
    When <what> is written into the list of upstreams
    And another worker announces itself
    Then that worker is listed within 5 s
    And requests are served, also after a restart of the entry

    Examples:
      | what                             |
      | a key that is not UTF-8          |
      | an empty record                  |
      | a key longer than its record     |
      | a value that is not UTF-8        |
      | a value that is not JSON          |
      | a value nested ten thousand deep |
      | a list in place of an entry      |

  Scenario Outline: The desired state is followed past <what>
    Given a fleet of its own
    When <what> is written into the desired state
    And the operator states a version without the route "/push/"
    Then requests to "/push/x" get 404 within 5 s
    And requests are served, also after a restart of the entry

    Examples:
      | what                             |
      | a key that is not UTF-8          |
      | an empty record                  |
      | a key longer than its record     |
      | a value that is not UTF-8        |
      | a value that is not JSON          |
      | a value nested ten thousand deep |
      | a list in place of an entry      |
      | routes that are texts            |
