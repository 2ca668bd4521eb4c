Feature: An owner knows how much storage its runners have left
  A stage service's runner stores 20 MB of results for 4 s each.

  Scenario: what was made is counted until it is released or expires
    Given an owner from the service's start
    When 6 MB are made at 0 s
    Then 14 MB are free at 1 s
    When the results are released
    Then 20 MB are free at 1 s

  Scenario: a new start gives the handle of a result of the one before
    # Guards against storage that stays counted for ever, as both results were
    # counted under one handle.
    Given an owner from the service's start
    When 6 MB are made at 0 s
    And 4 MB are made at 1 s
    Then 16 MB are free at 1 s
    When the results are released
    Then 20 MB are free at 1 s

  Scenario: results are gone with the runner that made them
    Given an owner from the service's start
    When 6 MB are made at 0 s
    And the runner ends
    Then 20 MB are free at 1 s

  Scenario: a new owner counts on half of the storage until old results expire
    Given an owner from 10 s on
    Then 10 MB are free at 10 s
    And 15 MB are free at 12 s
    And 20 MB are free at 14 s

  Scenario: a runner without room is full of what others made
    Given an owner from the service's start
    When 6 MB are made at 0 s
    And a result finds no room at 1 s
    Then 0 MB are free at 1 s
    And 7 MB are free at 3 s

  Scenario: a report counts for more than an estimate
    Given an owner from 10 s on
    When the runner reports 18 MB at 10 s
    Then 18 MB are free at 10 s

  Scenario: calls of a new owner are not sent for nothing after a restart
    Given an owner whose runner is full of a dead owner's results
    When groups of 4 results of 2.5 MB wait from 0 s to 4 s
    Then at most 2 calls find no room
