Feature: Promises of relayed requests under every fault, alone and mixed

  Scenario: every fault of a runner for every kind of request
    When each fault meets each kind of request, on the first or every runner
    Then no promise is broken and at least 60 cases were played

  Scenario Outline: many requests, all faults at once, seed <seed>
    When 150 requests of all kinds meet runners that fail at random, seed <seed>
    Then no promise is broken and every request has ended

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: the promises notice <fault>
    When each fault meets each kind of request, on the first or every runner, with <fault>
    Then a promise is broken

    Examples:
      | fault                                |
      | calls that run once sent again       |
      | refusals of calls that ran           |
      | broken streams ended as whole        |
      | streams resumed from their beginning |
      | calls that go on without their caller |
      | requests to runners that leave       |
      | requests to runners in a pause       |
      | requests to brittle runners without room |

  Scenario Outline: any <input> is read or refused with a typed error
    Then any <input> is read or refused with a typed error

    Examples:
      | input         |
      | configuration |
      | runner entry  |
      | request       |
      | stage reply   |
      | store answer  |
