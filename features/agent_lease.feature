Feature: An agent sends no orders after it has lost its lease

  Scenario Outline: The lease is lost while the answer to an order is pending
    Given a holder that waits for the answer to its order to <order>
    When its lease is lost and the order was <outcome>
    Then it has sent no order after that
    And it has logged once that the check was aborted
    And it manages the group again under the next fence

    Examples:
      | order   | outcome |
      | fence   | taken   |
      | prepare | taken   |
      | hold    | unknown |
      | arm     | taken   |
      | go      | taken   |
      | fence   | fenced  |
      | arm     | fenced  |

  Scenario Outline: The lease is lost while ranks are queried
    Given a holder whose query <nth> of its ranks is pending
    When its lease is lost and the ranks answer
    Then it has sent no order after that
    And it has logged once that the check was aborted
    And it manages the group again under the next fence

    Examples:
      | nth |
      | 1   |
      | 2   |
      | 3   |
      | 4   |

  Scenario: The lease is lost while the limits are read
    Given a holder that waits for the limits
    When its lease is lost and the limits are answered
    Then it has sent no order after that
    And it has logged once that the check was aborted
    And it manages the group again under the next fence

  Scenario Outline: The lease is regained before an order is answered
    Given a holder that waits for the answer to its order to <order>
    When its lease is lost and regained, and the order was <outcome>
    Then it manages the group again under the next fence

    Examples:
      | order   | outcome |
      | fence   | taken   |
      | prepare | taken   |
      | hold    | unknown |
      | arm     | taken   |
      | arm     | fenced  |

  Scenario: An agent that completes a change without the lease continues
    Given an agent that completes a change and waits for an answer
    When its lease is lost and the order was taken
    Then the change is completed

  Scenario: The lease is lost while the holder stops
    Given a holder that waits for the answer to its order to hold
    When it is told to stop
    And its lease is lost and the order was unknown
    Then it has sent no order after that
    And its controller has ended without an error
