Feature: Which failure domains are evacuated
  Decisions from the versions of stored objects and the time, without hosts.

  Scenario Outline: <what>
    Guards against an evacuation that starts late, ends early or never ends.
    Given evacuations with a bound of 5 s
    When these versions of the object of "north" are applied: <versions>
    Then at <at> s "north" <is> evacuated
    And the end of its evacuation is <end>

    Examples:
      | what                                       | versions                       | at   | is     | end  |
      | an object evacuates its domain             | 10: 0.5 {}                     | 10.0 | is     | none |
      | its deletion ends that                     | 10: 0.5 {}, 12: 0.6 -          | 12.0 | is not | 12.0 |
      | a deletion of what was never there         | 10: 0.5 -                      | 10.0 | is not | none |
      | a second write changes nothing             | 10: 0.5 {}, 12: 0.6 {}         | 99.0 | is     | none |
      | it starts again after its end              | 10: 0.5 {}, 12: 0.6 -, 13: 0.7 {} | 13.0 | is     | none |
      | a later era lacks the object               | 10: 0.5 {}, 12: 1.3 -          | 16.9 | is     | none |
      | and nobody writes it again                 | 10: 0.5 {}, 12: 1.3 -          | 17.0 | is not | 17.0 |
      | it is written again in the later era       | 10: 0.5 {}, 12: 1.3 -, 14: 1.4 {} | 99.0 | is     | none |
      | and then deleted                           | 10: 0.5 {}, 12: 1.3 -, 14: 1.4 {}, 15: 1.5 - | 15.0 | is not | 15.0 |
      | the copy has the object, which is deleted  | 10: 0.5 {}, 12: 1.5 {}, 13: 1.6 - | 13.0 | is not | 13.0 |
      | a second era does not prolong the first    | 10: 0.5 {}, 12: 1.3 -, 15: 2.3 - | 17.0 | is not | 17.0 |

  Scenario: a deployment without evacuations
    Guards against an effect of an object that a peer of another build told.
    Given evacuations without a bound
    When these versions of the object of "north" are applied: 10: 0.5 {}
    Then at 10 s "north" is not evacuated

  Scenario: starts and ends are reported once
    Guards against log lines that repeat or lack the age.
    Given evacuations with a bound of 5 s
    When these versions of the object of "north" are applied: 10: 0.5 {}, 12: 0.6 {}, 14: 0.7 -
    Then the changes are a start at version 5 and an end at version 7 after 4 s

  Scenario: a catalog whose evacuations have yet to be read
    Guards against stage calls of a host that is not ready but owns a service.
    Given a catalog with a runner in "north" and one in "east"
    When its evacuations have yet to be read
    Then it offers no runner

  Scenario: a catalog with an evacuated domain
    Guards against a question to the catalog that passes the check by.
    Given a catalog with a runner in "north" and one in "east"
    When "north" is evacuated
    Then it offers the runner in "east" alone
    And the pause of the runner in "east" alone counts
    And the runner in "north" takes no chores and no releases
    And a release to an unknown runner is skipped
    And failed connections to "north" alone do not make the service lost

  Scenario: a catalog whose other runner is missing since an outage
    Guards against a confirmed runner that hides the only one left.
    Given a catalog with a runner in "north" and one in "east"
    When "north" is evacuated
    And the entry of the runner in "east" is missing after an outage
    Then it offers the runner in "east" alone

  Scenario: a catalog whose domains are all evacuated
    Guards against hand-overs and waits for runners that may not be used.
    Given a catalog with a runner in "north" and one in "east"
    When "north" is evacuated
    And "east" is evacuated
    Then the service is evacuated and not lost

  Scenario Outline: the settings template <with> the time for evacuations
    Guards against a function that the template can't enable, or always does.
    When the settings template is filled in <with> the time for evacuations
    Then the host watches evacuations: <watches>

    Examples:
      | with    | watches |
      | with    | yes     |
      | without | no      |

  Scenario Outline: the object "<name>" of the platform
    Guards against objects of other kinds that are taken for evacuations.
    When the platform's object "<name>" is read
    Then it evacuates "<domain>"

    Examples:
      | name                | domain |
      | evacuations/north   | north  |
      | evacuations/a/b     | a/b    |
      | config/main         |        |
      | servers/evacuations |        |
