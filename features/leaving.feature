Feature: An upstream that announces in its answers that it leaves gets no new work

  Scenario: An announcement in answers alone takes effect at once
    Given a fleet of two workers of "push"
    When worker "w1" announces in its answers that it leaves
    And "/read/x" is asked 20 times a second for 2 s
    Then at most 3 requests reach "w1"
    And all callers are served

  Scenario: An announcement holds across lists, retries and new connections
    When 40 traces of upstreams that leave are played
    Then none gets a request sent more than the drain time after its announcement

  Scenario Outline: The replay detects a fault in <fault>
    When 20 traces of upstreams that leave are played with a fault in <fault>
    Then one gets a request sent more than the drain time after its announcement

    Examples:
      | fault   |
      | heeding |
      | lists   |

  Scenario: An announcement in a refusal takes effect as well
    Given an entry and 2 upstreams of which one refuses and leaves
    When it refuses no further requests
    Then no request goes to it, and all are served

  Scenario: A new start under the id of a departed one gets requests
    Given an entry and 1 upstream that announced that it leaves
    Then no request is served
    When the upstream starts again
    Then a request is served

  Scenario: An upstream that left and closed its connections has not crashed
    Given an entry and 1 upstream that announced that it leaves
    Then it does not count as listed in the crash check
