Feature: Cold runners get few requests a second from all hosts together
  A runner is cold for some seconds after its start and at other times. In any
  one second all hosts together may send it 1.5 times the service's cold rate
  and 5 requests, also while they are out of reach of each other.

  # Guards against a rate that two groups of hosts exceed together.
  Scenario Outline: two groups of holders at <per_s> a second stay below the bound
    Given a service whose cold runners sustain <per_s> a second
    When two groups of <holders> holders each send whenever they may, for 10 s
    Then the runner gets at most its bound in any second
    And one group alone sends at least <least> a second

    Examples:
      | per_s | holders | least |
      | 17    | 2       | 11    |
      | 7.4   | 2       | 5     |
      | 17    | 1       | 12    |
      | 0.5   | 2       | 0.4   |

  # Guards against cold times that are missed, that outlive their end, or that
  # a stale entry or answer brings back.
  Scenario Outline: after "<reports>" a runner is cold until <until>
    Given a service whose cold runners sustain 17 a second
    When a host that started at 0 hears "<reports>"
    Then the runner is cold until <until>

    Examples:
      | reports                                          | until |
      | 10 entry born 10 says 3                          | 13    |
      | 10 entry born 10 says -                          | 13    |
      | 11 entry born 10 says -                          | 13    |
      | 20 entry born 10 says -                          | never |
      | 10 entry born 0 says -                           | never |
      | 10 entry born 0 says 2                           | 12    |
      | 10 entry born 0 says 99                          | 13    |
      | 1 entry born -50 says 3                          | never |
      | 1 entry born 1 says 3                            | 4     |
      | 20 entry born 10 says -; 25 entry born 10 says 3 | 28    |
      | 10 entry born 10 says 3; 14 entry born 10 says 3 | 13    |
      | 20 entry born 10 says -; 21 answer 2             | 23    |
      | 10 entry born 10 says 3; 11 answer 0             | 11    |
      | 10 entry born 10 says 3; 11 answer 0 sent 9      | 13    |
      | 10 entry born 10 says 3; 11 answer -             | 13    |
      | 20 entry born 10 says -; 22 peer 2 old 0.5       | 24    |
      | 20 entry born 10 says -; 22 peer 9 old 0.5       | 24.5  |
      | 10 entry born 10 says 3; 11 peer 0 old 0.2       | 11    |
      | 10 entry born 10 says 3; 11 peer 0 old 2         | 13    |
      | 20 entry born 10 says -; 30 domain               | 33    |

  # Guards against runners taken for warm by a host that reads them first.
  Scenario: a host reads the runners before the configuration
    When a host reads a runner that started 1 s ago, then the configuration
    Then the runner is cold until 12

  # Guards against names of the platform that are read wrongly, and against
  # entries that name no runner for a cold time of another type.
  Scenario Outline: the platform's entry with "<value>" is read as <seconds>
    When an entry of the platform has the remaining cold time <value>
    Then its runner is cold for <seconds> s more

    Examples:
      | value   | seconds |
      | 2500    | 2.5     |
      | 0       | 0       |
      | -3      | 0       |
      | "soon"  | -       |
      | null    | -       |
      | true    | -       |
      | missing | -       |

  Scenario Outline: the platform's header "<value>" is read as <seconds>
    When an answer of the platform has the header Cold-Milliseconds <value>
    Then it says that the runner is cold for <seconds> s more

    Examples:
      | value   | seconds |
      | 2500    | 2.5     |
      | 0       | 0       |
      | -5      | -       |
      | soon    | -       |
      | missing | -       |

  Scenario: services and settings of the platform name cold runners
    Then a service with coldStartS 3.0 and coldPerS 7.4 is read so
    And the settings have a bound with bounds.coldOverage, and none without

  # Guards against a part of the fleet that elects holders of its own.
  Scenario Outline: <hosts> hosts in groups of <size>, lost <rate> a second, never have more than 4 holders
    Given <hosts> hosts that know each other
    When they fall apart into groups of <size> and each loses <rate> others a second
    Then at no time more than <most> of them hold a runner

    Examples:
      | hosts | size | rate | most |
      | 4     | 1    | 1    | 4    |
      | 12    | 1    | 1    | 4    |
      | 60    | 1    | 0.2  | 4    |
      | 330   | 1    | 1    | 4    |
      | 330   | 1    | 0.2  | 4    |
      | 40    | 20   | 1    | 4    |
      | 12    | 4    | 1    | 4    |

  # Guards against hosts that hold a runner before they know the others.
  Scenario: a host that has just started and finds none of its seeds holds nothing
    Given 1 host with 3 seeds that it does not find
    When 30 s pass for it
    Then it holds no runner

  # Guards against holders that are never replaced.
  Scenario: another host stands in for one that was lost
    Given 6 hosts that know each other
    When the first holder of a runner is lost to the others for 11 s
    Then the others choose 2 holders among themselves

  # Guards against a change of what hosts do where no settings ask for it.
  Scenario Outline: with <off> nothing is withheld and no message sent
    Given <hosts> hosts and 2 runners that sustain <per_s> a second while cold, <setting>, luck 1
    When runners "1" start cold, and callers send 120 a second for 3 s
    Then a cold runner gets more than its bound for 7.4 in some second
    And hosts tell each other nothing of cold runners

    Examples:
      | off              | hosts | per_s | setting          |
      | no settings      | 3     | 7.4   | without settings |
      | no limit of load | 3     | 0     | with settings    |

  # Guards against requests beyond the bound and against needless refusals.
  Scenario Outline: runners <cold> of <runners> start cold at <hosts> hosts, <per_s> a second, luck <seed>
    Given <hosts> hosts and <runners> runners that sustain <per_s> a second while cold, with settings, luck <seed>
    When callers go on with <calls> a second for 4 s
    And runners "<cold>" start cold, and callers send <calls> a second for 3 s
    And callers go on with <calls> a second for 2 s
    Then a cold runner gets at most its bound in any second
    And first tries are served as well as 9 in 10 of those before
    And all first tries after the cold time are served
    And no host withholds anything once the cold time is over

    Examples:
      | hosts | runners | cold    | per_s | calls | seed |
      | 6     | 4       | 1       | 17    | 80    | 1    |
      | 6     | 6       | 1 2 3   | 7.4   | 60    | 2    |
      | 12    | 4       | 1 2     | 7.4   | 60    | 3    |
      | 6     | 4       | 1 2 3 4 | 17    | 30    | 4    |
      | 6     | 4       | 1 2 3 4 | 7.4   | 14    | 5    |

  # Guards against a cold runner whose few requests leave nothing to reuse.
  Scenario Outline: of prompts with <parts> parts a cold runner gets <some>
    Given 6 hosts and 4 runners that sustain 17 a second while cold, with settings, luck 1
    When callers send prompts with <parts> parts, 40 a second for 6 s
    And runner 1 starts cold, and callers send prompts with <parts> parts, 40 a second for 3 s
    Then the cold runner gets <some> of them

    Examples:
      | parts  | some |
      | own    | none |
      | shared | some |

  # Guards against figures that operators can't read.
  Scenario: hosts count cold runners and what they keep from them
    Given 6 hosts and 4 runners that sustain 7.4 a second while cold, with settings, luck 1
    When runners "1 2" start cold, and callers send 120 a second for 1 s
    Then each host counts 2 cold runners, and some requests sent elsewhere
    And 3 s later each host counts 0 cold runners

  # Guards against a burst that reaches a domain which has just come back.
  Scenario Outline: a domain returns cold in a burst of <count> requests, <how>, luck <seed>
    Given 6 hosts and 6 runners that sustain 7.4 a second while cold, with settings, luck <seed>
    When callers go on with 40 a second for 2 s
    And the domain of runner 1 returns <how>
    And a burst of <count> requests comes, and 40 a second for 3 s
    Then a cold runner gets at most its bound in any second
    And first tries are served as well as 9 in 10 of those before

    Examples:
      | how                           | count | seed |
      | with new starts               | 200   | 1    |
      | from an evacuation            | 200   | 2    |

  # Guards against reports that are missing, stale or contradict each other.
  Scenario Outline: a runner becomes cold under traffic, <reports>, luck <seed>
    Given 6 hosts and 4 runners that sustain 7.4 a second while cold, with settings, luck <seed>
    When callers go on with 60 a second for 3 s
    And runner 1 becomes cold, <reports>, and callers send 60 a second for 3 s
    And callers go on with 60 a second for 2 s
    Then a cold runner gets at most its bound in any second
    And first tries are served as well as 9 in 10 of those before
    And all first tries after the cold time are served
    And no host withholds anything once the cold time is over

    Examples:
      | reports                                          | seed |
      | its entry and answers say so                     | 1    |
      | only its answers say so                          | 2    |
      | only its entry says so                           | 3    |
      | its entry says 0.5 s and its answers are right   | 5    |

  # Guards against a runner whose wrong answers keep it cold for good.
  Scenario: a runner's answers say 1 s more than its cold time lasts, luck 4
    Given 6 hosts and 4 runners that sustain 7.4 a second while cold, with settings, luck 4
    When callers go on with 60 a second for 3 s
    And runner 1 becomes cold, its answers say 1 s more, and callers send 60 a second for 3 s
    And callers go on with 60 a second for 2 s
    Then a cold runner gets at most its bound in any second
    And all first tries after the cold time are served
    And some host still withholds requests, and none after that

  # Guards against groups of hosts that each use the whole bound.
  Scenario Outline: all runners cold at <hosts> hosts in <groups> groups, <per_s> a second, luck <seed>
    Given <hosts> hosts and 4 runners that sustain <per_s> a second while cold, with settings, luck <seed>
    When hosts are parted into <groups> groups for <apart> s
    And runners "1 2 3 4" start cold, and callers send 300 a second for 3 s
    And callers go on with 40 a second for 2 s
    Then a cold runner gets at most its bound in any second
    And all first tries after the cold time are served

    Examples:
      | hosts | groups | per_s | apart | seed |
      | 6     | 2      | 17    | 0     | 1    |
      | 6     | 2      | 17    | 30    | 2    |
      | 6     | 6      | 17    | 0     | 3    |
      | 6     | 6      | 7.4   | 5     | 4    |
      | 12    | 12     | 7.4   | 40    | 5    |
      | 9     | 3      | 7.4   | 30    | 6    |

  # Guards against hosts that take over a dead one's part at once, and against
  # hosts that start without knowing the others.
  Scenario Outline: hosts are <how> while all runners are cold, luck <seed>
    Given 6 hosts and 4 runners that sustain 7.4 a second while cold, with settings, luck <seed>
    When hosts are <how>, runners "1 2 3 4" start cold, and callers send 200 a second for 3 s
    And callers go on with 40 a second for 2 s
    Then a cold runner gets at most its bound in any second
    And all first tries after the cold time are served

    Examples:
      | how                           | seed |
      | killed, two of them           | 1    |
      | restarted, all of them        | 2    |
      | restarted, each one alone     | 3    |

  # Guards against the calls of a stage service, and of several owners.
  Scenario Outline: stage runners are cold, hosts in <groups> groups, luck <seed>
    Given 6 hosts and 4 runners that sustain 7.4 a second while cold, with settings, luck <seed>
    And stage runners that sustain as much
    When hosts are parted into <groups> groups for <apart> s
    And all stage runners start cold, and callers of stages send 60 a second for 3 s
    Then a cold runner gets at most its bound in any second
    And some stage calls reach cold runners

    Examples:
      | groups | apart | seed |
      | 1      | 0     | 1    |
      | 6      | 0     | 2    |
      | 2      | 30    | 3    |
      | 6      | 30    | 4    |
