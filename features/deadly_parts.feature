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

  Scenario: two parts that crash runners at the same time
    Given 6 relay hosts and 8 runners, luck 4
    And another part crashes runners too
    When callers send 12 streams a second for 10 s
    And a quarter of them have a part that crashes runners for 24 s
    Then at most 3 requests with that part reach runners later than 4 s after its fifth crash
    And sound streams begin half as often as before, from 12 s after the fifth crash

  Scenario Outline: hosts that <what> in the middle know of the part
    Given 6 relay hosts and 8 runners, luck 5
    When callers send 12 streams a second for 10 s
    And a quarter of them have a part that crashes runners, and hosts <what>
    Then at most 3 requests with that part reach runners later than 4 s after its fifth crash
    And sound streams begin half as often as before, from 8 s after the fifth crash

    Examples:
      | what                     |
      | restart one by one       |
      | are killed, but for one  |
      | are all killed           |

  Scenario: a host that starts between two crashes refuses the part with the others
    Given 6 relay hosts and 8 runners, luck 16
    When a host hears of two crashes, all others start anew, and it hears of a third
    Then every host refuses the part

  Scenario: five crashes at once convict a part that never led to an answer
    Given 6 relay hosts and 8 runners, luck 17
    When a host hears of 5 crashes at once under the part
    Then every host refuses the part

  Scenario: five crashes at once convict no part that has been answered
    Given 6 relay hosts and 8 runners, luck 18
    When the part is answered, and a host hears of 5 crashes at once under it
    Then no part is refused

  Scenario: a refused part that a restored store lacks is written again
    Given 6 relay hosts and 8 runners, luck 15
    When callers send 12 streams a second for 10 s
    And a quarter of them have a part that crashes runners for 12 s
    And the store returns from a copy without the part
    Then the store holds the part again within 3 s

  Scenario: a part that an operator removes from the store is tried again
    Given 6 relay hosts and 8 runners, luck 13
    When callers send 12 streams a second for 10 s
    And a quarter of them have a part that crashes runners for 12 s
    And runners are mended and the operator removes the part from the store
    And all hosts read their settings anew
    Then requests with the part are answered

  Scenario Outline: a damaged entry of a refused part is skipped: <entry>
    Given 6 relay hosts and 8 runners, luck 14
    When the store holds the refused part <entry> and hosts start anew
    Then no part is refused
    And every host is ready

    Examples:
      | entry                         |
      | nothing                       |
      | {}                            |
      | {"service": 1, "part": "a"}   |
      | {"service": "main"}           |
      | [1, 2                         |

  Scenario Outline: no part is kept from runners that crash <why>
    Given 6 relay hosts and 8 runners, luck <seed>
    When callers send 12 streams a second for 10 s
    And runners crash <why> for 20 s, while 60 rare parts are sent
    Then no part is refused
    And sound streams begin half as often as before, from 5 s after the last crash

    Examples:
      | why                       | seed |
      | one after the other       | 6    |
      | one after the other       | 7    |
      | three at a time           | 8    |
      | a failure domain at once  | 9    |

  Scenario: calls that break while their runners live are no evidence
    Given 6 relay hosts and 8 runners, luck 10
    When callers send 12 streams a second for 10 s
    And connections to runners are reset for 20 s, while 60 rare parts are sent
    Then no part is suspected

  Scenario: runners that leave with calls are no evidence
    Given 6 relay hosts and 8 runners, luck 11
    When callers send 12 streams a second for 10 s
    And runners leave and end with their calls for 20 s, while 60 rare parts are sent
    Then no part is refused

  Scenario Outline: evidence from a peer with <what> convicts nobody
    Given 6 relay hosts and 8 runners, luck 12
    When a peer tells host 0 of three crashes with <what>
    Then no part is suspected

    Examples:
      | what           |
      | age nan        |
      | age -1         |
      | age 1e9        |
      | no part        |
      | no runner      |
      | start -1       |
      | run nan        |
      | run -1         |
