Feature: A wide group is looked after over thin links

  A holder asked 72 agents at once for 1,728 counters each, some 400 KB over a
  link of 4 Mbit/s.  In each look some answered after more than 0.25 s, so the
  group was never whole and no layout was ever changed.

  Scenario: Counters are asked for in turn
    Given a group of 72 ranks with 1728 counters each
    When its ranks are asked 24 times
    Then no look after the first asks for more than 16000 counters
    And each rank is asked for its counters at least twice
    And the demand is that of all ranks

  Scenario: All counters of a small group are asked for in each look
    Given a group of 16 ranks with 256 counters each
    When its ranks are asked 3 times
    Then each look after the first asks all ranks for their counters

  Scenario: A rank that does not answer does not hold the others' turn up
    Given a group of 72 ranks with 1728 counters each, of which 8 are silent
    When its ranks are asked 24 times
    Then each rank that answers is asked for its counters at least twice

  Scenario: Orders that name many experts are sent in parts
    Given a holder of a group of 72 ranks
    When it sends an order to prepare 2592 experts to each
    Then at most 25000 experts are named at a moment, and each rank has its order
