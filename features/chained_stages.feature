Feature: Stages in a row end in time under load
  Three stage services work one after the other, and their calls are shared by
  many requests. A burst asks for more than they can make.

  # Guards against forecasts that take a call to be as short as a request's own
  # pieces would make it: in each stage requests were late by a little more.
  Scenario Outline: a burst of <per_s> requests a second on three stages, luck <seed>
    When <per_s> requests a second ask for three stages in a row, luck <seed>
    Then at least <share> of those in the burst begin their main call in time
    And that is at least as many as with the time of their own pieces

    Examples:
      | per_s | share | seed |
      | 100   | 0.4   | 1    |

  Scenario: an idle service makes a request's own pieces alone
    # Guards against forecasts that are too long while nothing waits.
    When an owner whose runners are idle tells its queueing times
    Then a call takes no longer than its pieces
