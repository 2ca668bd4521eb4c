Feature: A request that crashes runners is soon kept from them
  Whole hosts on one virtual clock, runners that come back 4 s after a crash.

  Scenario Outline: the same <route> request crashes every runner, luck <seed>
    Given 6 relay hosts and 3 runners of "<route>" requests, luck <seed>
    When callers send 12 requests a second for 10 s
    And a tenth of them is a request that crashes runners, for 24 s
    Then it reaches runners at most 3 times later than 3 s after its third crash
    And sound requests are served half as often as before, from 6 s after its third crash
    And no other request is kept from runners

    Examples:
      | route  | seed |
      | safe   | 1    |
      | safe   | 2    |
      | job    | 1    |
      | job    | 2    |
      | stream | 1    |
      | stream | 2    |

  Scenario Outline: the same request makes every runner fall silent, luck <seed>
    Given 6 relay hosts and 3 runners of "safe" requests, luck <seed>
    And runners fall silent when they crash
    When callers send 12 requests a second for 10 s
    And a tenth of them is a request that crashes runners, for 40 s
    Then it reaches runners at most 3 times later than 3 s after its third crash
    And no other request is kept from runners

    Examples:
      | seed |
      | 3    |
      | 4    |

  Scenario: four copies of a request crash four runners at once, again and again
    Given 6 relay hosts and 6 runners of "safe" requests, luck 5
    When callers send 12 requests a second for 10 s
    And 4 callers at once send a request that crashes runners, every 5 s for 30 s
    Then it reaches runners at most 3 times later than 3 s after its third crash
    And no other request is kept from runners

  Scenario Outline: hosts that <what> in the middle know of the request
    Given 6 relay hosts and 3 runners of "safe" requests, luck 6
    When callers send 12 requests a second for 10 s
    And a tenth of them is a request that crashes runners, and hosts <what>
    Then it reaches runners at most 3 times later than 3 s after its third crash
    And no other request is kept from runners

    Examples:
      | what                    |
      | restart one by one      |
      | are all killed          |

  Scenario Outline: no request is kept from runners that crash <why>
    Given 6 relay hosts and 8 runners of "safe" requests, luck <seed>
    When callers send 12 requests a second for 10 s
    And runners crash <why> under 40 requests that come again and again
    Then no request is kept from runners
    And sound requests are served half as often as before, from 5 s after the last crash

    Examples:
      | why                      | seed |
      | one after the other      | 7    |
      | one after the other      | 8    |
      | three at a time          | 9    |
      | a failure domain at once | 10   |

  Scenario Outline: no request is kept from runners that fall silent <why>
    Given 6 relay hosts and 8 runners of "safe" requests, luck <seed>
    And runners fall silent when they crash
    When callers send 12 requests a second for 10 s
    And runners crash <why> under 40 requests that come again and again
    Then no request is kept from runners

    Examples:
      | why                      | seed |
      | one after the other      | 11   |
      | three at a time          | 12   |
      | a failure domain at once | 13   |
