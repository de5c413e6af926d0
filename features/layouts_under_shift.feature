Feature: Layouts follow demand that shifts every few seconds

  Scenario: Short changes reduce the time that a group spends at a high skew
    When the demand of 5 groups shifts every 4 s and the loads per change are not limited
    And the loads per change of 5 such groups are limited to half a second
    Then the limit reduces the time at a skew above 1.8 by a quarter

  Scenario: A change loads the experts that shorten a pass most
    When one set of layers is skewed and another is not, and a rank may load one expert
    Then the expert is loaded for the skewed set

  Scenario: The loads per change follow from the load time of the engine
    Then ranks that take 0.4 s for an expert load 1 in a change
    And ranks that take 0.04 s for an expert load 12 in a change
    And ranks that take 3 s for an expert load 1 in a change
    And ranks without a known load time load without a limit

  Scenario: The demand of a group is kept while it is unavailable
    When a group has demand for its first expert, is unavailable for 10 s, and forms anew
    Then its demand is unchanged
    When it has demand for its second expert for 3 s
    Then its demand is for the second expert only

  Scenario: Changes that are held further ahead keep one layout per step
    When 900 seeded traces run in which changes are held 2 to 8 steps ahead
    Then no step of them began on two layouts

  Scenario Outline: The margin of a change covers the time to arm all ranks
    When steps take <step> s and arming all ranks took <arming> s
    Then the next change is held <steps> steps ahead

    Examples:
      | step | arming | steps |
      | 0.1  | 0.02   | 2     |
      | 0.1  | 0.17   | 4     |
      | 0.02 | 0.5    | 12    |
