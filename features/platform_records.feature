Feature: A record that cannot be read costs nothing but itself

  A record of the list of upstreams whose key was no UTF-8 ended the loop that
  follows the list: it was read once and never again, nothing was logged, and
  the entry stayed ready with an ever older list.  All entries read the same
  record, so all of them stopped at once.

  Scenario Outline: The list of upstreams is followed behind <what>
    Given a fleet of its own
    When <what> is written into the list of upstreams
    And another worker announces itself
    Then that worker is listed within 5 s
    And requests are served, also by the entry started again

    Examples:
      | what                             |
      | a key that is not UTF-8          |
      | an empty record                  |
      | a key longer than its record     |
      | a value that is not UTF-8        |
      | a value that is no JSON          |
      | a value nested ten thousand deep |
      | a list in place of an entry      |

  Scenario Outline: The desired state is followed behind <what>
    Given a fleet of its own
    When <what> is written into the desired state
    And the operator states a version without the route "/push/"
    Then requests to "/push/x" get 404 within 5 s
    And requests are served, also by the entry started again

    Examples:
      | what                             |
      | a key that is not UTF-8          |
      | an empty record                  |
      | a key longer than its record     |
      | a value that is not UTF-8        |
      | a value that is no JSON          |
      | a value nested ten thousand deep |
      | a list in place of an entry      |
      | routes that are texts            |
