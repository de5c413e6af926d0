Feature: A change is in force in time, whichever other entries are gone

  Scenario Outline: Reads are silent and the entries that read often are <gone>
    Given 4 entries that reach their store through relays
    When every open connection to the store stops delivering data
    And 3 s later the entries "f1" and "f2" are <gone>
    And the operator drops the route "/read/" and "w3" is leaving
    Then after 2 s the entries "f3" and "f4" have dropped the route
    And the entries "f3" and "f4" send requests to "w4" alone

    Examples:
      | gone                   |
      | stopped in order       |
      | killed                 |
      | frozen                 |
      | killed and restarted   |
      | cut off from the store |

  Scenario Outline: A second silence follows <seconds> s after the first
    Given 4 entries that reach their store through relays
    When every open connection to the store stops delivering data
    And <seconds> s later it happens again, and "f1" and "f2" are killed
    And the operator drops the route "/read/" and "w3" is leaving
    Then after 3 s the entries "f3" and "f4" have dropped the route
    And the entries "f3" and "f4" send requests to "w4" alone

    Examples:
      | seconds |
      | 0.5     |
      | 1.6     |
      | 2.6     |
