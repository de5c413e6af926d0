Feature: A holder relies on nothing that an earlier start of a rank held

  A rank that starts again under its id has forgotten fences, what it had
  prepared and what it was armed for.  It may be back within one look, in the
  same epoch and at the same step, so only its time of birth tells.

  Scenario Outline: A rank starts again after <count> orders
    Given a holder whose rank "<rank>" starts again after <count> orders
    When it changes the layout
    Then each order went to a start that refuses earlier holders
    And no rank was armed for what it had not prepared
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

  Scenario: Without its time of birth the fault is there
    Given a holder whose rank "r1" starts again untold after 4 orders
    When it changes the layout
    Then an order went to a start that does not refuse earlier holders

  Scenario: Counters of two starts are not subtracted
    When a rank counts 100, starts again in its epoch and counts 130
    Then nothing of that is taken for demand

  Scenario: What an earlier start held is asked for anew
    When a rank that told what it holds starts again in its epoch
    Then what it holds is asked for in the next look
