Feature: All faults at once break no rule

  Scenario: Entries, store and workers are harmed in series that overlap
    When a seeded soak of all faults runs for 20 s
    Then it breaks no rule

  Scenario: Connections to the store are silent while neighbours are away
    When a seeded soak of silent connections runs for 25 s
    Then it breaks no rule
