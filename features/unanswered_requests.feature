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
