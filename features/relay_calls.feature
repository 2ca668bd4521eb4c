Feature: A relayed request keeps its promises whatever its runners do
  In virtual time: real calls and stage services, scripted runners.

  Scenario Outline: a <kind> call whose runner does "<script>"
    Given 2 runners, of which the first chosen does "<script>"
    When a <kind> request is sent
    Then the caller gets <status> after <runs> runs

    Examples:
      | kind       | script | status | runs |
      | once       | ok     | 200    | 1    |
      | once       | error  | 500    | 1    |
      | once       | reset  | 502    | 1    |
      | once       | foreign | 502   | 1    |
      | once       | full   | 200    | 1    |
      | once       | refused | 200   | 1    |
      | once       | silent | 504    | 1    |
      | repeatable | error  | 200    | 2    |
      | repeatable | reset  | 200    | 2    |
      | repeatable | foreign | 200   | 2    |
      | repeatable | silent | 200    | 2    |

  Scenario: a call that no runner took is refused, with a time to come back
    Given 2 runners that all do "full"
    When a once request is sent
    Then the caller gets 503 after 0 runs
    And it is told when to come back

  Scenario: a repeatable call runs on no more runners than its route allows
    Given 4 runners that all do "reset"
    When a repeatable request is sent
    Then the caller gets 502 after 2 runs

  Scenario: every request to a runner carries what is left of its time
    Given 2 runners, of which the first chosen does "reset"
    When a repeatable request is sent
    Then each send is told at most the time that was left

  Scenario: a stream that breaks goes on behind its last event
    Given 2 stream runners of 6 events, the first chosen does "cut:3"
    When a resumable request is sent
    Then the caller gets events 1 to 6 once each and a whole answer

  Scenario: a stream that may not be resumed ends as broken
    Given 2 stream runners of 6 events, the first chosen does "cut:3"
    When a stream request is sent
    Then the caller gets events 1 to 3 and no whole answer

  Scenario: a runner works no longer for a caller who left
    Given 2 stream runners of 6 events, the first chosen does "silent"
    When a stream request is sent
    And the caller leaves after 0.3 s
    Then its runner's connection closes within 0.5 s and nothing more is sent

  Scenario Outline: a <kind> stream that sends a byte now and then ends with its time
    Given 2 stream runners of 6 events, the first chosen does "drip:<gap>"
    When a <kind> request is sent, and 6 s pass
    Then it has ended within 4 s and holds nothing of the first runner
    And the first runner's connection has closed by then

    Examples:
      | kind      | gap |
      | stream    | 0.2 |
      | stream    | 0.9 |
      | resumable | 0.2 |

  Scenario Outline: a slow but sound <kind> stream is not cut
    Given 2 stream runners of 6 events, <gap> s apart
    When a <kind> request is sent, and 6 s pass
    Then the caller gets events 1 to 6 once each and a whole answer

    Examples:
      | kind      | gap |
      | stream    | 0.6 |
      | resumable | 0.6 |

  Scenario: a request waits no longer than its route allows
    Given 1 runners that all do "silent"
    When a once request is sent on a route with a timeout of 1 s
    Then it has its final answer after 1 s

  Scenario: stages are made before the main call, which gets their results
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    When a staged request is sent
    Then each piece was made once and the main call got 4 results
    And all results are freed once they were read

  Scenario: no stage begins that ends after its caller has left
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And its callers leave after 0.15 s without an event
    When a staged request is sent
    Then the caller gets 503 after 0 runs
    And it is told when to come back
    And no piece was made

  Scenario: results that are gone are made again
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the main runner says once that its inputs are gone
    When a staged request is sent
    Then the caller gets 200 and the main call was sent twice

  Scenario Outline: results that vanish between stages <times> times
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the inputs of stage 1 are gone <times> times
    When a staged request is sent
    Then the caller gets <status> after <runs> runs
    And all results are freed once they were read

    Examples:
      | times | status | runs |
      | 1     | 200    | 1    |
      | 2     | 503    | 0    |

  Scenario: pieces with the wrong count are bad input
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    When a staged request with 2 counts is sent
    Then the caller gets 400 after 0 runs

  Scenario Outline: the owner of a stage service <fault>
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the owner of the stage services <fault>
    When a staged request is sent from another host
    Then the caller gets 200 after 1 runs
    And all results are freed once they were read

    Examples:
      | fault                     |
      | is another host           |
      | is dead                   |
      | answers late              |
      | loses its first answer    |
      | is dead and has a second  |

  Scenario: results are freed though the owner that made them is silent
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the owner of the stage services dies once the main call runs
    When a staged request is sent from another host
    Then the caller gets 200 after 1 runs
    And all results are freed once they were read

  Scenario: stage calls, releases and checks keep the limits of runners
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    When staged requests are sent 5 times a second to runners that name a limit of 1 a second
    Then each stage runner gets at most one and a half times that and 5 requests in any 4 s
    And it gets more than half of what it allows

  Scenario Outline: a stage runner that says in <answer> that it leaves gets no more work
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    When staged requests are sent 5 times a second for 4 s
    And a stage runner says in <answer> that it leaves
    And staged requests are sent 5 times a second for 4 s
    Then that runner has got no work, release or check since 0.5 s after such an answer
    And all of these requests were answered

    Examples:
      | answer       |
      | any answer   |
      | stage calls  |
      | releases     |
      | reports      |

  Scenario Outline: a <kind> runner that says in its answers that it leaves is called no more
    Given 3 runners, of which the first chosen does "<script>"
    And its runners say in answers that they leave, but one
    When a <kind> request is sent
    And 20 more <kind> requests are sent
    Then the runner that stays gets the last 17 of them

    Examples:
      | kind       | script   |
      | once       | ok       |
      | once       | error    |
      | once       | full     |
      | stream     | events:3 |

  Scenario: a runner that asks for a pause gets nothing until it is over
    Given 2 runners, of which the first chosen does "pause:2"
    When a once request is sent and answered
    And 40 more once requests are sent at once
    And 20 more once requests are sent in 1.7 s
    Then every request got 200 and the first runner got 1 of them
    When 20 more once requests are sent in 0.3 s
    And 40 more once requests are sent at once
    Then the first runner got more than 1 of them

  Scenario: callers are told the time when all runners asked for a pause
    Given 3 runners that all do "pause:3"
    When a once request is sent and answered
    Then the caller gets 503 after 0 runs
    And it is told to come back after 2.8 s at the earliest
    When a once request is sent and answered
    Then the caller gets 503 after 0 runs
    And it is told to come back after 2.8 s at the earliest
    And each runner got one request

  Scenario: an absurd pause ends
    Given 1 runners that all do "pause:900000000"
    When a once request is sent and answered
    And 61 s pass and a once request is sent and answered
    Then the runner got 2 requests

  Scenario: no stage begins while all runners of the main call are paused
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the main runners ask for a pause of 20 s
    When a staged request is sent
    Then the caller gets 503 after 0 runs
    And the pieces were made at most once
    When a staged request is sent soon
    Then the caller gets 503 after 0 runs
    And it is told to come back after 10 s at the earliest
    And the pieces were made at most once

  Scenario: stage calls, releases and checks keep the pauses of runners
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    When staged requests are sent 5 times a second for 1 s
    And the stage runners ask for a pause of 3.5 s
    And staged requests are sent 5 times a second for 6 s
    Then no stage runner got more than 2 requests while it was paused
    And callers were refused within 0.5 s, with a time to come back

  Scenario: a question that crosses the answer makes nothing twice
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the owner of the stage services is asked again all the time
    When a staged request is sent from another host
    Then the caller gets 200 after 1 runs
    And each piece was made once

  Scenario Outline: gathering keeps <pattern> load in time
    When stage load "<pattern>" is played
    Then at least <share> are made within the target and none lack room
    And that is at least as many as with each host for itself

    Examples:
      | pattern       | share |
      | calm          | 0.95  |
      | burst         | 0.75  |
      | long-overload | 0.45  |

  Scenario: what can be timely goes first under overload
    When stage loads "burst" and "long-overload" are played with 8 seeds
    Then by due time alone no seed serves more in time
    And by due time alone fewer are served in time, and no more at all
