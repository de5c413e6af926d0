Feature: Faulty answers of workers are handled

  Background:
    Given a shared fleet

  Scenario Outline: An idempotent request meets a worker's <fault>
    When a client sends "GET" "/read/<fault>" with the body ""
    Then the answer is the worker's own, with status 200
    And at most 2 workers ran it

    Examples:
      | fault          |
      | shed           |
      | error          |
      | reset          |
      | short          |
      | garbage        |
      | foreign        |
      | unframed       |
      | unframed-reset |
      | extra          |
      | extra-late     |

  Scenario Outline: A request that is not idempotent meets a worker's <fault>
    Given a fleet of its own
    When a client sends "POST" "/push/<fault>" with the body "once"
    Then the answer has status <status>
    And it ran <runs> times

    Examples:
      | fault          | status | runs |
      | shed           | 200    | 1    |
      | error          | 500    | 1    |
      | reset          | 502    | 1    |
      | short          | 502    | 1    |
      | garbage        | 502    | 1    |
      | foreign        | 502    | 1    |
      | unframed       | 200    | 1    |
      | unframed-reset | 502    | 1    |
      | extra          | 200    | 1    |
      | extra-late     | 200    | 1    |
      | mute           | 504    | 1    |

  Scenario: A surplus answer never reaches the next request
    When 40 requests are sent on one connection, each with a surplus answer
    Then each answer belongs to its request

  Scenario: A surplus refusal is taken for that of the next request
    Given a fleet of one worker that can be at fault
    When requests to "/push/shed-surplus" and "/push/x" follow on one connection to it
    Then the first is refused and the second is served, and the second ran once

  Scenario: A surplus refusal is taken for that of the same request, sent again
    Given a fleet of one worker that can be at fault
    When a client sends "POST" "/push/shed-surplus-once" with the body "once"
    Then it ran 1 times
    And the answer does not say that it has not run

  Scenario: An answer that comes before the body was read
    Given a fleet of its own
    When a client sends a body of 300000 bytes to "/push/early"
    Then the answer has status 413
    And the worker receives the next request on that connection unaltered

  Scenario: A worker that reuses an address is not taken for the old one
    Given a fleet of its own
    When the address of worker "w3" is announced under another id
    Then requests to "/push/x" run at "w4" alone

  Scenario: A large answer is complete
    When a client sends "GET" "/read/large" with the body ""
    Then the answer has 1000000 bytes

  Scenario Outline: A stream that meets a worker's <fault> resumes at another worker
    When a client streams "/chat/<fault>"
    Then the stream has every event once, in order, and is complete
    And 2 workers ran it
    And the head is from the first worker

    Examples:
      | fault        |
      | cut          |
      | torn         |
      | gap          |
      | unsized-torn |

  Scenario Outline: Garbage in a worker's stream reaches a client: <fault>
    Given a fleet of its own
    When a client streams "/chat/<fault>"
    Then the stream has every event once, in order, and is complete
    And 2 workers ran it
    And the head is from the first worker

    Examples:
      | fault                                   |
      | spoilt/between/unframed/lines/whole     |
      | spoilt/between/chunked/data-crlf/bytes  |
      | spoilt/torn/sized/returns/bytes         |
      | spoilt/inside/unframed/binary/whole     |
      | spoilt/between/unframed/large/whole     |

  Scenario Outline: A worker sends <what> without end to <path>
    Given a fleet of its own
    When a client sends "POST" "<path>/<what>" with the body "once"
    Then the answer has status <status> within 1 s
    And the worker's connection is closed and the entry holds little of it

    Examples:
      | what            | path  | status |
      | endless/line    | /chat | 200    |
      | endless/line    | /push | 502    |
      | endless/interim | /read | 200    |
      | endless-refusal | /push | 200    |
      | endless-refusal | /chat | 200    |
      | endless/error   | /read | 200    |
      | endless/error   | /push | 502    |
      | endless/event   | /chat | 200    |
      | endless/garbage | /chat | 200    |

  Scenario: A stream with neither a length nor chunks ends with its connection
    When a client streams "/chat/unsized"
    Then the stream has every event once, in order, and is complete
    And 1 workers ran it

  Scenario: A stream that its connection ends between events is complete
    When a client streams "/chat/unsized-short"
    Then the stream has the first 3 events alone and is complete
    And 1 workers ran it

  Scenario: A connection that ends before the first event of a stream is a loss
    When a client streams "/chat/unsized-empty"
    Then the stream has every event once, in order, and is complete
    And 2 workers ran it

  Scenario: A client resumes a stream from its last event
    When a client streams "/chat/x" from event 4 on
    Then the stream has the events from 5 on

  Scenario: The stream of a client that disconnects ends at the worker
    When a client streams "/chat/slow" and disconnects after the first event
    Then the worker sees the connection close before the stream would have ended

  Scenario: The queued request of a client that disconnects is not served
    Given a fleet of its own with fully loaded workers
    When a client sends a request and disconnects while it is queued
    Then no worker receives the request

  Scenario: Requests to a group that refuses all of them fail fast
    Given a fleet of one group of 4 workers that all refuse requests
    When 30 streams are requested one after another
    Then all are refused as not run, most without contacting a worker
    And their Retry-After is a third of their time-out
    When the group accepts requests again
    Then a stream is served within 2 s

  Scenario: A single worker that refuses is not an outage of its group
    When a client streams "/chat/shed"
    Then the stream has every event once, in order, and is complete
