Feature: Faulty answers of workers do no harm

  Background:
    Given a shared fleet

  Scenario Outline: A request that may be repeated meets a worker's <fault>
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

  Scenario Outline: A request that may not be repeated meets a worker's <fault>
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
    When 40 requests follow each other on one connection, each with a surplus
    Then each answer is the request's own

  Scenario: An answer that comes before the body was read
    Given a fleet of its own
    When a client sends a body of 300000 bytes to "/push/early"
    Then the answer has status 413
    And the next request on that connection to the worker is read as sent

  Scenario: A worker that is another one now is not taken for the old one
    Given a fleet of its own
    When the address of worker "w3" is announced under another id
    Then requests to "/push/x" run at "w4" alone

  Scenario: A large answer comes whole
    When a client sends "GET" "/read/large" with the body ""
    Then the answer has 1000000 bytes

  Scenario Outline: A stream that meets a worker's <fault> goes on elsewhere
    When a client streams "/chat/<fault>"
    Then the stream has every event once, in order, and ends whole
    And 2 workers ran it
    And the head is that of the first worker

    Examples:
      | fault |
      | cut   |
      | torn  |
      | gap   |

  Scenario: A client goes on with a stream from its last event
    When a client streams "/chat/x" from event 4 on
    Then the stream has the events from 5 on

  Scenario: A client that leaves has its stream ended at the worker
    When a client streams "/chat/slow" and leaves after the first event
    Then the worker sees the connection close before the stream would have ended

  Scenario: A client that leaves while its request waits is not served
    Given a fleet of its own with full workers
    When a client sends and leaves while it waits
    Then no worker gets the request

  Scenario: A group that refuses as a whole is left alone
    Given a fleet of one group of 4 workers that all refuse
    When 30 streams are asked for one after the other
    Then all are refused as not run, most without asking a worker
    And they are told to come back after a third of their time
    When the group takes work again
    Then a stream is served within 2 s

  Scenario: A single worker that refuses is no outage of its group
    When a client streams "/chat/shed"
    Then the stream has every event once, in order, and ends whole
