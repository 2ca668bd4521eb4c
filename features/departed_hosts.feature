Feature: Directories name no host that has departed
  Whole hosts on one virtual clock. A departed host may be named beside a
  running one for at most stableWindowMs and 3 s, 7 s in all.

  Scenario Outline: <gone> of <count> hosts <manner>, <loss> % of the messages are lost
    Given <count> hosts whose directories are asked twice a second
    When <loss> % of the messages between hosts are lost
    And <gone> of the hosts <manner>
    Then for the next 15 s at most 3 answers name one of them beside a running host later than 7 s
    And each answer names a running host

    Examples:
      | count | gone | manner      | loss |
      | 6     | 1    | are killed  | 0    |
      | 6     | 2    | are killed  | 0    |
      | 18    | 6    | are killed  | 0    |
      | 18    | 6    | are killed  | 10   |
      | 18    | 1    | are removed | 10   |
      | 18    | 6    | are removed | 10   |
      | 40    | 1    | are killed  | 10   |
      | 40    | 13   | are killed  | 0    |
      | 40    | 13   | are killed  | 10   |

  Scenario: hosts that start again are named again
    Given 18 hosts whose directories are asked twice a second
    When 6 of the hosts are killed
    And they start again 10 s later
    Then 8 s later each directory names 6 hosts at least, and they are named again

  Scenario: hosts that no longer hear of many departures name all hosts
    Given 18 hosts whose directories are asked twice a second
    When 6 of the hosts are killed
    Then 30 s later each directory names all 12 running hosts
