Feature: A stream goes on only at the software version that began it
  Runners of several versions serve side by side and check nothing; their
  events show the version. In virtual time.

  Scenario Outline: <count> hosts, <versions>, streams run while <what>
    Given <count> relay hosts with runners <versions>
    When streams run while <what>
    Then at most 2 streams hold events of two versions
    And of the streams taken up at least half the share that begins goes on

    Examples:
      | count | versions         | what                                 |
      | 1     | 3 of v1, 3 of v2 | connections break                    |
      | 8     | 3 of v1, 3 of v2 | connections break                    |
      | 8     | 5 of v1, 2 of v2 | connections break                    |
      | 40    | 4 of v1, 4 of v2 | connections break                    |
      | 8     | 4 of v1, 4 of v2 | runners crash                        |
      | 8     | 3 of v1, 3 of v2 | hosts lose power one after another   |
      | 8     | 3 of v1, 3 of v2 | hosts restart one after another      |
      | 8     | 3 of v1, 3 of v2 | a third of the hosts hear no peers   |
      | 8     | 4 of v1          | runners of v2 start and hosts lose power |
      | 8     | 4 of v1, 1 of v2 | runners crash                        |

  Scenario Outline: <count> hosts replace all runners while connections break
    Given <count> relay hosts with runners 4 of v1
    When streams run while each is replaced by one of v2
    Then at most 2 streams hold events of two versions

    Examples:
      | count |
      | 1     |
      | 8     |

  Scenario: streams of a version that serves no more end, and are refused
    Given 8 relay hosts with runners 2 of v1, 2 of v2
    When streams run while all runners of v1 crash
    Then at most 2 streams hold events of two versions
    And the streams that v1 began are refused with a time to come back

  Scenario: streams go on after every host has restarted while one version serves
    Given 8 relay hosts with runners 4 of v1
    When streams run while all hosts restart at once
    Then of the streams taken up at least half the share that begins goes on

  Scenario Outline: a take-up of another's stream that names <what> is refused
    Given 8 relay hosts with runners 2 of v1, 2 of v2
    When a caller takes up a stream that began at v1 and names <what>
    Then it is refused with a time to come back and reaches no runner

    Examples:
      | what                       |
      | no first attempt           |
      | an attempt that never was  |
      | it from another workspace  |

  Scenario: what is known of streams is bounded by count and by time
    When 25000 streams begin that callers may take up for 10 s
    Then the host knows 20000 of them
    And none of them 10 s later

  Scenario: the first record of a stream stands
    When two hosts tell different versions of one stream
    Then the stream's version is the first one

  Scenario: an earlier incarnation from an older copy changes no version
    Given a runner that started again with another software version
    When an older copy of the store shows its earlier incarnation
    Then streams from it are of the later version
