Feature: Requests that share a part that crashes upstreams are refused

  # No two such requests are alike; a crash charged to whole requests alone
  # never adds up.
  Scenario Outline: A part in the <place> of prompts crashes workers by <way>
    Given a fleet of 8 workers that come back after a crash and 3 entries
    And prompts with a part in the <place> crash workers by <way>
    When sound requests come alone and then with requests that crash workers
    Then at most 3 requests with that part reach workers later than 3 s after the fifth crash
    And sound requests are still answered at least half as often as before

    Examples:
      | place  | way                                       |
      | middle | the head of an answer and a reset          |
      | first  | the head of an answer and a reset          |
      | middle | a reset without a byte                     |
      | middle | half an event and an orderly close         |
      | first  | half an event and an orderly close         |
      | middle | the head of an answer and an orderly close |
      | middle | an orderly close without a byte            |
      | middle | half a body and an orderly close           |
      | middle | one event and an orderly close             |

  Scenario: Workers also crash for other reasons, and entries reload
    When seed 1 of the soak with crashing parts is run
    Then the soak has found nothing broken
