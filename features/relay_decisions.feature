Feature: The relay's decisions hold by themselves
  Pure objects, the present time an argument.

  Scenario Outline: a request finds the route with the longest prefix
    Given routes for "/a/" and "/a/b/" of host "one.example"
    Then host "<host>" and path "<path>" lead to "<route>"

    Examples:
      | host        | path    | route |
      | one.example | /a/x    | /a/   |
      | one.example | /a/b/x  | /a/b/ |
      | one.example | /a/bc/x | /a/   |
      | one.example | /c      | none  |
      | two.example | /a/x    | none  |

  Scenario: shares of a split route follow the weights
    Then of 4000 requests on a route split 90 to 10 about 400 go to the lesser

  Scenario: hosts together never exceed the retry budget
    Then for any load on any hosts the repeats stay within the bound

  Scenario: events are whole however their bytes arrive
    Then for any cut of a stream the same whole events come out

  Scenario: a stream's progress passes each event once and notices a gap
    Then events 1 2 2 3 pass as 1 2 3 and a step to 5 is an error

  Scenario: stages are made in order, each piece once
    Then for any stage graph every piece gets exactly the results it needs

  Scenario: a runner that starts again is a new one
    Given a fleet with runner "a" born at 1
    When its entry comes again born at 2
    Then nothing of the first is kept

  # Guards against streams that go on at another software version, since a late
  # write of a process that has ended shows its version.
  Scenario Outline: an entry of start <late> that comes <after> s after one of start 5, which had replaced start 3, <counts>
    Given a fleet with runner "a" born at 3
    When its entry comes born at 5, then after <after> s born at <late>
    Then the runner that is known was born at <known>

    Examples:
      | late | after | known | counts                 |
      | 3    | 0.5   | 5     | does not count at once |
      | 3    | 30    | 5     | does not count at once |
      | 3    | 200   | 5     | does not count at once |
      | 4    | 0.5   | 5     | does not count at once |
      | 4    | 5     | 5     | does not count at once |
      | 6    | 0.5   | 6     | counts                 |
      | 5    | 9     | 5     | counts                 |

  # Guards against runners whose clocks were set back and that are never used
  # again, as their entries are written once, and against late writes that
  # count before the runner has written its own entry again.
  Scenario Outline: an entry of start <late> that comes once, <after> s after one of start 5, <counts> after <s> s
    Given a fleet with runner "a" born at 3
    When its entry comes born at 5, then after <after> s born at <late>
    And <s> s pass
    Then the runner that is known was born at <known>

    Examples:
      | late | after | s   | known | counts         |
      | 4    | 0.5   | 4.9 | 5     | does not count |
      | 4    | 0.5   | 5   | 4     | counts         |
      | 4    | 30    | 4.9 | 5     | does not count |
      | 4    | 30    | 5   | 4     | counts         |
      | 3    | 30    | 4.9 | 5     | does not count |
      | 3    | 30    | 5   | 3     | counts         |
      | 3    | 200   | 4.9 | 5     | does not count |
      | 3    | 200   | 5   | 3     | counts         |

  # Guards against addresses that are kept for ever, and against starts that
  # are forgotten while results of them live.
  Scenario Outline: the start of a runner whose entry is gone is <kept> after <s> s
    Given a fleet with runner "a" born at 3
    When its entry is removed
    And <s> s pass
    Then the start at its address is <start>

    Examples:
      | s   | start | kept      |
      | 60  | 3     | known     |
      | 120 | 0     | forgotten |

  Scenario: an entry of an earlier start that is replaced does not count later
    Given a fleet with runner "a" born at 3
    When its entry comes born at 5, then after 0.5 s born at 4
    And its entry comes again born at 5
    And 10 s pass
    Then the runner that is known was born at 5

  Scenario: an entry that vanishes right after an outage is doubted first
    Given a fleet with runner "a" born at 1
    When the store is back and the entry of "a" is gone
    Then "a" is used only if nobody else is, and forgotten after 2 s

  Scenario: an entry that can't be read names no runner to use
    Given a fleet with runner "a" born at 1
    When the entry of "a" becomes unreadable
    Then no runner is usable

  Scenario: a session's calls go to one runner from every host
    Then hosts that know nothing of each other choose the same engine

  Scenario: what can't be done by its deadline is refused with a time
    Then a forecast of 6 s with 5 s left is refused and one of 3 s admitted
    And what can meet its target is admitted however long others wait

  Scenario: stages of a long prompt go before those of a short one
    Given two groups with one target, of a prompt of 9000 and of 300 tokens
    Then the long prompt's pieces are in the first call

  Scenario: callers that are refused don't return together
    Then 50 refusals give at least 40 different times to come back
