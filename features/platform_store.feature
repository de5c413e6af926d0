Feature: What an entry knows survives its store

  Scenario: A new version comes into force and an older one never does
    Given a fleet of its own
    When the operator states a version without the route "/read/"
    Then requests to "/read/x" get 404 within 2 s
    When an older version with that route is written
    Then requests to "/read/x" still get 404 after 1 s

  Scenario: A key that is taken away is refused, a new one served
    Given a fleet of its own
    When the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s
    And the key "key-of-acme" is refused with 401

  Scenario Outline: The store is down (<how>): what is known goes on
    Given a fleet of its own
    When the store is down, <how>
    Then 20 requests are all served
    And the entry stays ready
    And its log says once that the list cannot be read
    When the store is back and a worker "w3" is leaving
    Then requests to "/push/x" run at "w4" alone within 4 s

    Examples:
      | how    |
      | silent |
      | busy   |
      | reset  |

  Scenario: The history of the store goes while an entry follows it
    Given a fleet of its own
    When the history of the store is dropped
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 4 s

  Scenario: Reads that are behind take nothing back
    Given a fleet of its own
    When the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s
    When reads of the store are 50 records behind for 2 s
    Then the key "fresh-key" is served within 2 s
    And requests to "/push/x" with the key "key-of-acme" still get 401

  Scenario Outline: A worker that is <how> gets no more work
    Given a fleet of its own
    When worker "w3" is <how>
    Then requests to "/push/x" run at "w4" alone within 2 s

    Examples:
      | how       |
      | leaving   |
      | withdrawn |

  Scenario: An entry that starts while the store is down asks its peers
    Given a fleet of its own with 2 entries
    When the store is down, silent
    And entry "f2" is killed and started again
    Then entry "f2" has the configuration of its peer within 10 s
    And it serves by its peer's list of workers within 10 s

  Scenario: An entry that starts before its peer knows anything takes its list
    Given a fleet of its own with 2 entries
    When the store is down, silent
    And both entries are killed and "f2" is started again
    Then entry "f2" is not ready and answers 503
    When the store is back and entry "f1" has started on it
    And the store is down, silent
    Then it serves by its peer's list of workers within 10 s

  Scenario: An entry that knows nothing answers 503
    Given a fleet of its own
    When the store is down, reset
    And entry "f1" is killed and started again
    Then it is not ready and answers 503

  Scenario: The store's client keeps to the protocol
    Given a store of its own
    Then an append at the wrong place is refused and adds nothing
    And an append of an older epoch is refused
    And a repeated append of a producer is taken once
    And a read waits for a record and gets it
    And records that are gone are named by the lowest kept offset
    And the newest record of each key comes in pages
    And members of a group share the partitions out

  Scenario: A store that was silent is heard again at once
    Given a fleet of its own
    When the store is down, silent
    And the store is silent for 5 s more and then back
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 2 s

  Scenario: An entry that cannot reach the store follows its peers
    Given a fleet whose entry "f2" has a store that does not answer
    When the operator replaces the keys by "fresh-key"
    Then entry "f2" has the version of its peer within 3 s
    And it serves by its peer's list of workers within 10 s
    When the worker "w3" is leaving
    Then requests by entry "f2" to "/push/x" run at "w4" alone within 4 s

  Scenario: Upstreams that announce themselves again soon after an outage are kept
    Given a fleet of its own
    When the store is down, busy
    And the entries of "w3" and "w4" lapse while it is away
    And the store is back
    Then every request to "/push/x" is served for 1.4 s
    When "w3" and "w4" announce themselves again
    Then every request to "/push/x" is served for 2.0 s

  Scenario: An upstream that does not announce itself again after an outage is gone
    Given a fleet of its own
    When the store is down, busy
    And the entries of "w3" and "w3" lapse while it is away
    And the store is back
    Then requests to "/push/x" run at "w4" alone within 4 s
    And they have done so for no longer than its entry could still come back
