Feature: A leaving node answers all that it took before it is killed

  Scenario Outline: a <class> request that is <where> as a node's drain times out is told "<outcome>"
    Given a node with a drain timeout of 3 s whose <slow> takes 10 s
    When <count> <class> requests are open as the node leaves
    Then all are told within 3 s, "<outcome>" among them

    Examples:
      | class         | where       | slow      | count | outcome |
      | safety-notice | at a runner | generator | 1     | failed  |
      | safety-notice | in a queue  | encoder   | 99    | not_run |
      | repair-ticket | at a runner | registrar | 1     | unknown |

  Scenario Outline: a request that would likely outlast a leaving node is <outcome>
    Given a node with a drain timeout of 3 s whose generator takes <work> s
    And 20 requests that have been answered
    When a request with a deadline of 8 s comes 0.5 s after the node leaves
    Then that request is <outcome>

    Examples:
      | work | outcome   |
      | 0.02 | completed |
      | 4    | refused   |

  Scenario: a request whose deadline is over before the node ends is taken
    Given a node with a drain timeout of 9 s whose generator takes 0.02 s
    When a request with a deadline of 8 s comes 0.5 s after the node leaves
    Then that request is completed

  Scenario: a node without a drain timeout waits for what it took
    Given a node without a drain timeout whose generator takes 2 s
    When 1 safety-notice requests are open as the node leaves
    Then all are told within 8 s, "completed" among them

  # Guards against work that may run once and is broken off as the node ends,
  # since it lasts longer than that before it.
  Scenario Outline: a <class> request that comes <at> s into a drain is <outcome>
    Given a node with a drain timeout of 30 s whose generator takes 0.02 s
    And 60 <class> requests that have been answered
    When a <class> request with a deadline of <limit> s comes <at> s after the node leaves
    Then that request is <outcome>

    Examples:
      | class         | at  | limit | outcome   |
      | repair-ticket | 2.5 | 60    | completed |
      | repair-ticket | 3.5 | 60    | refused   |
      | repair-ticket | 3.5 | 20    | completed |
      | safety-notice | 3.5 | 60    | refused   |
      | parts-lookup  | 3.5 | 60    | completed |
