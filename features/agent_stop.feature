Feature: An agent that stops leaves nothing behind that others wait for

  Scenario: A lease is given up after a renewal on its way has been answered
    Given a keeper of a lease whose renewal is on its way
    When the keeper is told to stop
    Then the lease is left only after the renewal has been answered

  Scenario: A lease that was given up is not asked for again
    Given a keeper of a lease that asks for the limits before its renewal
    When the keeper is told to stop
    And the limits are answered
    Then the lease has been left and not renewed

  Scenario: A holder that stops lets go of a group whose hold had no answer
    Given a holder whose order to hold the group is carried out but not answered
    When the holder is told to stop meanwhile
    Then no rank is held once its work has ended

  Scenario: A holder that stops waits for a hold that is carried out late
    Given a holder whose order to hold the group is carried out 0.5 s late
    When the holder is told to stop meanwhile
    Then no rank is held once its work has ended

  Scenario: A holder that stops ends though ranks stay silent
    Given a holder whose order to hold the group is followed by silence
    When the holder is told to stop meanwhile
    Then its work has ended within 4 s

  Scenario: An agent gives its lease up though its group keeps it
    Given an agent with a grace time of 6 s whose work at the group never ends
    When the agent is told to stop and 6 s have passed
    Then its lease was left while it had time to close its connections
    And its log names the step that was given up

  Scenario: An agent gives its lease up though its work at the group failed
    Given an agent with a grace time of 6 s whose work at the group has failed
    When the agent is told to stop and 1 s has passed
    Then its lease was left while it had time to close its connections
