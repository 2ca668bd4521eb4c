@processes
Feature: A request is served from end to end by separate processes

  Scenario Outline: each class of work gets its whole answer
    When a caller asks "<node>" for addresses
    And it sends a request of class "<class>"
    Then it gets the whole answer to its own request
    And the node has logged its routing decisions

    Examples:
      | node   | class            |
      | node-1 | morning-briefing |
      | node-2 | tide-question    |
      | node-3 | safety-notice    |
      | node-1 | fault-diagnosis  |
      | node-2 | parts-lookup     |
      | node-3 | repair-ticket    |

  Scenario: a caller gets the addresses of all nodes
    When a caller asks "node-1" for addresses
    Then it is told of 3 entry hosts
