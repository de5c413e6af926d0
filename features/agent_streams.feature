Feature: An agent takes an answer for delivered when its entry has fetched it

  Scenario: An answer of a service is not held up on its way
    Given a cluster of its own whose agents hold up to 64 KB of an answer
    When a caller asks a service for 200 KB
    Then the answer is whole within 5 s
