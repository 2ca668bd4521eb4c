Feature: A whole request gets an answer or a refusal whatever raises

  Scenario Outline: a request is refused though the host's <part> raises
    Given a host whose "<part>" raises as a request comes
    When the host gets a "job" request
    Then it is answered 503 with a time to come back
    And no runner has got it, and the host has no request open
    And the host has counted an error of its "request"

    Examples:
      | part                   |
      | configuration          |
      | request reader         |
      | route                  |
      | parts of the prompt    |
      | handler                |
      | clock                  |
      | sharing of prompts     |

  Scenario Outline: a host declines a request though its <part> raises
    Given a host whose "<part>" raises as a request comes
    When another host hands it a request
    Then it declines the request
    And no runner has got it, and the host has no request open
    And the host has counted an error of its "hop"

    Examples:
      | part                   |
      | member list            |
      | request reader         |
      | handler                |
      | sharing of prompts     |

  Scenario Outline: a request for the host's <part> is answered though it raises
    Given a host whose "<part>" raises as a request comes
    When somebody asks over a connection for the host's "<part>"
    Then it is answered 503 on the connection with a time to come back
    And the host has counted an error of its "<part>"

    Examples:
      | part      |
      | ready     |
      | directory |
      | metrics   |

  Scenario Outline: a request whose <cause> gets <status> though the <part> raises
    Given a host whose "<part>" raises as a request comes
    When the host gets a "<route>" request whose <cause>
    Then it is answered <status> with the promise of that status
    And the host has no request open

    Examples:
      | route  | cause                 | part             | status |
      | job    | runners are gone      | failure handling | 503    |
      | job    | runners are gone      | refusal          | 503    |
      | job    | runners are gone      | error answer     | 503    |
      | job    | runners are gone      | request log      | 503    |
      | job    | runners turn it away  | refusal          | 502    |
      | job    | runners reset         | failure          | 502    |
      | safe   | runners reset         | failure          | 502    |
      | stream | runners reset         | failure          | 502    |
      | job    | runners reset         | error answer     | 502    |
      | job    | runners reset         | request log      | 502    |
      | job    | runners are silent    | cancellation     | 502    |
      | job    | runner answers        | delivery         | 502    |
      | job    | runner answers        | conclusion       | 502    |
      | job    | runner answers        | release          | 200    |
      | job    | runner answers        | steps, cancelled | 503    |

  Scenario: an answer that has begun is broken off though the failure raises
    Given a host whose "failure" raises as a request comes
    When the host gets a "stream" request whose runners break off
    Then its answer is broken off and the host has no request open

  Scenario: a request handed over is declined though the refusal raises
    Given a host whose "refusal" raises as a request comes
    When all runners are gone and another host hands it a request
    Then it declines the request
    And the host has no request open
