Feature: The adapter translates the users' platform and decides nothing
  Everything is played on stand-ins; no kit is needed.

  Scenario Outline: settings with <mistake> are refused and name the key
    When platform settings hold "<line>"
    Then they are refused with "<text>"

    Examples:
      | mistake         | line                  | text       |
      | a host name     | store: store.local:80 | store      |
      | no slack        | retries: {ratio: 0.2} | slack      |
      | an unknown key  | colour: red           | colour     |
      | a negative time | grace_s: -1           | grace_s    |
      | no name         | name: ''              | name       |
      | a link of zero  | limits: {link_mbps: 0} | link_mbps |
      | a list of zones | regions: [north]       | regions   |

  Scenario: the template gives settings that are valid
    When the settings template is filled in with an example
    Then the settings name that host and its store

  Scenario Outline: a deploy file with <mistake> is refused and names the place
    When the deploy file has <mistake>
    Then they are refused with "<text>"

    Examples:
      | mistake            | text          |
      | no build           | build         |
      | a share of two     | roles.relay.share |
      | an unknown service | serves        |
      | no such template   | template      |
      | metrics elsewhere  | PORT/PATH     |
      | no directory       | no role serves directory |
      | text that is no TOML | node.yaml   |

  Scenario: the project's own deploy file is valid
    Then the deploy file in the repository has one role on every machine

  # Guards against hosts that choose by models nobody asked for, and against
  # contracts of another form that keep a host from starting.
  Scenario Outline: settings with <line> have the runner models <switch>
    When valid platform settings hold "<line>"
    Then the runner models are <switch>

    Examples:
      | line                           | switch |
      | contracts: [stages, pressure]  | on     |
      | contracts: [stages]            | off    |
      | contracts: null                | off    |
      | contracts: [{name: pressure}]  | off    |
      | runner_models: true            | on     |

  # Guards against an engine object of another form that hides the rest of the
  # configuration.
  Scenario Outline: an engine object <content> gives <engine>
    When a service of the configuration has the engine <content>
    Then its engine is read as <engine>

    Examples:
      | content                                | engine     |
      | {"kvCacheTokens": 260610, "slots": 32} | 260610, 32 |
      | {"kvCacheTokens": 260610.0}            | 260610     |
      | {"kvCacheTokens": 5, "slots": "many"}  | 5          |
      | {"kvCacheTokens": -1}                  | none       |
      | {"kvCacheTokens": true}                | none       |
      | {"slots": 32}                          | none       |
      | ["kvCacheTokens"]                      | none       |
      | null                                   | none       |

  Scenario: a configuration becomes routes, services and workspaces
    When the example configuration is read
    Then its staged route has two services, a target and three stages
    And its keys lead to their workspace and an unknown field is ignored

  Scenario: home regions of routes and tenants are read
    When a configuration names home regions
    Then the route and the workspace have these homes, and none without them

  Scenario Outline: a configuration with <mistake> leaves the last in force
    When a configuration with <mistake> follows a valid one
    Then the valid one stays in force and the problem is noted

    Examples:
      | mistake            |
      | bytes not readable |
      | an unknown kind    |
      | no services        |
      | a text for a time  |
      | a text for homes   |

  Scenario Outline: a runner's entry with <mistake> names no runner
    When a runner's entry has <mistake>
    Then it is refused as a configuration error

    Examples:
      | mistake           |
      | no address        |
      | an odd state      |
      | a text for slots  |
      | no slots          |
      | an odd address    |
      | a number for version |
      | no version        |
      | bytes not text    |

  Scenario: a request's headers become facts
    When a request names its id, time, key, event, prompt, pieces and first attempt
    Then the facts hold them in the project's units

  Scenario Outline: a request with <mistake> is bad input
    When a request has <mistake>
    Then it is refused as bad input

    Examples:
      | mistake             |
      | no id               |
      | two different ids   |
      | a time of minus one |
      | pieces of letters   |

  Scenario: what only the system sets does not come from a caller
    When a caller sends every header that the system sets
    Then a runner gets only the system's own values

  Scenario Outline: a runner's response with <what> is read as <meaning>
    When a runner's response has <what>
    Then it is read as <meaning>

    Examples:
      | what                   | meaning          |
      | its seal and the id    | own              |
      | no seal                | not own          |
      | another request's id   | not own          |
      | an encoded body        | not own          |
      | the mark for not run   | not run          |
      | status 421             | not run          |
      | its load               | load             |
      | its load and pace      | a pace of 1.5    |
      | a pace in words        | load, no pace    |
      | a pace of zero         | load, no pace    |
      | an absurd pace         | load, no pace    |
      | a load of 5,000 digits | no load          |
      | a limit of 5,000 digits | no limit         |
      | a load of five figures | no load          |
      | a limit of 1.5         | 1.5 a second     |
      | a limit in words       | no limit         |
      | a limit below zero     | no limit         |
      | the mark for leaving   | leaving          |
      | leaving in words       | staying          |
      | a pause of 1.5 s       | a pause          |
      | a pause below zero     | no pause         |
      | a pause until a date   | no pause         |
      | a pause but status 200 | no pause         |

  Scenario: an answer that names an id with an accent is known as its own
    When a runner answers a request whose id has an accent
    Then it is read as own

  Scenario: a refusal that names an id with an accent is believed
    When a runner refuses a request whose id has an accent
    Then it is read as not run

  Scenario: a stage reply is read in order, a wrong number is an error
    When a runner answers for three pieces
    Then each has its handle or reason, and two answers for three are refused

  Scenario: the store is listed page by page
    When the store lists runners on two pages
    Then all of them come back with the revision of the first page

  Scenario: a change between two pages of a list is not missed
    When a runner of the first page leaves before the second is read
    Then the watch behind the list brings that it leaves

  Scenario: a watch brings the last state of each object
    When a watch brings a change, a deletion and a return
    Then the changed and the returned object have their values
    And a deleted one has none and the store's revision

  Scenario Outline: the store is asked to <change> an object
    When the project wants to <change> an object and the store says <answer>
    Then it was asked by "<call>" and the call ends as <status>

    Examples:
      | change  | answer | call                              | status      |
      | create  | 200    | POST /api/objects/entry-hosts     | ok          |
      | create  | 409    | POST /api/objects/entry-hosts     | conflict    |
      | replace | 200    | PUT /api/objects/entry-hosts/h-1  | ok          |
      | remove  | 404    | DELETE /api/objects/entry-hosts/h-1 | not_found |
      | create  | 503    | POST /api/objects/entry-hosts     | unavailable |

  Scenario Outline: a store that answers <answer> ends the call as <status>
    When the store answers a watch with <answer>
    Then the call ends as <status>

    Examples:
      | answer          | status       |
      | 410             | gone         |
      | 429             | rate_limited |
      | 503             | unavailable  |
      | nothing         | unavailable  |
      | unreadable text | unavailable  |

  Scenario Outline: a host that starts and gets <signal> ends with <status>
    When a host that has not read its settings yet gets <signal>
    Then it ends with status <status>

    Examples:
      | signal  | status |
      | SIGTERM | 0      |
      | SIGHUP  | 2      |

  Scenario Outline: a host that has stopped and gets <signal> ends with 0
    Guards against a planned stop that a late signal turns into a failure.
    When a host that has stopped gets <signal> before its process is gone
    Then it ends with status 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |
      | SIGHUP  |

  Scenario: no name of the platform stands outside the adapter
    Then no library holds a header, path or field of the platform

  Scenario: no rule on what is repeated, refused or placed stands inside it
    Then the adapter uses no deciding function of the relay
