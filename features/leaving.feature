Feature: An upstream that says in its answers that it leaves gets no new work

  Scenario: A worker that says so only in its answers is left at once
    Given a fleet of two workers of "push"
    When worker "w1" says in its answers that it leaves
    And "/read/x" is asked 20 times a second for 2 s
    Then at most 3 requests reach "w1"
    And all callers are served

  Scenario: What an upstream said holds through lists, retries and openings
    When 40 traces of upstreams that leave are played
    Then none gets a request sent more than the drain time after it said so

  Scenario Outline: The replay finds a fault in <fault>
    When 20 traces of upstreams that leave are played with a fault in <fault>
    Then one gets a request sent more than the drain time after it said so

    Examples:
      | fault   |
      | heeding |
      | lists   |

  Scenario: A refusal that says so counts as well
    Given an entry and 2 upstreams of which one refuses and leaves
    When it refuses nothing more
    Then no request goes to it, and all are served

  Scenario: A new start under the id of one that left is used
    Given an entry and 1 upstream that said that it leaves
    Then no request is served
    When the upstream starts again
    Then a request is served

  Scenario: An upstream that left and broke off has not crashed
    Given an entry and 1 upstream that said that it leaves
    Then it does not count as listed when a crash is looked into
