Feature: Requests stay in the regions of their routes and workspaces
  Six whole hosts on one virtual clock, two in each of three failure domains.
  Domains north and east are in region inland, south is in region coast. Each
  domain has runners of the main service and of the stage service.

  Scenario Outline: <route> requests of a route at home in <region> reach only its runners
    Given hosts and runners in two regions, and routes at home in "<region>"
    When callers send 60 "<route>" requests to all hosts while runners fail
    Then they reached runners in "<region>" alone
    And at least 48 of them are answered 200

    Examples:
      | route  | region |
      | job    | coast  |
      | safe   | coast  |
      | safe   | inland |
      | stream | coast  |
      | staged | coast  |
      | staged | inland |

  Scenario: without homes requests reach runners of all regions
    Given hosts and runners in two regions
    When callers send 60 "staged" requests to all hosts while runners fail
    Then they reached runners of both regions

  Scenario Outline: a <route> request is refused before its stages if no home region has a <missing> runner
    Given hosts and runners in two regions, and routes at home in "coast"
    When all "<missing>" runners in "coast" leave
    And callers send 6 "<route>" requests to all hosts while runners fail
    Then all are refused at once with a time to come back and reached no runner

    Examples:
      | route  | missing |
      | job    | main    |
      | stream | main    |
      | staged | main    |
      | staged | prep    |

  Scenario: the homes of route and workspace both bind
    Given hosts and runners in two regions, and homes "inland" of routes and "coast" of workspaces
    When callers send 6 "staged" requests to all hosts while runners fail
    Then all are refused at once with a time to come back and reached no runner

  Scenario: the homes of a workspace bind on a route without homes
    Given hosts and runners in two regions, and workspaces at home in "coast"
    When callers send 60 "staged" requests to all hosts while runners fail
    Then they reached runners in "coast" alone

  Scenario: home runners that have yet to register again serve, whoever else has
    Given hosts and runners in two regions, and routes at home in "coast"
    When the store returns from an older copy and only other runners register again
    And callers send 12 "safe" requests to all hosts while runners fail
    Then they reached runners in "coast" alone
    And at least 12 of them are answered 200

  Scenario Outline: pieces that may go to <domains> keep that between hosts
    Then a request for pieces that may go to "<domains>" is read as it was written

    Examples:
      | domains    |
      | any        |
      | none       |
      | north,east |

  Scenario: a failure domain of an unknown region is in no home
    Given hosts and runners in two regions, and routes at home in "coast"
    When the hosts lose the regions of all domains but their own
    And callers send 12 "safe" requests to all hosts while runners fail
    Then they reached runners in "coast" alone
    And requests at hosts outside "coast" are refused

  Scenario Outline: hosts without runners hand <route> requests only to hosts at home
    Given hosts and runners in two regions, and routes at home in "coast"
    When host 0 loses all runners and callers send it 30 "<route>" requests
    Then it handed at least 5 requests over, all to hosts in "coast"

    Examples:
      | route  |
      | safe   |
      | stream |

  Scenario Outline: callers in <caller> of a route at home in <region> are given hosts in <given>
    Given hosts and runners in two regions, and routes at home in "<region>"
    When the hosts in "<gone>" leave
    Then the directory gives callers in "<caller>" the hosts in "<given>"

    Examples:
      | region | caller | gone   | given  |
      | coast  | inland | none   | inland |
      | coast  | coast  | none   | coast  |
      | inland | coast  | none   | coast  |
      | coast  | inland | inland | coast  |
      | coast  | abroad | none   | coast  |
      | coast  | abroad | coast  | inland |
      | coast  | coast  | coast  | inland |

  Scenario: without homes callers are given hosts of all regions
    Given hosts and runners in two regions
    Then the directory gives callers in "inland" the hosts in "all"
