Feature: The control plane keeps its bounds as the fleet grows
  In virtual time and counts, so that the verdict is the same every time.

  Scenario: nodes that start together all find each other
    When 40 nodes start at the same moment
    Then each lists all of them within 30 s

  Scenario Outline: a change is in force everywhere within 11 s, <case>
    When a target is changed among 40 nodes, <case>
    Then it is in force on every living node within 11 s

    Examples:
      | case                       |
      | undisturbed                |
      | with all but one watcher dead |
      | with one message in ten lost  |
      | with the answers to watches lost |

  Scenario: idle nodes send little
    When 40 settled nodes are idle for 20 s
    Then each sends at most 5000 bytes a second
    And the store sees at most 300 writes a second

  Scenario: claim writes are flat in nodes and sub-linear in requests
    When claims arrive at 100 and at 800 a second, on 4 and on 16 nodes
    Then all are granted with at most 300 writes a second
    And 16 nodes write no more than 4 nodes by a tenth
    And eight times the claims cost less than four times the writes
