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

  # Guards against refusals in the first half minute of a deployment.
  Scenario: streams go on after the first hosts restarted soon after the start
    Given 8 relay hosts that have just started first, with runners 4 of v1
    When all hosts restart while callers take streams up
    Then of the streams taken up at least half the share that begins goes on

  # Guards against taking the start of a later host for that of the first one.
  Scenario: a host that is new among older ones does not speak for the past
    Given 8 relay hosts that have just started first, with runners 4 of v1
    When the entries of versions are lost and a new host is the writer
    Then the entry written next covers only its own time

  # Guards against taking the only version that is seen after a restart for
  # the only one that there was: its streams went on with events of another.
  Scenario Outline: <count> hosts lose power while <release>, <outage>
    Given <count> relay hosts with runners 4 of v1
    When all hosts lose power while <release> and <outage>
    Then some streams were taken up
    And at most 2 streams hold events of two versions
    And of the 60 streams that begin afterwards all end whole

    Examples:
      | count | release | outage |
      | 1  | the runners of v1 have just left | the store works |
      | 8  | the runners of v1 have just left | the store works |
      | 40 | the runners of v1 have just left | the store works |
      | 8  | both versions serve              | the store works |
      | 8  | v1 left 12 s before              | the store works |
      | 8  | the writer was killed as v1 ended | the store works |
      | 8  | the runners started again as v2 under their names | the store works |
      | 8  | the runners of v1 have just left | the store answers one host alone |
      | 8  | the runners of v1 have just left | the hosts' clocks differ by 4 s |
      | 8  | v1 left 12 s before              | the hosts' clocks differ by 4 s |
      | 8  | the runners of v1 have just left | the entry is damaged |
      | 8  | the runners of v1 have just left | another writer replaced the entry |
      | 8  | the runners of v1 have just left | the entry is gone |
      | 8  | the runners of v1 have just left | the store returns from a copy taken before v2 |
      | 8  | v1 is back after v2 served | the store works |
      | 8  | v1 is back after v2 served | the entry is damaged |
      | 8  | v1 is back after v2 served | another writer replaced the entry |
      | 8  | v1 is back after v2 served | the entry is gone |
      | 8  | v1 is back after v2 served | the store answers one host alone |
      | 8  | v1 is back after v2 served | the hosts' clocks differ by 4 s |
      | 8  | v1 is back after v2 served | the store returns from a copy taken before v2 |

  # Guards against a call for each host, start or stream: calls cost money.
  Scenario: a release costs a few calls for versions, a start one in all
    Given 8 relay hosts with runners 4 of v1
    When v2 replaces v1 and 40 s pass
    Then the store got at most 2 lists and 2 writes of versions
    When all hosts restart while nobody takes streams up
    Then the store got at most 1 lists and 0 writes of versions
    When hosts restart one after another, 3 s apart
    Then the store got at most 2 lists and 0 writes of versions

  # Guards against a version that ended or began and stays unwritten.
  Scenario Outline: the entry names the versions although <what>
    Given 8 relay hosts with runners 4 of v1
    When v2 comes, v1 leaves after 5 s, and <what>
    Then 20 s later the entry has v1 as ended and v2 as present
    And the entry is of the store's era
    And versions took at most <calls> calls

    Examples:
      | what                                       | calls |
      | nothing else happens                       | 4     |
      | the writer is killed as v1 leaves          | 6     |
      | the store is away for 10 s                 | 14    |
      | all hosts think that they write            | 40    |
      | the store returns from a copy before v2    | 6     |
      | the entry is damaged and the writer killed | 6     |

  # Guards against a caller that waits for a store which does not answer, and
  # against an entry from a clock that is far ahead.
  Scenario Outline: a take-up is refused at once as <what>
    Given 8 relay hosts with runners 4 of v1
    When all hosts restart, <what>, and a stream is taken up
    Then it is refused with a time to come back within 1.5 s

    Examples:
      | what                                      |
      | the store goes silent                     |
      | the store goes away                       |
      | the entry begins in the future            |
      | the entry has no versions                 |

  # Guards against refusals where no version changed, and against more than
  # one read a host.
  Scenario: each of 40 hosts reads the versions once when all have restarted
    Given 40 relay hosts with runners 4 of v1
    When all hosts restart while callers take streams up
    Then of the streams taken up at least half the share that begins goes on
    And the store got at most 41 lists and 0 writes of versions

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

  # Guards against refusing most take-ups after a loss of all hosts while two
  # versions serve: callers come back once they miss events, seconds later.
  Scenario Outline: <count> hosts lose power while both versions serve, for callers of long streams
    Given <count> relay hosts with runners 4 of v1
    When streams of both versions run for <run_s> s and all hosts lose power
    Then some streams were taken up
    And at most 2 streams hold events of two versions
    And of the streams taken up at least half the share that begins goes on

    Examples:
      | count | run_s |
      | 1     | 3     |
      | 8     | 3     |
      | 40    | 4     |

  # Guards against calls for streams while one version serves.
  Scenario: streams of one version cost no call
    Given 8 relay hosts with runners 4 of v1
    When streams run for 4 s
    Then the store got no call for streams

  # Guards against a host that was out of step and takes the only version that
  # it has seen for the only one that there is.
  Scenario Outline: <hosts> of 8 hosts <state> while v2 joins, streams are taken up there <moment>
    Given 8 relay hosts with runners 4 of v1
    When the first <hosts> hosts <state> while v2 joins and streams of the others are taken up there <moment>
    Then at most 2 streams hold events of two versions
    And some streams of v2 were taken up

    Examples:
      | hosts | state                                  | moment    |
      | 1     | stand still                            | at once   |
      | 1     | stand still                            | meanwhile |
      | 1     | hear no other host and no store        | at once   |
      | 1     | hear no other host and no store        | meanwhile |
      | 1     | hear no other host                     | meanwhile |
      | 1     | hear no store                          | meanwhile |
      | 4     | hear no other host and no store        | meanwhile |
      | 4     | hear no other host and no store        | at once   |
      | 7     | hear no other host and no store        | meanwhile |

  # Guards against refusals where a host can tell.
  Scenario Outline: one version serves and <what>, streams go on
    Given 8 relay hosts with runners 4 of v1
    When <what> and streams are taken up elsewhere
    Then of the streams taken up at least half the share that begins goes on

    Examples:
      | what                                       |
      | nothing else happens                       |
      | the store is away                          |
      | a host has just lost power                 |
      | a host hears no store                      |
      | a host hears no other host                 |
