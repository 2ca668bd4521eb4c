Feature: Hosts that lost their runners have requests served by others
  Whole hosts on one virtual clock. A cut host is still reached by callers, by
  the store and by the other hosts.

  Scenario Outline: <cut> of 6 hosts lose all runners, connections <manner>, <route> requests
    Given 6 relay hosts and 4 runners of "<route>" requests, luck <seed>
    When callers send 24 requests a second for 6 s
    And <cut> hosts lose all runners for 12 s and connections <manner>
    Then from 3 s on, first tries at the cut hosts are served two thirds as often as at the others
    And from 3 s on, first tries at the other hosts are served as before
    And nothing is suspected of crashing runners
    And no request has run twice, or was refused and has run
    And the cut hosts serve their callers themselves, 3 s after they have their runners back

    Examples:
      | route  | cut | manner | seed |
      | safe   | 3   | hang   | 1    |
      | safe   | 3   | reset  | 2    |
      | safe   | 3   | refuse | 3    |
      | safe   | 5   | hang   | 4    |
      | safe   | 5   | refuse | 5    |
      | job    | 3   | hang   | 6    |
      | job    | 5   | reset  | 7    |
      | stream | 3   | hang   | 8    |
      | stream | 5   | reset  | 9    |
      | stream | 3   | refuse | 10   |
      | staged | 3   | hang   | 11   |
      | staged | 5   | reset  | 12   |
      | staged | 3   | refuse | 13   |

  Scenario Outline: all hosts but one of <hosts> lose their runners, with few callers
    Given <hosts> relay hosts and 4 runners of "safe" requests, luck <seed>
    When callers send 8 requests a second for 6 s
    And <cut> hosts lose all runners for 24 s and connections hang
    Then from 3 s on, first tries at the cut hosts are served two thirds as often as at the others

    Examples:
      | hosts | cut | seed |
      | 8     | 7   | 20   |
      | 12    | 11  | 21   |

  Scenario Outline: a helper <what> while it serves for a host without runners
    Given 6 relay hosts and 4 runners of "<route>" requests, luck 14
    When callers send 24 requests a second for 6 s
    And a helper <what> while 3 hosts are without runners for 12 s
    Then from 3 s on, first tries at the cut hosts are served two thirds as often as at the others
    And no request has run twice, or was refused and has run

    Examples:
      | route  | what              |
      | job    | is killed         |
      | stream | is killed         |
      | safe   | loses its runners |
      | safe   | leaves            |
      | safe   | freezes           |
      | stream | freezes           |

  Scenario: the only host that reaches runners serves slowly
    Given 4 relay hosts and 4 runners of "staged" requests, luck 22
    When callers send 8 requests a second for 6 s
    And stages take 1 s and runners begin their answers after 1 s
    And 3 hosts lose all runners for 12 s and connections hang
    Then from 3 s on, first tries at all hosts are served at least 9 in 10 times
    And from 3 s on, first tries at the cut hosts are served two thirds as often as at the others

  Scenario: no host has a runner
    Given 6 relay hosts and 4 runners of "safe" requests, luck 15
    When callers send 24 requests a second for 6 s
    And 6 hosts lose all runners for 12 s and connections hang
    Then from 3 s on, requests are refused at once, with a time to come back
    And no request has run twice, or was refused and has run
    And the cut hosts serve their callers themselves, 3 s after they have their runners back

  Scenario: a caller leaves while another host serves it
    Given 6 relay hosts and 4 runners of "stream" requests, luck 16
    When callers send 24 requests a second for 6 s
    And 3 hosts lose all runners and connections reset
    And a caller of a cut host leaves after its first event
    Then its runner hears of it within 0.1 s

  Scenario Outline: a <route> request that may have run here is not run again by another host
    Given 6 relay hosts and 3 runners of "<route>" requests, luck 19
    When a runner answers a request for another, and its host then reaches none
    Then the request has run at most 2 times

    Examples:
      | route  |
      | safe   |
      | stream |

  Scenario: requests that other hosts hand over go no further
    Given 6 relay hosts and 4 runners of "safe" requests, luck 17
    When callers send 24 requests a second for 6 s
    And 6 hosts lose all runners and connections reset
    And a host is handed a request by another
    Then it declines the request at once

  Scenario Outline: a host declines a request that is handed over with <what>
    Given 6 relay hosts and 4 runners of "safe" requests, luck 18
    When a host is handed a request with <what>
    Then it declines the request at once

    Examples:
      | what                          |
      | a newer configuration         |
      | no name of a host             |
      | the name of a stranger        |
      | no time left                  |
      | a key that was taken since    |
      | a time that can't be read     |
