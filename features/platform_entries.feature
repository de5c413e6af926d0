Feature: An invalid record in the list of upstreams is ignored

  Guards against invalid records of other writers that are used as workers, or
  that leave the valid record before them in use.

  Scenario Outline: A record with <field> <value> lists no upstream
    Given the list of upstreams with a valid "w1" and "w2"
    When "w1" is written with <field> set to <value>
    Then only "other" and "w2" get work
    And one line and one count name "w1" and the reason "<reason>"
    When "w1" is written with valid fields
    Then "w1" gets work again

    Examples:
      | field        | value          | reason       |
      | slots        | "4"            | slots        |
      | slots        | -1             | slots        |
      | slots        | true           | slots        |
      | slots        | 1.5            | slots        |
      | slots        | 99999999999    | slots        |
      | slots        | nothing        | slots        |
      | state        | "weird"        | state        |
      | state        | nothing        | state        |
      | addr         | 5              | addr         |
      | addr         | "x"            | addr         |
      | addr         | "10.0.0.1"     | addr         |
      | addr         | "10.0.0.1:0"   | addr         |
      | addr         | "10.0.0.1:65536" | addr       |
      | addr         | "10.0.0.1:²"   | addr         |
      | addr         | "h:80"         | addr         |
      | addr         | "0.0.0.0:80"   | addr         |
      | addr         | "224.0.0.1:80" | addr         |
      | addr         | "255.255.255.255:80" | addr   |
      | slots        | 1e30           | slots        |
      | cold_left_ms | 9223372036854775808 | cold_left_ms |
      | seq          | 9223372036854775808 | seq     |
      | service      | ["a"]          | service      |
      | service      | ""             | service      |
      | zone         | nothing        | zone         |
      | version      | 1              | version      |
      | cold_left_ms | -5             | cold_left_ms |
      | cold_left_ms | "0"            | cold_left_ms |
      | seq          | true           | seq          |
      | born         | "1"            | born         |
      | born         | 1.5            | born         |
      | born         | null           | born         |

  Scenario: A record without its start is invalid where most others have theirs
    Given the list of upstreams with a valid "w1" and "w2"
    When "other" is written with born set to 1000
    And "w1" is written with born set to 1000
    And "w2" is written with valid fields
    Then only "w1" gets work

  Scenario: One record with a start makes those of all others invalid
    Given the list of upstreams with a valid "w1" and "w2"
    When "foreign" is written with born set to 1000
    And "w1" is written with valid fields
    And "w2" is written with valid fields
    Then "w1" and "w2" get work

  Scenario Outline: A record of another writer under an upstream's name, with <field> at its limit
    Given the list of upstreams with a valid "w1" and "w2"
    When "w1" is written with <field> set to 9223372036854775807
    And "w1" goes on announcing itself for 6 s, at another address
    Then "w1" gets work at that address
    When "w1" announces that it leaves
    Then only "w2" gets work

    Examples:
      | field        |
      | seq          |
      | born         |
      | cold_left_ms |

  Scenario: A service that is not configured yet does not invalidate a record
    Given the list of upstreams with a valid "w1" and "w2"
    When "w1" is written with service set to "later"
    Then "w1" is listed for "later"

  Scenario: A repeated invalid record is reported once
    Given the list of upstreams with a valid "w1" and "w2"
    When "w1" is written with slots set to "4" 50 times
    Then one line and one count name "w1" and the reason "slots"

  Scenario: Only valid records are listed, whatever the records contain
    When 400 generated lists of records are read
    Then no error occurred, and each time only the valid records got work

  Scenario: Heartbeats alone are not advertised to other entries
    Given the list of upstreams with a valid "w1" and "w2"
    When the heartbeat of "w1" is written 50 times
    Then no update is advertised to other entries
    When "w1" is written with state set to "draining"
    Then an update is advertised to other entries
    When "w2" is withdrawn from the list
    Then an update is advertised to other entries
