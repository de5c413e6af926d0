Feature: A holder discards the state of a restarted rank

  A rank that restarts under its id loses its fence and prepared layouts.  It
  may return within one check, in the same epoch and at the same step, so only
  its start time shows the restart.

  Scenario Outline: A rank restarts after <count> orders
    Given a holder whose rank "<rank>" restarts after <count> orders
    When it changes the layout
    Then each order went to a start that refuses earlier holders
    And no rank was armed for a layout that it had not prepared
    And the layout is in use at all ranks

    Examples:
      | rank | count |
      | r0   | 1     |
      | r0   | 2     |
      | r0   | 3     |
      | r0   | 4     |
      | r0   | 5     |
      | r1   | 1     |
      | r1   | 2     |
      | r1   | 3     |
      | r1   | 4     |
      | r1   | 5     |

  Scenario: Without a start time the fault occurs
    Given a holder whose rank "r1" restarts without a start time after 4 orders
    When it changes the layout
    Then an order went to a start that does not refuse earlier holders

  Scenario: Counters of two starts are not subtracted
    When a rank counts 100, restarts in its epoch and counts 130
    Then none of that counts as demand

  Scenario: The experts of a restarted rank are requested again
    When a rank whose experts are known restarts in its epoch
    Then its experts are requested in the next check
