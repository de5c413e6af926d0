Feature: An agent takes an answer for delivered when its entry has fetched it

  Scenario: An agent keeps an ended answer until its entry has fetched it
    Given a cluster of its own whose agents hold up to 8 MB of an answer
    When a service has answered 4 MB to a caller who reads nothing for 8 s
    Then the slow caller gets the whole answer

  Scenario Outline: An agent keeps an ended answer for so long and no longer
    Given an agent's answer of 3 pieces that has ended
    When its entry <does>
    Then it is still kept after <kept> s without a pull
    And it is forgotten after <gone> s without a pull

    Examples:
      | does                              | kept | gone |
      | has fetched nothing               | 14   | 16   |
      | has fetched 2 pieces              | 14   | 16   |
      | has fetched all pieces            | 4    | 6    |
      | has fetched nothing and cancelled | 4    | 6    |

  Scenario: An entry that waits in a pull is not silent
    Given an agent's answer that begins 9 s after its entry has pulled
    When the answer ends with more than its entry was given
    Then it is still kept after 14 s without a pull
    And it is forgotten after 16 s without a pull

  Scenario: An answer of a service is not held up on its way
    Given a cluster of its own whose agents hold up to 64 KB of an answer
    When a caller asks a service for 200 KB
    Then the answer is whole within 5 s
