Feature: The promises hold under every fault at every step
  Each scenario strikes one fault at all steps of a request, in virtual
  time, and checks every invariant over the whole trace.

  Scenario Outline: <fault> strikes at each step
    When "<fault>" strikes at each step of a request
    Then no invariant is violated but where KNOWN-RED.txt says so

    Examples: runners
      | fault             |
      | runner-slow       |
      | runner-fails      |
      | runner-refuses    |
      | runner-hangs      |
      | runner-dies       |
      | runner-leaves     |
      | runner-breaks-off |
      | silent-connection |
      | crossed-reply     |
      | repeated-chunk    |
      | lost-chunk        |
      | reordered-chunk   |
      | truncated-answer  |
      | late-reply        |

    Examples: nodes
      | fault                |
      | node-dies            |
      | node-paused          |
      | node-drains          |
      | peer-dies            |
      | peers-paused         |
      | all-restart          |
      | hosts-and-store-down |
      | clock-ahead          |
      | clock-behind         |
      | orders-delayed       |

    Examples: links between nodes
      | fault             |
      | link-cut-one-way  |
      | node-isolated     |
      | split             |
      | silent-peer-links |
      | peer-loss         |

    Examples: the platform
      | fault             |
      | store-down        |
      | store-slow        |
      | store-answer-lost |
      | store-conflict    |
      | stale-watch       |
      | stale-list        |
      | store-restored    |

  Scenario: every fault of the registry is in the tables above
    Then the tables name every fault

  Scenario: pairs of faults, and cases that once failed
    When sampled pairs of faults strike at sampled steps
    Then no invariant is violated but where KNOWN-RED.txt says so

  Scenario: the store's return from an older copy beside every other fault
    When the store is restored while each other fault strikes
    Then no invariant is violated but where KNOWN-RED.txt says so

  Scenario Outline: a broken variant is caught by <invariant>
    When the system is broken on purpose for "<invariant>"
    Then that invariant reports a violation

    Examples:
      | invariant               |
      | whole-answer            |
      | one-end                 |
      | at-most-once            |
      | one-dispatch-of-a-claim |
      | not-run                 |
      | failed-is-clean         |
      | leaving-runner          |
      | versions-never-fall     |
      | drain-cuts-nothing      |
      | in-force-everywhere     |
      | fenced-orders           |

  Scenario: every invariant has a broken variant
    Then no invariant is without one
