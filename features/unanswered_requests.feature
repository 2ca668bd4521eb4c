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

  Scenario Outline: a runner's answer with <what> becomes a 502, not a reset
    Given a host with callers on connections
    When a caller asks over a connection and the runner answers with <what>
    Then it is answered 502 on the connection, which stays open

    Examples:
      | what                               |
      | a status of 101                    |
      | a status of 1000                   |
      | a body to a 204                    |
      | a body to a 304                    |
      | a line break in a header           |
      | a null in a header                 |
      | a header without a name            |
      | a space in the name of a header    |

  Scenario Outline: a stream whose runner begins with <what> becomes a 502
    Given a host with callers on connections
    When a caller asks for a stream and the runner begins with <what>
    Then it is answered 502 on the connection, which stays open

    Examples:
      | what                               |
      | a line break in a header           |
      | a null in a header                 |

  Scenario Outline: a HEAD request that gets <status> has an end without a body
    Given a host with callers on connections
    When the host gets a HEAD request <case>
    Then it is answered <status> without a body on the connection, which stays open

    Examples:
      | case                                | status |
      | while all runners are gone          | 503    |
      | for a path without a route          | 404    |
      | and the runner answers with a body  | 200    |
      | and the runners fail                | 502    |

  Scenario: a CONNECT request, which would end HTTP, is refused
    Given a host with callers on connections
    When the host gets a CONNECT request
    Then it is answered 400 on the connection, which closes

  Scenario Outline: a host declines for a reason with <what>
    When a host declines for a reason with <what>
    Then its decline can be sent and tells the reason as far as a header can

    Examples:
      | what               |
      | a line break       |
      | a null             |
      | another script     |
      | a lone surrogate   |
      | 100,000 characters |
      | nothing in it      |

  Scenario Outline: a request is answered <status> though the <part> raises while it is read
    Given a host with callers on connections
    When the "<part>" of the connection raises while a request is read
    Then it is answered <status> on the connection, which closes
    And the host has counted an error of its "http"

    Examples:
      | part             | status |
      | parser           | 500    |
      | headers          | 500    |
      | body             | 500    |
      | end              | 500    |
      | handler          | 500    |
      | count of invalid | 400    |
      | count of late    | 408    |

  Scenario: a connection whose refusal can't be written is reset
    Given a host with callers on connections
    When the "refusal" of the connection raises while a request is read
    Then the connection is reset
    And the host has counted an error of its "http"

  Scenario Outline: a kept connection follows a configuration that allows <what>
    Given a connection of a caller that has had an answer
    When its site allows headers of <size> bytes and it sends <sent> bytes of them <how>
    Then the request gets <status>

    Examples:
      | what | size | sent | how           | status |
      | more | 9000 | 5000 | alone         | 200    |
      | less | 500  | 900  | alone         | 431    |
      | more | 9000 | 5000 | pipelined     | 200    |
      | less | 500  | 900  | pipelined     | 431    |

  Scenario Outline: a request that has begun is read under the limits of its start
    Given a connection of a caller that has had an answer
    When its site allows <what> while a request is read
    Then the request gets 200

    Examples:
      | what                  |
      | smaller headers       |
      | smaller bodies        |

  # Guards against an accepted request cut as its caller sent the next one.
  Scenario Outline: a request is answered though <count> more of <size> bytes come behind it
    Given a connection of a caller that has had an answer
    When it sends a request and <count> more of <size> bytes behind it
    Then each of them is answered in turn, and at most <held> bytes waited

    Examples:
      | count | size   | held   |
      | 1     | 900    | 70000  |
      | 1     | 110000 | 140000 |
      | 4     | 110000 | 140000 |

  Scenario Outline: a call ends though its reader raises at the <part> of an answer
    Given a call whose reader raises at the "<part>" of an answer
    When the runner answers it whole
    Then the reader hears once that the call has failed
    And the error is reported and the connection is closed

    Examples:
      | part |
      | head |
      | data |
      | end  |

  Scenario Outline: a request that <what> fails at once
    Given a call of a request that <what>
    Then the reader hears once that the call has failed
    And the error is reported and the connection is closed

    Examples:
      | what                        |
      | has a null in a header      |
      | has a line break in a header |
      | has a space in its target   |

  Scenario Outline: a <route> request is <end> at once though its <part> raises
    Given a host whose "<part>" raises as a request comes
    When the host gets a "<route>" request and its runner answers with <kind> on a connection
    Then it is <end> long before its deadline
    And the host has no request open

    Examples:
      | route  | kind   | part            | end          |
      | job    | a body | reply reader    | answered 502 |
      | stream | events | reply reader    | answered 502 |
      | stream | events | first event     | answered 502 |
      | stream | events | end of a stream | cut          |
      | job    | a body | judge of calls  | answered 502 |
      | stream | a body | judge of calls  | answered 502 |

  Scenario Outline: a node answers with a problem document though its <part> raises
    Given a node whose "<part>" raises
    When the node is asked to <what> over a connection
    Then it answers 500 with a problem document that is no promise
    And the node has counted the error and waits for no answer

    Examples:
      | part               | what                |
      | admission          | serve a request     |
      | effects            | serve a request     |
      | detaching          | serve a request     |
      | taking up          | take up an answer   |
      | explanation        | explain a request   |
      | addresses          | list its addresses  |
      | status             | tell its status     |
      | directory          | tell its status     |

  Scenario: a node breaks an answer off that has begun if the rest raises
    Given a node whose "effects" raise after the first event
    When the node is asked to serve a request over a connection
    Then the connection is closed without the end of the answer
    And the node has counted the error and waits for no answer

  Scenario Outline: a request is answered though the log <problem>
    Given a host whose log <problem>
    When the host gets a "job" request whose <cause>
    Then it is answered <status> with the promise of that status
    And the host has no request open

    Examples:
      | problem                       | cause            | status |
      | has lost its reader           | runner answers   | 200    |
      | has lost its reader           | runners are gone | 503    |
      | is a full device              | runner answers   | 200    |
      | is a full device              | runners are gone | 503    |

  Scenario: a request is answered though the whole log raises
    Given a host whose "whole log" raises as a request comes
    When the host gets a "job" request whose runners are gone
    Then it is answered 503 with the promise of that status
    And the host has no request open

  Scenario: events before a damaged one reach the caller before another runner goes on
    Given a host with callers on connections
    When a runner sends events 1, 2 and 4 of a stream at once, and the next one the rest to 5
    Then the caller gets events 1 to 5, each once
