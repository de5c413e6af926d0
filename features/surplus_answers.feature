Feature: Surplus answers on a connection are not read as the next answer

  Scenario Outline: <what> waits unread on an idle connection
    Given a pool with an idle connection to a peer
    When <what> arrives and is not read yet
    Then the next request goes out on <connection>

    Examples:
      | what             | connection       |
      | nothing          | that connection  |
      | a surplus answer | a new connection |
      | a close          | a new connection |

  Scenario: The own answer is read behind a surplus one, in pieces of any size
    When a surplus answer and the own one arrive in generated pieces
    Then each time the own answer is read and the connection is not reused

  Scenario: A surplus answer that ends with its connection hides the own one
    When a surplus answer with neither a length nor chunks arrives
    Then reading over it fails
