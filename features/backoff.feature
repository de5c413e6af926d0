Feature: An upstream that sheds load is left alone for as long as it asks

  Scenario: A service's upstream that sheds load is not asked before its time
    Given a fleet of two workers of "push"
    When worker "w1" sheds load and asks for 3 s without requests
    And "/read/x" is asked 20 times a second for 3.6 s
    Then nothing but what was on its way reaches "w1" in the time it asked for
    And all callers are served

  Scenario: A rank that sheds load is not asked before its time
    Given a fleet of three workers of "llm"
    When worker "w1" sheds load and asks for 3 s without requests
    And "/chat/x" is asked 20 times a second for 3.6 s
    Then nothing but what was on its way reaches "w1" in the time it asked for
    And all callers are served
