Feature: Hosts that know little of the runners do not choose alike
  A host of a large fleet sends to a given runner once in many seconds. What it
  knows of the runners' load is old, or nothing.

  Scenario Outline: <per_s> requests a second, load heard <heard>
    Given 195 hosts and 40 engines of 12 slots, 4 of them new after 10 s
    When callers send <per_s> requests a second for 20 s, hosts hear of load <heard>
    Then no engine gets over 2.5 times the mean in any 2 s

    Examples:
      | per_s | heard            |
      | 218   | in replies alone |
      | 545   | in replies alone |
      | 218   | each 5 s         |
      | 218   | each 1 s         |
      | 545   | each 1 s         |

  # Guards against hosts that all learn alike which engines are fast or idle.
  Scenario Outline: the same with the models, <per_s> a second, <heard>
    Given 195 hosts and 40 engines of 12 slots, 4 of them new after 10 s
    And the models of runners are on
    When callers send <per_s> requests a second for 20 s, hosts hear of load <heard>
    Then no engine gets over 2.5 times the mean in any 2 s

    Examples:
      | per_s | heard            |
      | 218   | in replies alone |
      | 545   | in replies alone |
      | 218   | each 5 s         |
      | 218   | each 1 s         |
      | 545   | each 1 s         |

  Scenario: hosts that know nothing of plain runners
    When 195 hosts choose one of 40 equal runners, each for the first time
    Then no runner is chosen over 3 times as often as the mean
