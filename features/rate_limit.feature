Feature: Entries share the rate limit of an upstream

  Scenario: Entries share a limit through message loss, partitions and restarts
    When 60 traces of entries sharing a limit are replayed
    Then no window of 4 s exceeds 1.5 times the limit plus 5 requests

  Scenario: Entries send again after a limit is lifted
    When an upstream states a limit of 0 requests per second for 6 s, then lifts it
    Then all entries send again within 5 s

  Scenario: A limit is fully used while all entries are connected
    When 6 entries share a limit of 12.0 requests per second for 30 s
    Then between 10.0 and 12.5 requests per second arrive

  Scenario Outline: The replay finds a fault in <fault>
    When 60 traces of entries sharing a limit are replayed with a fault in <fault>
    Then some window of 4 s exceeds 1.5 times the limit plus 5 requests

    Examples:
      | fault            |
      | sharing          |
      | counting retries |
      | partitions       |

  Scenario: A delayed report does not replace a newer one
    When one entry receives a limit and another later receives its removal
    And the older report arrives after the newer one
    Then the second entry sends without a limit

  Scenario: Queued requests wake for the upstream that allows one first
    When an entry has exhausted a limit of 0 at one upstream and of 4 at another
    Then its queued requests are retried within 0.3 s

  Scenario Outline: A limit is parsed strictly
    Then a limit stated as "<text>" is <meaning>

    Examples:
      | text  | meaning     |
      | 12.5  | 12.5 a second |
      | 0     | 0.0 a second |
      | 0.3   | 0.3 a second |
      | -1    | unreadable  |
      | nan   | unreadable  |
      | inf   | unreadable  |
      | 1e3   | unreadable  |
      | 4,5   | unreadable  |
      | none  | unreadable  |

  Scenario Outline: Which responses may state a limit
    Then the limit of <answer> <counts>

    Examples:
      | answer                                  | counts         |
      | an answer with the request's id         | counts         |
      | a refusal that names no request         | counts         |
      | an answer that names no request         | does not count |
      | an answer with another request's id     | does not count |

  Scenario: Four entries and one worker that states a limit
    Given a fleet of one worker and 4 entries
    When the worker states a limit of 4 requests per second
    And all entries together receive 10 times that rate for 9 s
    Then no window of 4 s after the first second has more than 29 requests at the worker
    And at least 20 requests reach the worker after the first second
    And the others were refused immediately as not run, with a Retry-After
    When the worker lifts its limit
    Then entry "f3" serves 20 requests within 3 s
