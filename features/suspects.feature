Feature: Requests that crash upstreams are identified and blocked

  Scenario: Crashing and innocent requests are retried at any entry
    When 120 traces of requests that crash upstreams are replayed
    Then no crashing request reaches more than three upstreams after its third crash
    And every crashing request is convicted
    And no innocent request is refused and all are answered

  Scenario Outline: The replay finds a fault in <fault>
    When 120 traces of requests that crash upstreams are replayed with a fault in <fault>
    Then a crashing request reaches more than three upstreams after its third crash, or an innocent request is refused

    Examples:
      | fault                 |
      | counting crashes only |
      | sharing records       |
      | convicting            |

  Scenario Outline: A broken exchange is a crash only with evidence
    When an exchange breaks with an upstream that <state>
    Then its requests are <verdict>

    Examples:
      | state                                  | verdict       |
      | is listed and refuses connections      | suspected     |
      | is listed and takes connections        | not suspected |
      | is listed and does not answer          | not suspected |
      | is leaving and refuses connections     | not suspected |
      | is not listed and refuses connections  | not suspected |
      | has other open connections             | not suspected |
      | has started again                      | suspected     |

  Scenario: A request that completed is not suspected again
    When a request is running at a crash, completes, and is running at three more crashes
    Then it is neither isolated nor refused

  Scenario: A conviction expires
    When a request is convicted
    Then it is refused for 300 s and then admitted

  Scenario: A request crashes workers and is retried at another entry
    Given a fleet of 5 workers that can be crashed and 3 entries
    When a request that crashes workers is sent to the entries in turn, 6 times
    Then 2 or 3 workers have crashed
    And the last 4 answers say that it has not run, with a Retry-After
    When the crashed workers are restarted
    Then every entry refuses it and no worker crashes
    And another request of the same caller is answered at each entry
    And a newly started entry refuses it too
    And the entries log the conviction and the refusals
