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
