Feature: Hosts learn which parts of prompts come again
  Replays of load patterns on six engines; every host sees a share of the
  requests, and hosts tell each other nothing.

  Scenario Outline: <pattern> on <hosts> hosts
    When 600 prompts of "<pattern>" are played on <hosts> hosts
    Then at most a tenth of the tokens are of shared parts read again
    And the busiest engine has at most 1.5 times the mean

    Examples:
      | pattern                           | hosts |
      | one shared part and one of its own | 9    |
      | one shared part and one of its own | 76   |
      | two shared parts and one of its own | 9   |
      | two shared parts and one of its own | 76  |
      | one part that all share           | 9     |
      | one part that all share           | 76    |
      | own parts only                    | 9     |
      | own parts only                    | 76    |
      | sessions that grow                | 9     |

  Scenario Outline: <pattern> on <hosts> hosts against the earlier rule
    When 600 prompts of "<pattern>" are played on <hosts> hosts
    Then fewer shared parts are read again than by the count of parts

    Examples:
      | pattern                           | hosts |
      | one shared part and one of its own | 9    |
      | one shared part and one of its own | 76   |
      | sessions that grow                | 9     |
      | sessions that grow                | 76    |

  Scenario: parts that never come again give no home
    When 60 prompts of own parts only were seen
    Then a prompt of the class has no home, and its memory is bounded

  Scenario: a session stays with its beginning
    When a session's prompts grow by a part each time
    Then its home stays the same
