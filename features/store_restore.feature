Feature: A store that returns from an older copy breaks no promise
  The store loses its last writes; its revisions are given out again, and its
  era rises. What the operator and the runners wrote is written again later.

  Scenario Outline: callers see no older configuration on <count> hosts
    Given <count> relay hosts whose store answers
    And the store is copied
    When key "k1" is withdrawn
    Then within 2 s every host answers key "k1" with 401
    When the store returns from the copy
    Then within 1 s every host answers key "k1" with 401
    When what the operator wrote last is written again
    And key "k2" is given
    Then within 2 s every host answers key "k2" with 200

    Examples:
      | count |
      | 3     |
      | 30    |

  Scenario: a change under a revision that is given out again is not missed
    Given 3 relay hosts whose store answers
    And the store is copied
    When key "k1" is withdrawn
    And 1 s passes
    And the store returns from the copy
    And key "k2" is given
    Then within 2 s every host answers key "k2" with 200

  Scenario: a host that does not reach the store hears of its return
    Given 3 relay hosts whose store answers
    And the store is copied
    When the store turns host 2 away and key "k1" is withdrawn
    And 1 s passes
    And the store returns from the copy
    And key "k2" is given
    Then within 2 s every host answers key "k2" with 200
    And every host knows era 1 of the store

  Scenario: a runner that said that it leaves is not used again
    Given 3 relay hosts whose store answers
    And the store is copied
    When the store turns host 2 away and runner "a" is leaving
    And 1 s passes
    And the store returns from the copy
    Then within 8 s no host sends to runner "a"

  Scenario: a runner that was removed is used once its entry has stayed
    Given 3 relay hosts whose store answers
    And the store is copied
    When the entry of runner "a" is removed
    And 1 s passes
    And the store returns from the copy
    Then within 2 s no host sends to runner "a"
    And within 8 s every host sends to runner "a"

  Scenario: a runner that was removed is used once it has written again
    Given 3 relay hosts whose store answers
    And the store is copied
    When the entry of runner "a" is removed
    And 1 s passes
    And the store returns from the copy
    And 1 s passes
    And runner "a" writes its entry again
    Then within 2 s every host sends to runner "a"

  Scenario: hosts write their lost entries again
    Given 3 relay hosts whose store answers
    When the store returns without the entries of hosts
    And 4 s passes
    Then the store holds the entries of 3 hosts

  Scenario: no host calls the store more than a few times for a restore
    Given 30 relay hosts whose store answers
    And the store is copied
    When the store returns from the copy
    And 3 s passes
    Then the store was called at most 120 times since

  Scenario: the era of the store is read from its answers
    When the store of era 3 lists a runner at revision 7
    Then the runner has revision 7 of era 3

  Scenario: a list whose pages are of two eras is no list
    When the store is restored between two pages of a list
    Then the call ends as unavailable

  Scenario: a write that another era took than it was read in is in doubt
    When an object read in era 1 is replaced and era 2 takes it
    Then the call ends as unavailable

  Scenario: an error tells the era as well
    When the store of era 4 refuses a watch with 410
    Then the call ends as gone
    And the result is of era 4

  Scenario: nodes log a new era and the claims that they wrote again
    Given a system of nodes with claims in the store
    When its store returns from a copy 2 s old
    Then every node logs the new era once, and who told it
    And the lost claims are written again, which is logged

  Scenario: one host reads the refused parts of a restored store
    Given 30 relay hosts whose store answers
    When the store is restored and refused parts may be missing
    Then 1 host has listed the refused parts
