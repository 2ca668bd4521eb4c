Feature: What waits for a service at its worst load
  A service with one runner takes 4 pieces a call of 0.2 s; targets are 1 s
  away and deadlines 5 s.

  Scenario: a burst is served in time as far as the service can
    Given 30 groups of 2 pieces wait
    When the order is chosen
    Then between 6 and 10 groups are timely
    And all of those can be served within the target

  Scenario: a more urgent rank sets a less urgent one aside
    Given 10 groups of 2 pieces of rank 1 wait
    And 6 groups of 2 pieces of rank 0 wait
    When the order is chosen
    Then every group of rank 0 is timely
    And some group of rank 1 is set aside

  Scenario: a group that can't be timely sets nothing aside
    Given 6 groups of 2 pieces of rank 1 wait
    And 1 groups of 40 pieces of rank 0 wait
    When the order is chosen
    Then every group of rank 1 is timely
    And every group of rank 0 is set aside

  Scenario: a group that was begun goes first
    Given 6 groups of 2 pieces wait
    And the last of them was begun
    Then the first call holds its pieces

  Scenario Outline: while the next service's queue is <queue> s long late work <does>
    Given 1 groups of 2 pieces wait
    And their targets have passed
    Then with <queue> s of waiting behind it <does>

    Examples:
      | queue | does   |
      | 0.0   | starts |
      | 0.5   | waits  |

  Scenario: late work whose results no stage reads waits for no other queue
    Given 1 groups of 2 pieces wait
    And their targets have passed
    And no stage reads their results
    Then with 9.0 s of waiting behind it starts

  Scenario: timely work starts however long the next service's queue is
    Given 1 groups of 2 pieces wait
    Then with 9.0 s of waiting behind it starts

  Scenario Outline: work that can wait leaves a call to work from its domain
    Given 2 groups of 2 pieces wait
    And 2 groups of 2 pieces of the runner's domain wait
    And targets are <target> s away
    Then the first call holds groups <held>

    Examples:
      | target | held   |
      | 5.0    | g2, g3 |
      | 0.3    | g0, g1 |

  Scenario: late work is still served, behind what is timely
    Given 2 groups of 2 pieces wait
    And their targets have passed
    And 1 groups of 2 pieces wait
    Then 3 calls serve them all and the timely ones come first

  Scenario: older word of a queue does not replace newer word
    Given word of 3 s of waiting at 10.0 s
    When word of 1 s of waiting at 9.5 s comes
    Then 2.75 s of waiting are left at 10.25 s
    And 0 s of waiting are left at 11.0 s

  Scenario: what is due sooner waits for less of a queue
    Given 3 groups of 2 pieces of rank 0 wait
    And 2 groups of 2 pieces of rank 2 wait
    Then what is due in 0.5 s, 1 s, 2 s and 9 s waits 0 s, 0.15 s, 0.35 s and 0.35 s

  Scenario: what is due well before other work does not wait for it
    Given 3 groups of 2 pieces of rank 0 wait
    And targets are 3.5 s away
    Then what is due in 2.1 s, 2.9 s and 3.6 s waits 0 s, 0 s and 0.15 s

  Scenario: large results are made as late as the other stages allow
    Given a request whose stages 1 and 2 after it take 0.2 s each
    And whose stage 0 of large results takes 0.1 s
    Then stage 0 has 0.3 s to spare at first
    And it has 0.1 s to spare 0.2 s after stage 1 began
    And stages 1 and 2 have none to spare

  # Guards against forecasts that take a call to be as short as a request's own
  # pieces: under load each stage took longer than its forecast.
  Scenario Outline: an owner that made full calls tells how long a call takes, its runner <state>
    Given its recent calls were full and its runner is <state>
    Then a stage of one piece is expected to take <time> s

    Examples:
      | state | time  |
      | busy  | 0.2   |
      | idle  | 0.17  |

  Scenario: the time of calls that an owner told long ago is not used
    Given its recent calls were full and its runner is busy
    When 1.5 s pass without word from the owner
    Then a stage of one piece is expected to take 0.17 s
