Feature: An agent keeps an answer until its entry has fetched it

  Scenario: An agent keeps an ended answer until its entry has fetched it
    Given a cluster of its own whose agents hold up to 8 MB of an answer
    When a service has answered 4 MB to a caller who reads nothing for 8 s
    Then the slow caller gets the complete answer

  Scenario Outline: An agent drops an ended answer after a time-out
    Given an agent's answer of 3 pieces that has ended
    When its entry <does>
    Then it is still kept after <kept> s without a pull
    And it is dropped after <gone> s without a pull

    Examples:
      | does                              | kept | gone |
      | has fetched nothing               | 14   | 16   |
      | has fetched 2 pieces              | 14   | 16   |
      | has fetched all pieces            | 4    | 6    |
      | has fetched nothing and cancelled | 4    | 6    |

  Scenario: An entry that waits in a pull is not idle
    Given an agent's answer that begins 9 s after its entry has pulled
    When the answer ends with more than its entry has fetched
    Then it is still kept after 14 s without a pull
    And it is dropped after 16 s without a pull

  Scenario: A stopping agent ends after its entry has fetched its answers
    Given a cluster of its own whose agents hold up to 8 MB of an answer
    When a service has answered 4 MB to a caller who reads nothing yet
    And its agent is stopped and the caller begins to read 4 s later
    Then the slow caller gets the complete answer
    And the agent has exited with status 0

  Scenario Outline: A stop waits for an entry up to a time-out
    Given an agent's answer of <count> pieces that has ended
    When its entry <does>
    Then a stop still waits <kept> s after the last pull
    And it no longer waits <gone> s after the last pull

    Examples:
      | count | does                              | kept | gone |
      | 3     | has fetched nothing               | 14   | 16   |
      | 3     | has fetched 2 pieces              | 14   | 16   |
      | 3     | has fetched all pieces            | 0    | 2    |
      | 3     | has fetched nothing and cancelled | 0    | 2    |
      | 0     | has fetched nothing               | 14   | 16   |

  Scenario: An answer of a service is not delayed by buffering
    Given a cluster of its own whose agents hold up to 64 KB of an answer
    When a caller requests from a service 200 KB
    Then the answer is complete within 5 s
