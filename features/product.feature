Feature: Packages, command line, logs and reference pages

  Scenario: All faults of a settings file are reported together
    When a settings file with 4 faults is checked
    Then the command exits with 2 and names all 4 faults

  Scenario: The reference pages match the code
    Then the settings page is generated from the schema
    And the metrics page lists exactly the metrics of a process

  Scenario: Packages import only the layers below them
    Then no module of the core imports the reactor or the wire
    And no package imports one of a higher layer

  Scenario: The number of metric labels is bounded
    When 26000 workspaces are counted
    Then at most 65 labels are used

  Scenario: The command line plans, confirms and explains
    Given a shared cluster
    When an operator plans a new model version with the command line
    Then the plan is printed and nothing has changed
    When the operator confirms it with the command line
    Then the command exits with 0
    And the status shows it in force everywhere

  Scenario Outline: The exit code states the kind of failure: <case>
    Given a shared cluster
    When the command line meets <case>
    Then the command exits with <status>
    And its error names a code, a step and a next action

    Examples:
      | case                     | status |
      | an unreachable entry     | 1      |
      | an invalid intent        | 2      |
      | an unknown plan          | 3      |

  Scenario: Invalid messages do not affect a process
    Given a shared cluster
    When 150 connections send random bytes to an entry's and an agent's peer port
    Then both still serve

  Scenario: Invalid documents are refused with a code
    When 200 generated documents are read as settings, intents and records
    Then each is either accepted or refused with a coded error

  Scenario: Logs can be JSON lines
    Given a cluster of its own that logs JSON
    Then every line of an entry's log is a JSON object with part and text

  Scenario: A rebalance levels the ranks of a hot group
    Given a cluster of its own with engines 2
    When callers make some experts hot and a rebalance is confirmed
    Then the plan predicted a lower skew
    And the skew measured by the engines is lower
    And no step ran on two layouts

  Scenario: No other program is given a datagram port of a cluster before it starts
    Given a cluster with engines 2 that is laid out and not started
    When another program asks for the datagram ports of its engines
    Then the program is refused each of them
    And the cluster comes up

  Scenario: A failed start of a cluster names the engine that has exited
    Given a cluster with engines 2 that is laid out and not started
    When one of its engines cannot start
    Then the cluster does not come up, and says which process has ended
