Feature: An agent that has lost its lease lets the group alone until the next

  Scenario Outline: The lease is lost while the answer to an order is awaited
    Given a holder that waits for the answer to its order to <order>
    When its lease is lost and the order was <outcome>
    Then it has sent no order after that
    And it has said once that it leaves the group alone
    And it looks after the group again under the next fence

    Examples:
      | order   | outcome |
      | fence   | taken   |
      | prepare | taken   |
      | hold    | unknown |
      | arm     | taken   |
      | go      | taken   |
      | fence   | fenced  |
      | arm     | fenced  |

  Scenario Outline: The lease is lost while ranks are asked
    Given a holder that waits for its ranks, asked for the <nth>th time
    When its lease is lost and the ranks answer
    Then it has sent no order after that
    And it has said once that it leaves the group alone
    And it looks after the group again under the next fence

    Examples:
      | nth |
      | 1   |
      | 2   |
      | 3   |
      | 4   |

  Scenario: The lease is lost while the limits are asked for
    Given a holder that waits for the limits
    When its lease is lost and the limits are answered
    Then it has sent no order after that
    And it has said once that it leaves the group alone
    And it looks after the group again under the next fence

  Scenario Outline: The lease comes back before an order is answered
    Given a holder that waits for the answer to its order to <order>
    When its lease is lost and taken again, and the order was <outcome>
    Then it looks after the group again under the next fence

    Examples:
      | order   | outcome |
      | fence   | taken   |
      | prepare | taken   |
      | hold    | unknown |
      | arm     | taken   |
      | arm     | fenced  |

  Scenario: One that finishes a change without the lease goes on
    Given an agent that finishes a change and waits for an answer
    When its lease is lost and the order was taken
    Then the change is brought to its end

  Scenario: The lease is lost while the holder stops
    Given a holder that waits for the answer to its order to hold
    When it is told to stop
    And its lease is lost and the order was unknown
    Then it has sent no order after that
    And its work has ended in order
