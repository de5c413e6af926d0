Feature: A dead connection delays a request by a time-out at most

  Scenario Outline: Connections to the store are dead (<way>)
    Given a fleet that reaches its store through a relay
    When the operator replaces the keys by "first-key"
    Then the key "first-key" is served within 2 s
    When the open connections to the store stop delivering data, <way>
    And the operator replaces the keys by "fresh-key"
    Then the key "fresh-key" is served within 3 s
    When the operator replaces the keys by "key-of-acme"
    Then the key "key-of-acme" is served within 3 s
    When the worker "w3" is leaving
    Then requests to "/push/x" run at "w4" alone within 3 s

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario: An entry with dead connections to the store updates from its peers
    Given a fleet of 3 entries whose "f3" reaches its store through a relay
    When the open connections to the store stop delivering data, both
    And the operator replaces the keys by "fresh-key"
    Then entry "f3" serves the key "fresh-key" within 3 s

  Scenario Outline: A call to the store meets a dead connection (<way>)
    Given a store of its own behind a relay, with 3 idle connections
    When the open connections to the store stop delivering data, <way>
    Then an append fails within 1 s
    And the next append is answered within 0.2 s
    And each append is in the log at most once

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario: Another connection was heard while the first call was lost
    Given a store of its own behind a relay, with 3 idle connections
    When an append is lost while another one is answered, and all go silent
    Then the next append is answered within 0.2 s

  Scenario Outline: A link to <whom> dies (<way>) during its calls
    Given a link to <whom> through a relay
    When the link has been used
    And the open connections to the peer stop delivering data, <way>
    Then a call over the link fails after its time-out and is not retried
    And the next call over the link is answered

    Examples:
      | whom     | way   |
      | an agent | both  |
      | an agent | there |
      | an agent | back  |
      | an entry | both  |
      | an entry | there |
      | an entry | back  |

  Scenario: A link that died while idle loses no call
    Given a link to an agent through a relay
    When the link has been used
    And the link is idle for 1.2 s
    And the open connections to the peer stop delivering data, both
    Then the next call over the link is answered

  Scenario: A slow call does not fail other calls on its link
    Given a peer that answers its first two calls slowly
    When two calls are sent and the first times out
    Then the second is still answered
    And the call after them is answered

  Scenario Outline: Idle connections to workers are dead (<way>)
    Given a fleet whose workers are reached through relays
    When all open connections to workers stop delivering data, <way>
    And a client sends "GET" "/read/x" with the body ""
    Then the answer is the worker's own, with status 200
    And it arrived within 1.5 s
    And at most 2 workers ran it
    And the next 10 requests are each served within 0.5 s

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario Outline: A request that is not idempotent meets a dead connection (<way>)
    Given a fleet whose workers are reached through relays
    When all open connections to workers stop delivering data, <way>
    And a client sends "POST" "/push/x" with the body "once"
    Then the answer is a success or states an unknown outcome
    And it arrived within 4.5 s
    And it ran at most once
    When a client sends "GET" "/read/x" with the body ""
    And a client sends "POST" "/push/x" with the body "once"
    Then the answer is the worker's own, with status 200

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario: A resumable stream meets a dead connection
    Given a fleet whose workers are reached through relays
    When all open connections to workers stop delivering data, both
    And a client sends "POST" "/chat/x" with the body "hi"
    Then every event of the stream arrived once, within 1.5 s

  Scenario: A slow worker is not taken for a dead connection
    Given a fleet whose workers are reached through relays
    When 6 concurrent requests are sent to workers that are frozen for 2 s
    Then at most 2 of them ran twice and all succeeded

  Scenario: One of many exchanges without an answer is aborted on suspicion
    Given 5 exchanges with a peer that began at 0 s and one with another peer
    Then at 1.0 s one exchange with each peer is aborted
    And at 2.0 s no other is aborted
    When an answer begins at 2.1 s on a connection opened at 1.2 s
    Then at 2.2 s no other is aborted
    And at 2.7 s all others with that peer are aborted

  Scenario: A slow peer has a longer first-byte time-out
    Given a peer whose first bytes took 0.1, 0.2, 0.5 and 3.0 s
    Then its first-byte time-out is 2.0 s and that of other peers 1.0 s

  Scenario: A frozen entry loses no answer that has arrived
    Given a fleet whose workers are reached through relays
    When an entry is frozen for 1.3 s while the answer to "/read/x" arrives
    Then the request succeeded and ran once

  Scenario Outline: Connections of callers are dead (<way>)
    Given a fleet whose entry is reached through a relay
    And idle connections are closed after 1 s
    When 3 callers each keep a connection open
    And the open connections of callers stop delivering data, <way>
    Then a caller on a new connection is served within 0.5 s
    And the entry closes the 3 dead connections within 4 s

    Examples:
      | way   |
      | both  |
      | there |
      | back  |
