Feature: The store comes back from an older copy

  Scenario: A log that ends below the offset reached is reported
    Given a fleet whose store names no era
    When the store is copied
    And the operator states 3 more versions
    And the store comes back from that copy
    Then its log says that the store lacks the records asked for
    And its log says once that the log ends below the offset reached

  Scenario Outline: Versions written after a restore are passed over (<times> restores)
    Given a fleet of its own
    When the store is copied
    And the operator states 3 more versions
    And the store comes back <times> times from that copy
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s
    And the key "key-of-acme" is refused with 401

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario: Versions are passed over while a read waits through the restore
    Given a fleet of its own
    When the store is copied
    And the operator states 3 more versions
    And the store is restored from that copy without being away
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 4 s

  Scenario: A version that only the lost records held goes out of force
    Given a fleet of its own
    When the store is copied
    And the operator states 3 more versions
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s
    When the store comes back from that copy
    Then the key "fresh-key" and no other is served for 3.0 s
    And the entry has sent the store no more than 30 reads a second
    And its log says once from which offset the log went back

  Scenario: The store's client takes an answer of an earlier era
    Given a store of its own
    When the store names the era "5" and then the era "4"
    Then neither a read nor an append nor a join takes its answer
    When the store names the era "6"
    Then its answers are taken, with era 6

  Scenario Outline: The store's client stumbles over the era "<era>"
    Given a store of its own
    When the store names the era "5" and then the era "<era>"
    Then its answers are taken, with era 5

    Examples:
      | era                   |
      | seven                 |
      | -1                    |
      | 5.5                   |
      | 99999999999999999999  |
      | none                  |
