Feature: State of one start of an upstream is not applied to another

  An upstream may restart under the same id and address, without any state.
  Starts are distinguished by their start times.

  Scenario: The state of an entry is that of the current start
    When 200 generated and 400 seeded traces of restarts run as built
    Then no state is applied to another start

  Scenario Outline: The replay finds a fault <rules>
    When up to 400 seeded traces of restarts run <rules>
    Then one of them applies state to another start

    Examples:
      | rules                                     |
      | keeping own requests                      |
      | keeping the circuit                       |
      | keeping the load                          |
      | keeping the refusal                       |
      | giving slots back by id                   |
      | taking answers by id                      |
      | counting failures by id                   |
      | counting peers' requests by id            |
      | keeping connections                       |
      | taking late records                       |
      | never believing a clock that stepped back |
