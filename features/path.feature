Feature: The whole path, as separate processes

  Background:
    Given a shared cluster of two halls with 2 entries each

  Scenario: A completion in one piece
    When a caller asks for 12 tokens of "a parcel is late" in one piece
    Then the answer is 200 and has outcome "ran"
    And the text is that of 12 tokens of "a parcel is late"

  Scenario: A streamed completion
    When a caller streams 20 tokens of "a charging fault"
    Then the stream ends whole with the text of 20 tokens of "a charging fault"

  Scenario: A chat completion
    When a caller chats "explain my invoice" for 9 tokens
    Then the chat text is that of 9 tokens of "explain my invoice"

  Scenario: A plain service gets method, headers and body
    When a caller calls the service with "PUT" "/tariff/7?x=1" and body "cents"
    Then the service saw "PUT" "/tariff/7" with body "cents"

  Scenario: An unknown key is refused
    When somebody with the key "wrong" asks for a completion
    Then the answer is 401 and has outcome "not-run"
    And its code is "unauthorized"

  Scenario: A workspace does not see targets of others
    When a caller asks for the model "secret"
    Then the answer is 404 and has outcome "not-run"
    And its code is "no-such-target"

  Scenario: A body over the limit is refused
    When a caller sends a body of 5 MB
    Then the answer is 413 and has outcome "not-run"

  Scenario: Operators need a credential of their own
    When a caller's key is used to ask for the status
    Then the answer is 401 and has outcome "not-run"

  Scenario: Nothing changes before confirm
    When every kind of change is planned and none confirmed
    Then the configuration is as it was

  Scenario: A plan comes into force everywhere when confirmed, once
    When the operator plans and confirms a new model version
    Then it is in force at every process
    And every rank runs the next layout
    And confirming again gives the same offset
    And no step ran on two layouts

  Scenario: Every fault of an intent is reported at once
    When an intent with 3 faults is planned
    Then the answer is 400 and has outcome "not-run"
    And it lists 3 faults with their paths

  Scenario: A request can be explained
    When a caller asks for 3 tokens of "why there" in one piece
    Then the entry explains that request with its upstream

  Scenario: Health and metrics are served by entries and agents
    Then every process answers livez, readyz and metrics
    And the metrics of an entry have histograms for workspace "acme"

  Scenario: An upstream with another role gets no requests until it is back
    When the operator gives the first engine the role "standby"
    Then the engine has been ordered to the role "standby"
    And 6 completions all go to other upstreams
    When the operator gives the first engine the role "serve"
    Then the engine has been ordered to the role "serve"
