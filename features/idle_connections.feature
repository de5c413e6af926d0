Feature: An idle connection that is not silent is not reused

  Scenario Outline: <what> waits unread on an idle connection
    Given a pool with an idle connection to a peer
    When <what> arrives and is not read yet
    Then the next request goes out on <connection>

    Examples:
      | what             | connection       |
      | nothing          | that connection  |
      | a surplus answer | a new connection |
      | a close          | a new connection |
