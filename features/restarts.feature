Feature: Nothing believed of one start of an upstream holds for another

  An upstream may start again under the id and the address that it had.  It
  then knows nothing of before.  The start is told by its time of birth.

  Scenario: The beliefs of an entry are those of the start that it sees
    When 200 generated and 400 seeded traces of restarts run as built
    Then none holds a belief of another start

  Scenario Outline: The replay finds a fault <rules>
    When up to 400 seeded traces of restarts run <rules>
    Then one of them holds a belief of another start

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
