Feature: Agents adapt a group's expert layout to demand

  Scenario: The load of a skewed group is balanced
    Given a group of ranks with agents
    When the group runs with its first layout
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: Demand shifts to other experts
    Given a group of ranks with agents
    When its skew falls below 1.4 within 20 s
    And demand shifts to other experts
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: Orders are lost and executed late
    Given a group of ranks with agents
    When the next 40 orders are executed 1.5 s late and their answers are lost
    And demand shifts to other experts
    Then its skew falls below 1.4 within 30 s
    And no step of the group began on two layouts
    And the group is not held

  Scenario: The holder is killed while it changes the layout
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder is killed while the group is held
    Then another agent holds the lease within 20 s
    And the group is not held within 20 s
    When the killed agent is started again
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: The holder freezes while the group is held
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder is frozen while the group is held
    Then another agent finishes the change within 20 s
    And the group is not held within 20 s
    And no step of the group began on two layouts

  Scenario: The holder and its rank stop responding
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder and its rank stop responding while the group is held
    Then the group is not held within 20 s
    When they respond again
    And demand shifts to other experts
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: A frozen holder resumes after it was replaced
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder is frozen until another holds the lease
    Then the frozen agent stops managing the group within 20 s
    And its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: A rank restarts and the group forms again
    Given a group of ranks with agents
    When its skew falls below 1.4 within 20 s
    And a rank restarts
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: A rank restarts under its id while the group is held
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And a rank restarts while the group is held
    Then the group is not held within 20 s
    And its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: The store is unavailable
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And its skew falls below 1.4 within 20 s
    And the store is unavailable and demand shifts to other experts
    Then its skew falls below 1.4 within 20 s
    And no step of the group began on two layouts

  Scenario: A stopping holder releases the lease at once
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder is stopped gracefully
    Then it logs that it has stopped
    And another agent holds the lease within 20 s

  Scenario: An agent reloads its settings and continues
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And the holder receives a signal to reload its settings
    Then it logs that it has reloaded them
    And its skew falls below 1.4 within 20 s

  Scenario: The layout of a group that is not busy is not changed
    Given a group of ranks with agents
    When the ranks have 1 request each
    And an agent holds the lease permanently
    Then its layout is still the first after 100 steps
    When the ranks have 6 requests each
    Then its skew falls below 1.4 within 20 s

  Scenario: A layout follows demand before the group is full
    Given a group of ranks with agents
    When the ranks have 2 requests each
    And an agent holds the lease permanently
    Then its skew falls below 1.4 within 20 s

  Scenario: An outdated report of a rank is not used as its current state
    Given a rank whose reports to other boxes are outdated
    When it receives a hold
    Then the state after the order is the one that its agent reports
    When its agent is unresponsive and it receives the end of the hold
    Then no state is returned with the outcome

  Scenario: Each of two groups behind one target has its own holder and layout
    Given 2 groups of ranks with agents
    Then an agent of each group holds its lease within 20 s
    And the skew of group 0 falls below 1.4 within 20 s
    And the skew of group 1 falls below 1.4 within 20 s
    When demand of group 1 shifts to other experts
    Then the skew of group 1 falls below 1.4 within 20 s
    When group 0 forms again
    Then the skew of group 0 falls below 1.4 within 20 s
    And no step of either group began on two layouts

  Scenario: One of two groups continues while the ranks of the other do not respond
    Given 2 groups of ranks with agents
    When the ranks of group 0 do not respond
    And demand of group 1 shifts to other experts
    Then the skew of group 1 falls below 1.4 within 20 s
    And no step of either group began on two layouts
