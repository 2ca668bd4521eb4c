Feature: Unequal hosts carry work by their processors and links

  Background:
    Given 8 hosts of 2 cores and 200 Mbit/s and 50 of 0.5 cores and 10 Mbit/s

  Scenario: callers get strong hosts more often, and every host sometimes
    When 200 callers ask for addresses
    Then each gets 64 addresses
    And strong hosts get 20 times the callers of weak ones, give or take a quarter
    And every host has callers

  Scenario: equal hosts are listed once each
    Given all hosts are equal
    When 200 callers ask for addresses
    Then each gets 58 addresses

  Scenario: strong hosts own the gathering of stage work
    Then the first 3 owners of 20 services are strong hosts

  Scenario: weak hosts own it once the strong ones are lost
    When all strong hosts but one are lost
    Then the first owner of 20 services is the strong host
    And the others are weak hosts
