Feature: A sound runner may fall silent for a second and go on
  In virtual time. Silence is no reason to end an answer: another runner may
  take over, but until it does the first one is waited for.

  # Guards against streams cut though no other runner can go on with them.
  Scenario Outline: a stream silent for <silence> s behind event 2 is whole though <hindrance>
    Given 2 stream runners of 6 events, silent for <silence> s behind event 2
    And <hindrance>
    When a resumable request is sent, and 6 s pass
    Then the caller gets events 1 to 6 once each and a whole answer
    And no runner counts a call as open

    Examples:
      | silence | hindrance                                  |
      | 0.9     | nothing hinders a second send              |
      | 1.2     | nothing hinders a second send              |
      | 0.9     | the budget of repeats is spent             |
      | 1.2     | the budget of repeats is spent             |
      | 1.2     | the other runner is silent                 |
      | 1.7     | nothing hinders a second send              |
      | 1.7     | the budget of repeats is spent             |
      | 1.7     | the other runner turns all away            |
      | 1.7     | the other runner answers with errors       |
      | 1.7     | the other runner breaks off at once        |
      | 1.7     | the other runner takes no connection       |
      | 1.7     | the other runner is silent                 |
      | 1.7     | the other runner leaves                    |
      | 1.7     | the other runner asks for a pause          |
      | 1.7     | the other runner is of another version     |
      | 1.7     | the other runner's domain is evacuated     |
      | 1.7     | the first runner breaks off before that    |
      | 1.7     | the other runner answers 301               |
      | 1.7     | the other runner answers 404               |
      | 1.7     | the other runner answers 410               |
      | 1.7     | the other runner ends without an event     |
      | 1.7     | the other runner sends a comment and ends  |
      | 1.7     | a second request can't be built            |
      | 3.4     | the first runner refuses new connections   |

  # Guards against a first answer given up while no other comes of it.
  Scenario Outline: a <kind> request whose runner begins after <silence> s is served though <hindrance>
    Given 2 runners of a <kind> request that begin after <silence> s
    And <hindrance>
    When a <kind> request is sent, and 6 s pass
    Then the caller gets a whole answer

    Examples:
      | kind       | silence | hindrance                            |
      | resumable  | 1.7     | nothing hinders a second send        |
      | resumable  | 1.7     | the budget of repeats is spent       |
      | resumable  | 1.7     | the other runner turns all away      |
      | resumable  | 1.7     | the other runner answers with errors |
      | resumable  | 1.7     | the other runner breaks off at once  |
      | resumable  | 1.7     | the other runner takes no connection |
      | resumable  | 1.7     | the other runner is silent           |
      | resumable  | 1.7     | the other runner leaves              |
      | repeatable | 2.2     | nothing hinders a second send        |
      | repeatable | 2.2     | the budget of repeats is spent       |
      | repeatable | 2.2     | the other runner turns all away      |
      | repeatable | 2.2     | the other runner answers with errors |
      | repeatable | 2.2     | the other runner breaks off at once  |
      | repeatable | 2.2     | the other runner takes no connection |
      | repeatable | 2.2     | the other runner is silent           |
      | repeatable | 2.2     | the other runner leaves              |

  Scenario: a runner that stays silent hands its stream to another one
    Given 2 stream runners of 6 events, silent for 9 s behind event 2
    And nothing hinders a second send
    When a resumable request is sent, and 2 s pass
    Then the caller gets events 1 to 6 once each and a whole answer
    And 2 runners got it, the first of which has lost its connection

  # Guards against two runners at work on one stream.
  Scenario: a runner that goes on keeps its stream, and the other one stops
    Given 2 stream runners of 6 events, silent for 1.7 s behind event 2
    And the other runner is silent
    When a resumable request is sent, and 6 s pass
    Then the caller gets events 1 to 6 once each and a whole answer
    And the other runner's connection has closed within 0.1 s of event 3

  Scenario: a runner loses its stream soon after another one has taken it
    Given 2 stream runners of 6 events, silent for 9 s behind event 2
    And the other runner is silent
    When a resumable request is sent, and 3 s pass
    Then both runners worked on it for at most 0.4 s

  # Guards against runners that count as busy for ever.
  Scenario: a send that can't be opened leaves nothing behind
    Given 2 runners that all do "ok"
    And a request can't be built
    When a once request is sent
    Then the caller gets 502 after 0 runs
    And no runner counts a call as open

  Scenario: a caller who leaves ends both sends of its stream
    Given 2 stream runners of 6 events, silent for 9 s behind event 2
    And the other runner is silent
    When a resumable request is sent, and 2 s pass
    And the caller leaves after 0.3 s
    Then no runner has an open connection 0.5 s later

  # Guards against requests refused though their pieces were about to be made.
  Scenario Outline: pieces of a runner that is silent for <silence> s are used though <hindrance>
    Given a route with stages 0, 1 after 0, and 2, of 2, 3 and 1 pieces
    And the first stage's runners are silent for <silence> s once
    And <hindrance>
    When a staged request is sent
    Then the caller gets 200 after 1 runs

    Examples:
      | silence | hindrance                          |
      | 0.7     | nothing hinders a second send      |
      | 0.7     | the budget of repeats is spent     |
      | 1.2     | the budget of repeats is spent     |
      | 1.2     | the other stage runner leaves      |

  # Guards against the same on nodes, which ended such requests as failed.
  Scenario Outline: a node's <part> of an answer after <silence> s of silence completes it though <hindrance>
    Given a node with <runners> generators
    When a request's generator is silent for <silence> s before its <part>, and <hindrance>
    Then the request completes with all of its chunks

    Examples:
      | part        | silence | runners | hindrance                |
      | first chunk | 1.2     | 2       | nothing hinders a retry  |
      | first chunk | 1.2     | 2       | the budget is spent      |
      | next chunk  | 1.2     | 2       | the budget is spent      |
      | next chunk  | 1.8     | 2       | nothing hinders a retry  |
      | next chunk  | 1.8     | 2       | the budget is spent      |
      | next chunk  | 1.8     | 1       | nothing hinders a retry  |
      | next chunk  | 1.8     | 1       | the budget is spent      |
      | next chunk  | 1.8     | 2       | the other runners drain  |
      | next chunk  | 1.8     | 2       | the attempts are used up |
