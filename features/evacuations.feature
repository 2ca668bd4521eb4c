Feature: Nothing more is sent to the runners of an evacuated failure domain
  An operator's object names the domain. From 5 s after its write until its
  deletion no host in reach sends the domain's runners anything.

  Scenario Outline: <count> hosts send nothing more to an evacuated domain
    Guards against a path to runners that the check leaves out: first sends,
    retries, stage calls, releases of results, storage checks.
    Given <count> hosts that honour evacuations
    When callers ask for 3 s
    And the operator writes "<content>" as the evacuation of "north"
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on
    And every caller got a whole answer

    Examples:
      | count | content       |
      | 1     | {}            |
      | 8     | {}            |
      | 20    | {}            |
      | 3     | no JSON at {0 |

  Scenario: a stream that runs in the domain is not broken off
    Guards against streams that are cut or moved when an evacuation starts.
    Given 3 hosts that honour evacuations
    And streams take 6 s
    When a caller opens a stream that runs in "north"
    And the operator evacuates "north"
    And 10 s passes
    Then the stream is whole and ran at one runner alone

  Scenario: a stream that breaks in the domain continues in another
    Guards against resumptions that return to the runner that began a stream.
    Given 3 hosts that honour evacuations
    And streams take 6 s
    When a caller opens a stream that runs in "north"
    And the operator evacuates "north"
    And 4 s passes
    And the runners of "north" crash
    And 10 s passes
    Then the stream is whole and ended outside "north"
    And nothing has reached "north" from 3 s after the write on

  Scenario: pieces that are queued for a domain go to other runners
    Guards against queued stage work that waits for an evacuated runner.
    Given 3 hosts that honour evacuations
    When a burst of 40 staged requests comes
    And the operator evacuates "north"
    And 8 s passes
    Then every caller got a whole answer
    And nothing has reached "north" from 0.2 s after the write on

  Scenario: results in the domain are left to expire
    Guards against releases that reach a runner whose entry is gone, so that
    its domain is unknown.
    Given 1 hosts that honour evacuations
    When the operator evacuates "north"
    And 3 s passes
    And the entry of the stage runner in "north" is removed
    And results there are released
    Then nothing has reached "north" from 3 s after the write on

  Scenario Outline: <count> hosts that all restart read of it before they serve
    Guards against hosts that serve before they have read the evacuations.
    Given <count> hosts that honour evacuations
    When the operator evacuates "north"
    And 4 s passes
    And all hosts restart while callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on

    Examples:
      | count |
      | 1     |
      | 8     |

  Scenario: a host that the store turns away hears of it from its peers
    Guards against evacuations that only reach hosts through the store.
    Given 3 hosts that honour evacuations
    When the store turns host 0 away
    And the operator evacuates "north"
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on

  Scenario: an evacuation stays in force while the store is away
    Guards against an evacuation that ends when its object can't be read.
    Given 3 hosts that honour evacuations
    When the operator evacuates "north"
    And 3 s passes
    And the store turns every host away
    And callers ask for 12 s
    And host 1 restarts
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on
    And host 1 is ready

  Scenario: a host that can't read the evacuations is not ready
    Guards against a host that takes its other lists for the whole state.
    Given 1 hosts that honour evacuations
    When the operator evacuates "north"
    And the store fails for "evacuations"
    And host 0 restarts
    And callers ask for 6 s
    Then host 0 is not ready
    And nothing has reached "north" from 3 s after the write on
    When the store fails for nothing
    And 3 s passes
    Then host 0 is ready

  Scenario: a store that has never held an evacuation delays no host
    Guards against a start that waits for a list which the store answers 404.
    Given 1 hosts that honour evacuations
    When the store answers 404 for lists of "evacuations"
    And host 0 restarts
    And 1 s passes
    Then host 0 is ready

  Scenario: a store restored without the object, which is written again
    Guards against a gap between the restore and the operator's next write.
    Given 3 hosts that honour evacuations
    And the store is copied
    When the operator evacuates "north"
    And callers ask for 4 s
    And the store returns from the copy
    And callers ask for 4 s
    And the operator evacuates "north" again
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on

  Scenario: a store restored without the object, which is not written again
    Guards against an evacuation that nobody can end.
    Given 3 hosts that honour evacuations
    And the store is copied
    When the operator evacuates "north"
    And callers ask for 4 s
    And the store returns from the copy
    And callers ask for 8 s
    Then every host has sent to "north" in the last 2 s

  Scenario: a store restored with the object, which is then deleted
    Guards against a deletion that is taken for one by an older copy.
    Given 3 hosts that honour evacuations
    When the operator evacuates "north"
    And callers ask for 4 s
    And the store is copied
    And the store returns from the copy
    And callers ask for 2 s
    And the operator ends the evacuation of "north"
    And callers ask for 3 s
    Then every host has sent to "north" in the last 2 s

  Scenario: an evacuation ends
    Guards against hosts that keep a domain out of use, and an end that is not
    reported to those who need it.
    Given 8 hosts that honour evacuations
    When the operator evacuates "north"
    And callers ask for 6 s
    And the operator ends the evacuation of "north"
    And callers ask for 5 s
    Then nothing has reached "north" from 3 s after the write until its end
    And every host has sent to "north" in the last 4 s
    And every host knows within 2 s that the evacuation of "north" ended

  Scenario: evacuations in quick succession
    Guards against a version that is applied out of order.
    Given 8 hosts that honour evacuations
    When the operator starts and ends the evacuation of "north" 5 times
    And the operator evacuates "north"
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on

  Scenario: two domains at once
    Guards against a later evacuation that replaces an earlier one.
    Given 8 hosts that honour evacuations
    When the operator evacuates "north"
    And the operator evacuates "east"
    And callers ask for 8 s
    Then nothing has reached "north" from 3 s after the write on
    And nothing has reached "east" from 3 s after the write on
    And every caller got a whole answer
    And the gauge of evacuated domains is 2 on every host

  Scenario: all domains at once
    Guards against requests that wait, or that run stages, in vain.
    Given 3 hosts that honour evacuations
    When the operator evacuates "north"
    And the operator evacuates "east"
    And the operator evacuates "south"
    And 3 s passes
    And callers ask for 4 s
    Then nothing has reached "north" from 3 s after the write on
    And nothing has reached "east" from 3 s after the write on
    And nothing has reached "south" from 3 s after the write on
    And every caller was refused at once and told when to come back
    And the refusals are counted

  Scenario: all domains while stage work is queued
    Guards against queued pieces that wait for their deadline in vain.
    Given 3 hosts that honour evacuations
    When a burst of 200 staged requests comes
    And the operator evacuates all domains
    And 3 s passes
    Then no caller waits any longer
    And no caller got a broken answer

  Scenario: a handed-over request goes to no evacuated domain
    Guards against a helper that sends what another host hands to it.
    Given 3 hosts that honour evacuations
    When the operator evacuates "north"
    And 3 s passes
    And host 0 loses its way to all runners
    And callers ask for 6 s
    Then nothing has reached "north" from 3 s after the write on
    And requests were handed over

  Scenario: the start and the end of an evacuation are logged
    Guards against operators who can't see what is in force, and since when.
    Given 3 hosts that honour evacuations
    When the store turns host 0 away
    And the hosts' log lines on evacuations are kept
    And the operator evacuates "north"
    And the operator evacuates "nowhere"
    And 4 s passes
    And the operator ends the evacuation of "north"
    And 4 s passes
    Then each host has logged one start and one end of "north"
    And host 0 names a peer as the source, the others the store or a peer
    And each host has logged once that "nowhere" has no runners

  Scenario: an evacuation of an unknown domain
    Guards against an effect on domains with other names.
    Given 3 hosts that honour evacuations
    When the operator evacuates "nowhere"
    And callers ask for 6 s
    Then every host has sent to "north" in the last 4 s
    And every caller got a whole answer
    And the gauge of evacuated domains is 0 on every host

  Scenario: a deployment without evacuations
    Guards against a function that is on though the settings don't enable it.
    Given 3 hosts that honour no evacuations
    When the operator evacuates "north"
    And callers ask for 6 s
    Then every host has sent to "north" in the last 4 s
    And the store was never asked for "evacuations"

  Scenario: what the start of a host costs at the store
    Guards against a start that reads the evacuations more than once.
    Given 3 hosts that honour evacuations
    When host 1 restarts
    And 6 s passes
    Then host 1 has listed "evacuations" once
