Feature: Runners that fall over when they turn many requests away
  Whole hosts on one virtual clock. Brittle runners say in all answers how many
  requests a second they can turn away; later they let fewer wait.

  Scenario Outline: <callers> callers at a time, room for <room> at each of 4 runners, luck <seed>
    Given 6 relay hosts and 4 runners of "safe" requests, luck <seed>
    And each runner takes 8 requests at a time and works 0.2 s on each
    When callers send <callers> requests a second for 4 s
    And runners are brittle, turn away 3 a second, and take <room> at a time 3 s later, for 15 s
    Then runners fall over at most 2 times
    And sound requests are served two thirds as often as there is room

    Examples:
      | callers | room | seed |
      | 40      | 4    | 1    |
      | 60      | 3    | 2    |
      | 90      | 3    | 3    |
      | 90      | 2    | 4    |

  Scenario Outline: of <hosts> hosts only one that none of the <runners> runners' senders reaches them, luck <seed>
    Given <hosts> relay hosts and <runners> runners of "safe" requests, luck <seed>
    And each runner takes 8 requests at a time and works 0.05 s on each
    When callers send <callers> requests a second for 4 s
    And runners are brittle and turn away <most> a second, and only a host that is none of their senders reaches them, for 12 s
    Then from 3 s on, first tries at the cut hosts are served two thirds as often as at the others
    And from 3 s on, first tries at all hosts are served at least 8 in 10 times
    And runners fall over at most 2 times

    Examples:
      | hosts | runners | most | callers | seed |
      | 4     | 1       | 3    | 24      | 31   |
      | 4     | 2       | 1    | 24      | 32   |
      | 8     | 2       | 2    | 24      | 33   |
      | 12    | 3       | 3    | 24      | 34   |
