Feature: Relay hosts share what they know and leave without loss
  Hosts on one virtual clock, with a store and links that tests control.

  Scenario: a host that knows no configuration promises nothing
    Given 1 relay hosts whose store is silent
    When a caller asks host 0 for "/job/1" with key "k1"
    Then it is answered 503 and told when to come back
    And host 0 is not ready

  Scenario Outline: a caller of <path> with key <key>
    Given 1 relay hosts whose store answers
    When a caller asks host 0 for "<path>" with key "<key>"
    Then it is answered <status>

    Examples:
      | path    | key | status |
      | /job/1 | k1  | 200    |
      | /job/1 | odd | 401    |
      | /none/1 | k1  | 404    |
      | /open/1 | odd | 200    |

  Scenario: a change reaches a host that the store turns away
    Given 3 relay hosts whose store answers
    When the store turns host 2 away and key "k1" is withdrawn
    Then within 2 s every host answers key "k1" with 401

  Scenario: a third of the hosts, first those that watch, hear no more of it
    Given 30 relay hosts whose store answers
    When the store falls silent for 10 hosts, the first watchers among them
    And key "k1" is withdrawn
    Then within 2 s every host answers key "k1" with 401

  Scenario: the messages to peers are counted by kind
    Given 3 relay hosts whose store answers
    When the store turns host 2 away and key "k1" is withdrawn
    And 1 s passes
    Then host 0 counts bytes of "StatePush" to peers

  Scenario: large configurations in quick succession are in force in time
    Given 40 relay hosts with links of 10 Mbit/s whose store answers
    When configurations of 100 KB come every 0.33 s for 4 s
    Then each was in force on every host within 3 s

  Scenario: large configurations are in force in time though few hosts hear them
    Given 58 relay hosts with links of 5 Mbit/s whose store answers
    When the store falls silent for 4 hosts that watch it
    And configurations of 87 KB come every 0.37 s for 5 s
    Then each was in force on every host within 3 s

  Scenario Outline: <count> hosts whose watches lost their answers hear of a change in time
    Given <count> relay hosts whose store answers
    When the store loses the answers to all open watches and key "k1" is withdrawn
    Then within <bound> s every host answers key "k1" with 401

    Examples:
      | count | bound |
      | 1     | 2     |
      | 3     | 2     |
      | 8     | 2     |
      | 40    | 3     |

  Scenario: a leaving runner gets nothing new from any host
    Given 3 relay hosts whose store answers
    When the store turns host 2 away and runner "a" is leaving
    Then within 2 s no host sends to runner "a"

  # Guards against doubts that never end, as a kind of objects that the store
  # has never held counted as an outage, and against doubts that end in one.
  Scenario: a host counts the time in which the runners' entries can be read
    Given 1 relay hosts whose store answers
    Then host 0 has read the entries since before its last second
    When the store has no object of another kind that host 0 reads
    Then host 0 has read the entries since before its last second
    When the store turns host 0 away
    And 5 s pass at the hosts
    Then host 0 can't read the entries
    When the store answers host 0 again
    And 3 s pass at the hosts
    Then host 0 has read the entries since before its last second

  Scenario: the return of a store in which nothing changes is noticed
    Given 1 relay hosts whose store answers
    When the store turns host 0 away for 3 s and nothing changes
    Then host 0 knows within 2 s that the store is back

  Scenario: an older version never comes back into force
    Given 2 relay hosts whose store answers
    When key "k1" is withdrawn and a peer repeats the first version
    Then within 2 s every host answers key "k1" with 401

  Scenario: hosts whose seeds are gone for good find each other
    Given 3 relay hosts with seeds that are gone
    Then each host knows 3 hosts within 5 s

  Scenario: a host that is gone for good leaves the store
    Given 3 relay hosts whose store answers
    When host 2 loses power and does not return for 90 s
    Then the store holds the entries of 2 hosts

  Scenario: a host that starts while the store is away serves by its peers' word
    Given 2 relay hosts whose store answers
    When the store goes away and host 1 starts anew
    Then within 4 s host 1 is ready
    And a caller with key "k1" is answered 200 there

  Scenario: a leaving host finishes what it took and is listed no more
    Given 2 relay hosts whose store answers
    And runners take 1.5 s
    When a caller asks host 0 for "/job/1" with key "k1"
    And host 0 is told to leave
    Then host 0 is not ready and no host lists it
    And the caller is answered 200 before host 0 stops
    And host 0 stops within 8 s

  Scenario: callers find every ready host, those of their own domain first
    Given 3 relay hosts whose store answers
    Then the directory of each host lists 3 addresses, "north" first

  Scenario: a host's timers don't follow steps of the time of day
    When a process on the steady clock sets a timer and steps its time of day back
    Then the timer fires in time

  Scenario Outline: <count> hosts keep a limit of <rate> a second that <who> named
    Given <count> relay hosts whose store answers
    When callers send 20 requests a second and <who> names a limit of <rate> a second
    Then <who> gets at most one and a half times that and 5 requests in any 4 s
    And callers were refused only if every runner names a limit

    Examples:
      | count | rate | who          |
      | 8     | 1    | runner "a"   |
      | 8     | 0.5  | runner "a"   |
      | 8     | 6    | runner "a"   |
      | 8     | 1    | every runner |
      | 40    | 1    | runner "a"   |
      | 40    | 3    | every runner |

  Scenario Outline: <count> hosts that restart one after another keep a limit
    Given <count> relay hosts whose store answers
    When callers send 20 requests a second and runner "a" names a limit of 1 a second
    And the hosts restart in turn, one every 2 s
    Then runner "a" gets at most one and a half times that and 5 requests in any 4 s

    Examples:
      | count |
      | 8     |
      | 20    |

  Scenario Outline: a limit of <rate> a second from a peer is skipped
    Given 2 relay hosts whose store answers
    When a peer tells host 0 that runner "a" names a limit of <rate> a second
    Then host 0 knows no limit and host 1 is told none

    Examples:
      | rate |
      | nan  |
      | inf  |
      | -1   |

  Scenario: a runner that names no limit any more is used by all hosts again
    Given 8 relay hosts whose store answers
    When callers send 20 requests a second and runner "a" names a limit of 1 a second
    And it names the limit no more while the others slow down for 4 s
    Then within 0 s every host sends to runner "a"

  Scenario Outline: a peer that <reads> compressed frames gets <frame> frame
    Given 2 relay hosts whose store answers
    When a peer that <reads> compressed frames requests the configuration
    Then it gets <frame> frame

    Examples:
      | reads          | frame        |
      | reads          | a compressed |
      | does not read  | a plain      |

  Scenario Outline: a change is in force in time though connections between hosts fell silent, luck <seed>
    Given <count> relay hosts that reach each other over connections
    When 20 s passes
    And connections of 70 % of the hosts fall silent, with luck <seed>
    And <pause> s later a configuration of 12 KB withdraws key "k1"
    Then within 3 s every host answers key "k1" with 401

    Examples:
      | count | seed | pause |
      | 8     | 1    | 0.5   |
      | 40    | 0    | 2.0   |
      | 40    | 1    | 0.67  |
      | 40    | 2    | 4.0   |

  Scenario Outline: no host is believed dead since connections fell silent, luck <seed>
    Given 40 relay hosts that reach each other over connections
    When 20 s passes
    And connections of 70 % of the hosts fall silent, with luck <seed>
    Then no host suspects another for the next 8 s

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: a runner whose answers say that it leaves gets nothing more, its entry <entry>
    Given 8 relay hosts whose store answers
    When callers send 40 requests a second
    And the answers of runner "a" say it leaves, and its entry <entry>
    Then runner "a" gets nothing from 1 s after its first such answer on
    And no caller was refused

    Examples:
      | entry                        |
      | stays as it was              |
      | is written again as live     |
      | says so, then is live again  |
      | is removed and written again |
      | comes from an older copy     |

  Scenario: hosts that started after a runner had said that it leaves hear of it
    Given 8 relay hosts whose store answers
    When callers send 40 requests a second
    And the answers of runner "a" say it leaves, and its entry stays as it was
    And the hosts restart in turn, one every 1 s
    Then no host has sent to runner "a" more than twice since its start

  Scenario: a runner that starts again under its name is used again
    Given 8 relay hosts whose store answers
    When callers send 40 requests a second
    And the answers of runner "a" say it leaves, and its entry stays as it was
    And runner "a" starts again under its name
    Then within 3 s every host sends to runner "a"

  Scenario: a leaving runner whose entry names no start is known by what a peer tells
    Given 8 relay hosts whose store answers
    When a peer tells host 0 of a leaving runner "a" whose entry names no start
    Then within 2 s no host sends to runner "a"

  Scenario Outline: news of a leaving runner <what> from a peer is skipped
    Given 2 relay hosts whose store answers
    When a peer tells host 0 of a leaving runner "a" <what>
    Then within 3 s every host sends to runner "a"

    Examples:
      | what                    |
      | that is nan s old       |
      | that is 1e9 s old       |
      | of start -5             |
      | of an earlier start     |
