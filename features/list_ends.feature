Feature: An upstream that has left gets no requests by an older record

  Scenario Outline: An end learned from <way> is forgotten when a copy names sequence <sequence>
    Given an entry that lists an upstream with sequence 4
    When <way> shows that it has left
    And the list comes back from a copy that names it with sequence <sequence>
    Then it gets no requests

    Examples:
      | way           | sequence |
      | the log       | 3        |
      | the log       | 4        |
      | a peer's list | 3        |
      | a peer's list | 4        |
      | a peer's list | 5        |

  Scenario Outline: An upstream that returns after an end learned from <way> is not used
    Given an entry that lists an upstream with sequence 4
    When <way> shows that it has left
    And it announces itself with sequence 6
    Then it gets requests

    Examples:
      | way           |
      | the log       |
      | a peer's list |

  Scenario: An upstream that returns in a peer's list, past its record, is not used
    Given an entry that lists an upstream with sequence 4
    When a peer's list shows that it has left
    And a peer's list shows it with sequence 6
    Then it gets requests

  Scenario: An upstream that a copy names and whose end is not written again is not used
    Given an entry that lists an upstream with sequence 4
    When a peer's list shows that it has left
    And the list comes back from a copy that names it with sequence 5
    Then it gets no requests
    And it gets requests 10 s later

  Scenario: An upstream that a copy names and whose end is written again is used
    Given an entry that lists an upstream with sequence 4
    When a peer's list shows that it has left
    And the list comes back from a copy that names it with sequence 5
    And its end is in the log
    Then it gets no requests 10 s later

  Scenario: An upstream that a copy and then a peer's list lack is taken for gone
    Given an entry that lists an upstream with sequence 4
    When the list comes back from a copy without it
    And a peer's list shows the same
    And it announces itself with sequence 4
    Then it gets requests

  Scenario Outline: A record that is carried out late brings an upstream back after <newer>
    Given an entry that lists an upstream with sequence 4
    When <newer> is in the log
    And it announces itself with sequence <sequence>
    Then it gets no requests

    Examples:
      | newer                           | sequence |
      | that it leaves, with sequence 6 | 5        |
      | its end                         | 3        |
      | its end                         | 4        |

  Scenario: An upstream that announces itself after it said that it leaves is used
    Given an entry that lists an upstream with sequence 4
    When that it leaves, with sequence 6, is in the log
    And it announces itself with sequence 7
    Then it gets requests
