Feature: A part of a prompt that crashes runners is soon kept from them
  Whole hosts on one virtual clock, runners that come back 4 s after a crash.

  Scenario Outline: a part that crashes every runner, luck <seed>
    Given 6 relay hosts and 8 runners, luck <seed>
    When callers send 12 streams a second for 10 s
    And a quarter of them have a part that crashes runners for 24 s
    Then at most 3 requests with that part reach runners later than 4 s after its fifth crash
    And sound streams begin half as often as before, from 8 s after the fifth crash
    And requests with that part are refused at once, with a long time to come back

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
