@processes
Feature: Operators drive the system by targets alone

  Scenario: a target is changed and in force on every node within 11 s
    When an operator runs "target set parts-lookup --cost 0.04"
    Then the command succeeds and says "accepted"
    And every node has the new target in force within 11 s
    And "target history parts-lookup" shows the old and the new cost

  Scenario: operators racing for different fields both get their way
    When two operators change cost and deadline of "tide-question" at once
    Then both commands succeed
    And the stored target holds both changes

  Scenario: operators racing for the same field do not overwrite silently
    When an operator changes the cost of "tide-question" from a stale base
    Then it is told of the conflict with both values

  Scenario: a request can be explained
    When an operator sends a request and asks for its explanation
    Then every stage's runner is named with the reason of its choice

  Scenario: status shows nodes, versions and targets
    When an operator runs "status"
    Then the command succeeds and says "serving"
    And the command succeeds and says "0 not yet the same on all nodes"

  Scenario: an evacuation is started, listed and ended
    Guards against an object under a name that the hosts don't read.
    When an operator runs "evacuation start fd-1"
    Then the command succeeds and says "fd-1: evacuation accepted"
    And "evacuation start fd-1" succeeds again
    And "evacuation list" shows the line "fd-1"
    And the store holds "evacuations/fd-1"
    When an operator runs "evacuation end fd-1"
    Then the command succeeds and says "fd-1: no evacuation in force"
    And "evacuation end fd-1" succeeds again
    And "evacuation list" shows no line "fd-1"

  Scenario Outline: data can be had as JSON from "<command>"
    When an operator runs "<command> --output json"
    Then the command succeeds and prints JSON that holds "<key>"

    Examples:
      | command                                 | key     |
      | target set fault-diagnosis --cost 0.07  | version |
      | target list                             | target  |
      | settings check examples/campbell/nodes.yaml | peers |
      | addresses                               | ttl_s   |
      | evacuation start fd-2                   | evacuated |
      | evacuation end fd-2                     | evacuated |
      | status                                  | members |

  Scenario Outline: bad input gets one plain line and its exit code
    When an operator runs "<command>"
    Then it ends with exit code <code> and one line that says "<text>"

    Examples:
      | command                                | code | text            |
      | target set nope --cost 1               | 2    | no class        |
      | target set parts-lookup --cost -1      | 2    | greater than 0  |
      | target set parts-lookup --deadline 5   | 2    | no unit         |
      | target set parts-lookup                | 2    | at least one    |
      | settings check /nonexistent            | 2    | No such file    |
      | explain abc                            | 1    | no node knows   |
      | status --node localhost:80             | 2    | IPv4 address    |
      | evacuation start a/b                   | 2    | no failure domain |
      | evacuation list --adapter no_such      | 2    | no_such         |
      | frobnicate                             | 2    | No such command |
