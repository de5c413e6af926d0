Feature: A worker is killed and back at once under its id and its address

  Scenario: A request that may run once is not run again by the next start
    Given a fleet whose workers tell when they started
    When a request to "/push/mute" is at work at "w3"
    And "w3" is killed and starts again under its id and its address
    Then the caller is told that its request may have run, and nobody runs it
    And the log says that "w3" has started again
    And the slots of "w3" are all free, and it serves

  Scenario: A stream goes on elsewhere, and the next start gets work
    Given a fleet whose workers tell when they started
    When a stream is at work at a worker of "llm" that has sent 3 events
    And that worker is killed and starts again under its id and its address
    Then the caller gets the whole stream
    And the log says that the worker has started again

  Scenario: An entry of the earlier start that is written late does not win
    Given a fleet whose workers tell when they started
    When "w3" is killed and starts again under its id and its address
    And an entry of its earlier start, which was leaving, is written late
    Then "w3" still gets work, and the log names the earlier start

  Scenario: A worker whose clock stepped back counts once it goes on writing
    Given a fleet whose workers tell when they started
    When "w3" starts again with an earlier time and leaves
    Then "w3" gets no more work within 20 s
