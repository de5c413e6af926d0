Feature: An upstream is left alone for what it did, not for how much was on it

  Requests that are lost together are one event.  The circuit doubled its open
  time with each of them: an upstream that crashed with ten requests on it
  was left alone for 30 s, though it was back within two.

  Scenario Outline: <count> requests are lost together
    Given an upstream with <count> requests in progress
    When all of them are lost at once
    Then it is asked again after 1 s

    Examples:
      | count |
      | 5     |
      | 6     |
      | 10    |
      | 60    |

  Scenario: Each trial that fails doubles the time
    Given an upstream with 10 requests in progress
    When all of them are lost at once
    And 3 trials fail, each as soon as it may be sent
    Then it is asked again after 8 s

  Scenario: What was sent before the circuit opened fails during a trial
    Given an upstream with 10 requests in progress
    When 5 of them are lost, a trial is sent, the others are lost, it succeeds
    Then it is asked again after 0 s
