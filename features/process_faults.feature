@processes
Feature: The promises hold over real processes and sockets

  Scenario: a node is killed while it streams
    Given 12 requests are streaming from "node-1"
    When "node-1" is killed
    Then callers that resume on other nodes get whole answers
    And nothing ran twice on "registrar"
    And "node-1" serves again after it is started anew

  Scenario: a node drains under load
    Given 12 requests are streaming from "node-2"
    When "node-2" gets SIGTERM
    Then every one of those requests gets its whole answer
    And "node-2" ends with exit code 0
    And the other nodes no longer list "node-2"
    And "node-2" serves again after it is started anew

  Scenario: a node is stopped for longer than its peers believe in it
    When "node-3" is stopped and its peers give it up
    Then requests to the other nodes get whole answers
    And "node-3" is listed again after it goes on

  Scenario: the same ticket reaches all nodes at once, again and again
    When one repair ticket is sent to every node three times at once
    Then it ran once on "registrar"
    And every caller got the whole answer or was told not_run or unknown

  Scenario: connections to a runner go silent while new ones work
    Given the runner "encoder-1" lets its open connections go silent
    When 6 requests are sent to "node-1"
    Then all of them get whole answers

  Scenario: a runner leaves
    When the runner "reranker-1" begins to leave
    Then within 3 s no node sends it new work

  Scenario: the platform is down
    When the platform is down
    Then a parts lookup gets its whole answer
    And a repair ticket is not_run and the caller is told when to return
    And a repair ticket gets its whole answer once the platform is back

  Scenario: a node starts while the platform is down
    When the platform is down and "node-1" is killed and started anew
    Then "node-1" serves with the configuration of its peers
