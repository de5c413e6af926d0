Feature: The adapter translates, and nothing else knows the platform

  Scenario: The platform's names stand in its folder alone
    Then no file outside the adapter, its tests and its stand-ins says one

  Scenario: The adapter stays small
    Then its Python files have fewer than 1200 lines

  Scenario: The adapter decides nothing
    Then it imports no controller and no filter but their types

  Scenario: The settings that the platform fills in are good
    When the template is filled in as the platform does it
    Then the settings are read without a fault
