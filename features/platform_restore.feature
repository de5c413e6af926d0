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
    And its log has no error

  Scenario: An entry that starts on the copy serves an older version than its peer
    Given a fleet of its own with 2 entries
    When the store is copied
    And the operator states 3 more versions
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s
    When the store comes back from that copy
    And entry "f2" is killed and started again
    Then the started entry "f2" serves "fresh-key" within 10 s

  Scenario: A suspended entry misses what was written below its offset
    Given a fleet of its own
    When the store is copied
    And the workers announce themselves 3 more times
    And entry "f1" is suspended
    And the store comes back from that copy
    And worker "w3" is leaving
    And the workers but "w3" announce themselves 9 more times
    And entry "f1" is resumed
    Then requests to "/push/x" run at "w4" alone within 2 s

  Scenario Outline: An upstream that has <how> gets requests again by the copy
    Given a fleet of its own
    When the store is copied
    And the workers announce themselves 3 more times
    And worker "w3" is <change>
    Then requests to "/push/x" run at "w4" alone within 2 s
    When the store comes back from that copy
    Then requests to "/push/x" run at "w4" alone for 2.5 s

    Examples:
      | how     | change    |
      | said so | leaving   |
      | left    | withdrawn |

  Scenario: Upstreams that the copy does not list yet are dropped
    Given a fleet of its own
    When the store comes back empty and is written again after 1.2 s
    Then every request to "/push/x" is served for 3.0 s

  Scenario: A fence drawn after a restore is below an earlier one
    Given a store of its own
    When the store is copied
    And two holders of a lease draw 3 fences each
    And the store comes back from that copy
    Then the next fence of each holder is above all before

  Scenario: A group's layout cannot change after the restore
    Given a group of ranks with agents
    When an agent holds the lease permanently
    And other holders have drawn 100 fences for the group
    And the store comes back empty and is written again after 0.5 s
    And the holder is killed and demand shifts to other experts
    Then its skew falls below 1.4 within 30 s
    And no step of the group began on two layouts

  Scenario: Entries go back or are late through restores and restarts
    When a seeded soak of restores runs for 8 s
    Then it has kept all rules

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
