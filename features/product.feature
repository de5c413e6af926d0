Feature: The parts of a product

  Scenario: Every fault of a settings file is reported at once
    When a settings file with 4 faults is checked
    Then the command exits with 2 and names all 4 places

  Scenario: The reference pages are true to the code
    Then the settings page is what the schema makes
    And the metrics page names exactly the metrics of a process

  Scenario: The core stands alone
    Then no module of the core imports the reactor or the wire
    And no package imports one that stands above it

  Scenario: Metrics keep their label sets bounded
    When 26000 workspaces are counted
    Then no more than 65 labels are used

  Scenario: The command line plans, confirms and explains
    Given a shared cluster
    When an operator plans a new model version with the command line
    Then the plan is printed and nothing has changed
    When the operator confirms it with the command line
    Then the command exits with 0
    And the status shows it in force everywhere

  Scenario Outline: Exit codes tell what happened: <case>
    Given a shared cluster
    When the command line meets <case>
    Then the command exits with <status>
    And its error names a code, a step and what to do

    Examples:
      | case                     | status |
      | an entry that is not up  | 1      |
      | a faulty intent          | 2      |
      | a plan nobody made       | 3      |

  Scenario: Bytes that are no message do no harm
    Given a shared cluster
    When 150 connections send random bytes to an entry's and an agent's peer port
    Then both still serve

  Scenario: Documents that are no settings or intents are refused with a code
    When 200 generated documents are read as settings, intents and records
    Then each is either taken or refused with a coded error

  Scenario: Logs can be JSON lines
    Given a cluster of its own that logs JSON
    Then every line of an entry's log is a JSON object with part and text

  Scenario: A rebalance levels the ranks of a hot group
    Given a cluster of its own with engines 2
    When callers make some experts hot and a rebalance is confirmed
    Then the plan said that the skew would fall
    And the skew that the engines see falls
    And no step ran on two layouts

  Scenario: No other program is given a datagram port of a cluster before it starts
    Given a cluster with engines 2 that is laid out and not started
    When another program asks for the datagram ports of its engines
    Then the program is refused each of them
    And the cluster comes up

  Scenario: A set-up names the engine that has ended
    Given a cluster with engines 2 that is laid out and not started
    When one of its engines cannot start
    Then the cluster does not come up, and says which process has ended
