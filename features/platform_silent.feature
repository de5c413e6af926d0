Feature: A connection that goes silent costs no more than a time-out of ours

  Scenario Outline: Connections to the store are silent (<way>)
    Given a fleet that reaches its store through a relay
    When the operator replaces the keys by "first-key"
    Then the key "first-key" is served within 2 s
    When the open connections to the store go silent, <way>
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

  Scenario: An entry whose reads wait long at the store learns from its peers
    Given a fleet of 3 entries whose "f3" reaches its store through a relay
    When the open connections to the store go silent, both
    And the operator replaces the keys by "fresh-key"
    Then entry "f3" serves the key "fresh-key" within 3 s

  Scenario Outline: A call to the store meets a silent connection (<way>)
    Given a store of its own behind a relay, with 3 idle connections
    When the open connections to the store go silent, <way>
    Then an append has no answer after 1 s at most
    And the next append is answered within 0.2 s
    And each append is in the log once at most

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario Outline: A link to <whom> goes silent (<way>) under its calls
    Given a link to <whom> through a relay
    When the link has been used
    And the open connections to the peer go silent, <way>
    Then a call over the link is lost after its time-out and not sent again
    And the next call over the link is answered

    Examples:
      | whom     | way   |
      | an agent | both  |
      | an agent | there |
      | an agent | back  |
      | an entry | both  |
      | an entry | there |
      | an entry | back  |

  Scenario: A link that went silent while it was idle loses no call
    Given a link to an agent through a relay
    When the link has been used
    And the link is idle for 1.2 s
    And the open connections to the peer go silent, both
    Then the next call over the link is answered

  Scenario: A slow call takes no other call of its link with it
    Given a peer that answers its first two calls late
    When two calls are sent and the first is too late
    Then the second is answered all the same
    And the call after them is answered

  Scenario Outline: Idle connections to workers are silent (<way>)
    Given a fleet whose workers are reached through relays
    When all open connections to workers go silent, <way>
    And a client sends "GET" "/read/x" with the body ""
    Then the answer is the worker's own, with status 200
    And it came within 1.5 s
    And at most 2 workers ran it
    And the next 10 requests are each served within 0.5 s

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario Outline: A request that must not run twice meets silence (<way>)
    Given a fleet whose workers are reached through relays
    When all open connections to workers go silent, <way>
    And a client sends "POST" "/push/x" with the body "once"
    Then the answer is a success or says that its end is unknown
    And it came within 4.5 s
    And it ran at most once
    When a client sends "GET" "/read/x" with the body ""
    And a client sends "POST" "/push/x" with the body "once"
    Then the answer is the worker's own, with status 200

    Examples:
      | way   |
      | both  |
      | there |
      | back  |

  Scenario: A stream that may be resumed meets a silent connection
    Given a fleet whose workers are reached through relays
    When all open connections to workers go silent, both
    And a client sends "POST" "/chat/x" with the body "hi"
    Then every event of the stream came once, within 1.5 s

  Scenario: A worker that is slow is not taken for a silent connection
    Given a fleet whose workers are reached through relays
    When 6 requests are sent at once to workers that have stopped for 2 s
    Then at most 2 of them ran twice and all are served

  Scenario: Of many exchanges without an answer one ends on suspicion
    Given 5 exchanges with a peer that began at 0 s and one of another peer
    Then at 1.0 s one exchange of each peer ends
    And at 2.0 s no other does
    When an answer begins at 2.1 s on a connection opened at 1.2 s
    Then at 2.2 s no other does
    And at 2.7 s all others of that peer end

  Scenario: A peer whose answers take long to begin is given longer
    Given a peer whose answers took 0.1, 0.2, 0.5 and 3.0 s to begin
    Then its answers may take 2.0 s to begin and those of others 1.0 s

  Scenario: An entry that stood still itself misses no answer that has come
    Given a fleet whose workers are reached through relays
    When an entry stands still for 1.3 s while the answer to "/read/x" comes
    Then that request is served and ran once

  Scenario Outline: Connections of callers are silent (<way>)
    Given a fleet whose entry is reached through a relay
    And connections end after 1 s without a request
    When 3 callers each keep a connection
    And the open connections of callers go silent, <way>
    Then a caller on a new connection is served within 0.5 s
    And the entry ends the 3 silent connections within 4 s

    Examples:
      | way   |
      | both  |
      | there |
      | back  |
