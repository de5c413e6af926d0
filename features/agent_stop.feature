Feature: A stopping agent releases its lease and its group

  Scenario: The lease is released after a pending renewal has been answered
    Given a lease keeper with a pending renewal
    When the lease keeper is stopped
    Then the lease is released only after the renewal has been answered

  Scenario: A released lease is not requested again
    Given a lease keeper that reads the limits before its renewal
    When the lease keeper is stopped
    And the limits are answered
    Then the lease has been released and not renewed

  Scenario: A stopping holder releases a group whose hold had no answer
    Given a holder whose order to hold the group is executed but not answered
    When the holder is stopped meanwhile
    Then no rank is held once its controller has ended

  Scenario: A stopping holder waits for a hold that is executed late
    Given a holder whose order to hold the group is executed 0.5 s late
    When the holder is stopped meanwhile
    Then no rank is held once its controller has ended

  Scenario: A stopping holder ends although ranks stay unresponsive
    Given a holder whose ranks stop responding after its order to hold the group
    When the holder is stopped meanwhile
    Then its controller has ended within 4 s

  Scenario: An agent releases its lease although its controller does not end
    Given an agent with a grace time of 6 s whose group controller never ends
    When the agent is stopped and 6 s have passed
    Then its lease was released while it had time to close its connections
    And its log names the step that timed out

  Scenario: An agent releases its lease although its controller failed
    Given an agent with a grace time of 6 s whose group controller has failed
    When the agent is stopped and 1 s has passed
    Then its lease was released while it had time to close its connections
