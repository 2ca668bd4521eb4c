Feature: Held prompts are weighed against the wait
  Replays of 45 engines of three speeds on shared machines, and hosts that see
  one request a second each, under the rule of before and under the models.

  # Guards against models that, with the few samples of a host, choose worse
  # than constants do: first events later, or engines crowded.
  Scenario Outline: the models against constants with <situation>
    When "<situation>" is replayed under both rules
    Then at most <p50> and <p95> times the median and the 95th percentile of before remain
    And the share of requests at the better of two runners changes by at least <gain>
    And no engine has over <busiest> times the mean load

    Examples:
      | situation                | p50  | p95  | gain  | busiest |
      | unequal speeds and noise | 1.05 | 0.95 | 0.0   | 3.2     |
      | equal speeds             | 1.05 | 1.05 | -0.08 | 3.0     |
      | low load                 | 1.05 | 1.05 | 0.0   | 4.2     |
      | high load                | 1.05 | 0.2  | 0.0   | 3.2     |
      | no load reports          | 1.05 | 0.5  | 0.0   | 3.2     |
      | stale reports            | 1.05 | 1.05 | 0.0   | 3.2     |

  # Guards against a crowd at the holder of a hot part, which each host hears
  # of too seldom to see it full, slow or empty.
  Scenario Outline: a hot part with <situation>
    When "<situation>" is replayed under both rules
    Then at most <hot> times the hot part's 95th percentile of before remain

    Examples:
      | situation        | hot |
      | a hot part       | 0.1 |
      | holder full      | 1.0 |
      | holder half full | 0.5 |
      | holder slows     | 0.5 |
      | holder restarts  | 1.0 |

  # Guards against a change for deployments that did not ask for it.
  Scenario: without the switch choices are those of before
    When 400 choices are made with the models off
    Then each is the choice and has the estimates of the earlier rule

  # Guards against models that turn on by themselves where runners send three
  # figures, or by a pace that is none.
  Scenario: reports of three figures leave the models off
    When a runner reports its load without a pace
    Then the models of its service are off
    And a pace turns them on for that service alone

  # Guards against parts that are believed held where running calls have taken
  # the memory, or by a count of parts whatever their length.
  Scenario: parts are held while there is memory for them
    When a runner with memory for 10000 tokens got prompts of 3000 tokens each
    Then the last three are held, and one once calls take 6000 tokens

  # Guards against prompts that follow what an incarnation before held.
  Scenario: a runner that restarts holds nothing
    When a runner that holds a part starts again under its name
    Then nothing is held there and its speed is the mean

  # Guards against decisions by a pace that the machine has left.
  Scenario Outline: a pace <age> s old counts <weight>
    When a runner reported a pace of 2.5 and <age> s have passed
    Then <weight> of its difference from the usual pace remains

    Examples:
      | age | weight |
      | 0.0 | 1.0    |
      | 0.3 | 0.5    |
      | 0.6 | 0.0    |
      | 5.0 | 0.0    |

  # Guards against estimates that are wild before anything was learned.
  Scenario: without data the known engines' constants hold
    When nothing was learned of a service
    Then 35000 tokens take 1 s to read at each of its runners

  # Guards against learned times that never reach the truth, or leave it for a
  # single stalled call.
  Scenario: the time of a token is learned from the first events
    When 150 first events come from engines that read 20000 tokens a second
    Then 20000 tokens are expected to take between 0.8 and 1.2 s
    And one call that stalls for 60 s changes that by at most a tenth

  # Guards against models that are never fed by the host, and against log lines
  # from which a choice cannot be explained.
  Scenario: a host learns from first events and logs what it weighed
    When two streams with the same long part are sent, the models on
    Then the log line has both sides and the metrics count a holder

  # Guards against learning, log fields and metrics where the switch is off.
  Scenario: a host with the models off learns nothing
    When two streams with the same long part are sent, the models off
    Then the log line has no sides and the metrics count nothing
