Feature: End-to-end requests through separate processes

  Background:
    Given a shared cluster of two halls with 2 entries each

  Scenario: A completion without streaming
    When a caller requests 12 tokens of "a parcel is late" without streaming
    Then the answer is 200 and has outcome "ran"
    And the text is that of 12 tokens of "a parcel is late"

  Scenario: A streamed completion
    When a caller streams 20 tokens of "a charging fault"
    Then the stream is complete with the text of 20 tokens of "a charging fault"

  Scenario: A chat completion
    When a caller chats "explain my invoice" for 9 tokens
    Then the chat text is that of 9 tokens of "explain my invoice"

  Scenario: A plain service receives method, headers and body
    When a caller calls the service with "PUT" "/tariff/7?x=1" and body "cents"
    Then the service received "PUT" "/tariff/7" with body "cents"

  Scenario: An unknown key is refused
    When a caller with the key "wrong" requests a completion
    Then the answer is 401 and has outcome "not-run"
    And its code is "unauthorized"

  Scenario: A workspace does not see the targets of others
    When a caller requests the model "secret"
    Then the answer is 404 and has outcome "not-run"
    And its code is "no-such-target"

  Scenario: A body over the limit is refused
    When a caller sends a body of 5 MB
    Then the answer is 413 and has outcome "not-run"

  Scenario: Operators need a separate credential
    When the status is requested with a caller's key
    Then the answer is 401 and has outcome "not-run"

  Scenario: A plan has no effect before it is confirmed
    When every kind of change is planned but none confirmed
    Then the configuration is unchanged

  Scenario: A confirmed plan takes effect everywhere, once
    When the operator plans and confirms a new model version
    Then it is in force at every process
    And every rank runs the next layout
    And confirming again returns the same offset
    And no step ran on two layouts

  Scenario: All errors of an intent are reported together
    When an intent with 3 errors is planned
    Then the answer is 400 and has outcome "not-run"
    And it lists 3 errors with their paths

  Scenario: A request can be explained
    When a caller requests 3 tokens of "why there" without streaming
    Then the entry explains the request with its upstream

  Scenario: Entries and agents serve health and metrics
    Then every process serves livez, readyz and metrics
    And the metrics of an entry have histograms for workspace "acme"

  Scenario: An upstream in another role gets no requests until it serves again
    When the operator gives the first engine the role "standby"
    Then the engine has been ordered to the role "standby"
    And 6 completions are all sent to other upstreams
    When the operator gives the first engine the role "serve"
    Then the engine has been ordered to the role "serve"
