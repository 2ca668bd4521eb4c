Feature: The policy meets targets under load and faults
  In virtual time with the real decision objects and fixed seeds. Bounds
  are the targets, not what was measured.

  Scenario Outline: attainment under <scenario> stays at the target
    When the policy bench runs "<scenario>" with seed <seed>
    Then at least 0.95 of all requests are attained

    Examples:
      | scenario       | seed |
      | steady         | 1    |
      | slow-runner    | 1    |
      | failing-runner | 1    |
      | domain-lost    | 2    |
      | report-lag     | 1    |

  Scenario: a large workspace does not crowd out small ones
    When the policy bench runs "heavy-tenant" with seed 1
    Then each small workspace attains at least 0.95

  Scenario: a service at full failure gets no retry storm
    When the policy bench runs "retry-storm" with seed 1
    Then dispatches stay within the stages plus a fifth
