Feature: An entry serves the platform's clients and meets its workers

  Background:
    Given a shared fleet

  Scenario: A request reaches the worker as it was sent
    When a client sends "POST" "/push/a/b%20c?q=1&q=2" with the body "cents"
    Then the answer is the worker's own, with status 200
    And the worker saw "POST" "/push/a/b%20c?q=1&q=2" with the body "cents"
    And the worker saw the header "Model" "m"
    And the worker saw the header "Token-Count" "1460,80"
    And the worker saw the header "Prompt-Prefix" "5c1e07a2:800,91bd3f06:410"
    And the worker was asked by its own id
    And the worker was handed no more time than the client has

  Scenario: Whatever is sent reaches the worker unaltered
    When 60 generated requests are sent
    Then each worker saw each just as it was sent

  Scenario: The key tells the workspace and is not passed on
    When a client sends with the second key and the header "Tenant" "other"
    Then the answer is the worker's own, with status 200
    And the worker saw the header "Tenant" "acme"
    And the worker saw no header "Authorization"

  Scenario Outline: A request that the configuration does not allow: <what>
    When a client sends to "<path>" with the key "<key>" and the host "<host>"
    Then the answer has status <status> and no worker ran it

    Examples:
      | what            | path    | key         | host        | status |
      | unknown key     | /push/x | wrong       | api.example | 401    |
      | no key          | /push/x |             | api.example | 401    |
      | unknown path    | /nope/x | key-of-acme | api.example | 404    |
      | unknown host    | /push/x | key-of-acme | other.host  | 404    |
      | prefix cut off  | /push   | key-of-acme | api.example | 404    |

  Scenario: A public route needs no key
    When a client sends to "/open/x" with the key "" and the host "api.example"
    Then the answer is the worker's own, with status 200

  Scenario: The longest prefix counts
    When a client sends "GET" "/read/brief/mute" with the body ""
    Then the answer has status 504 after the time of the longer prefix

  Scenario: Split routes go by their weights, the same request the same way
    When 4000 request ids are split 90 to 10
    Then 9 in 10 go to the first share, give or take 2 in 100
    And each id goes the same way again

  Scenario: Connections to workers are used again
    When 30 requests are sent one after the other
    Then the workers have taken at most 4 new connections for them

  Scenario: Many clients at once each get their own answer
    When 200 clients ask at the same time
    Then every answer that is a success is the client's own

  Scenario: A client that is told to come back is told when
    Given a fleet of its own without workers
    When a client sends "POST" "/push/x" with the body "cents"
    Then it is refused at once with 503 and a time to come back

  Scenario: The list of workers and the configuration are read by few calls
    When nothing is asked of the entry for 4 s
    Then it made at most 14 calls to the store
