Feature: What each answer promises of whether a request has run
  One scenario for each row of docs/interfaces/answers.md, on whole hosts in
  virtual time, from the caller's view. 429, 503, 408 and 421 promise that a
  request has not run and never will.

  Scenario Outline: a <route> request whose <cause> is answered <status>
    Given two hosts, two runners and a caller
    When it sends a "<route>" request whose <cause>
    Then it is answered <status>, and the request has run <ran> times

    Examples: the runner says so
      | route  | cause                           | status | ran |
      | job    | runner answers                  | 200    | 1   |
      | safe   | runner answers                  | 200    | 1   |
      | stream | runner answers                  | 200    | 1   |
      | job    | runners answer 404              | 404    | 1   |
      | safe   | runners answer 404              | 404    | 1   |
      | stream | runners answer 404              | 404    | 1   |
      | job    | runners fail                    | 500    | 1   |
      | safe   | runners fail                    | 500    | 2   |
      | stream | runners fail                    | 500    | 2   |
      | job    | runners answer 504              | 504    | 1   |

    Examples: the host says that it may have run
      | route  | cause                           | status | ran |
      | job    | runners reset the connection    | 502    | 1   |
      | safe   | runners reset the connection    | 502    | 2   |
      | stream | runners reset the connection    | 502    | 2   |
      | job    | runners answer for another      | 502    | 1   |
      | safe   | runners answer for another      | 502    | 2   |
      | stream | runners answer for another      | 502    | 2   |
      | job    | runners repeat a refusal        | 502    | 1   |
      | safe   | runners repeat a refusal        | 502    | 2   |
      | stream | runners repeat a refusal        | 502    | 2   |
      | job    | runners repeat a 421            | 502    | 1   |
      | job    | runners are silent              | 504    | 1   |
      | safe   | runners are silent              | 504    | 2   |
      | job    | runners answer 503              | 502    | 1   |
      | safe   | runners answer 503              | 502    | 2   |
      | stream | runners answer 503              | 502    | 2   |
      | job    | runners answer 429              | 502    | 1   |
      | safe   | runners answer 429              | 502    | 2   |
      | stream | runners answer 429              | 502    | 2   |
      | job    | runners answer 408              | 502    | 1   |

    Examples: the host says that it has not run and never will
      | route  | cause                           | status | ran |
      | job    | runners turn it away            | 503    | 0   |
      | safe   | runners turn it away            | 503    | 0   |
      | stream | runners turn it away            | 503    | 0   |
      | job    | runners are others              | 503    | 0   |
      | job    | runners take no connection      | 503    | 0   |
      | safe   | runners take no connection      | 503    | 0   |
      | stream | runners take no connection      | 503    | 0   |
      | job    | runners are gone                | 503    | 0   |
      | stream | runners are gone                | 503    | 0   |
      | job    | host has just started           | 503    | 0   |
      | job    | key is unknown                  | 401    | 0   |
      | job    | path has no route               | 404    | 0   |

    Examples: another host serves it
      | route  | cause                                       | status | ran |
      | job    | host is cut off                             | 200    | 1   |
      | safe   | host is cut off                             | 200    | 1   |
      | stream | host is cut off                             | 200    | 1   |
      | job    | host is cut off and runners fail            | 500    | 1   |
      | job    | host is cut off and runners turn it away    | 503    | 0   |
      | stream | host is cut off and runners turn it away    | 503    | 0   |
      | job    | host is cut off and runners answer 503      | 502    | 1   |
      | stream | host is cut off and runners answer 503      | 502    | 2   |
      | job    | host is cut off and runners say declined    | 200    | 1   |
      | stream | host is cut off and runners say declined    | 200    | 1   |
      | job    | host is cut off and the other is killed     | 502    | 1   |
      | safe   | host is cut off and the other is killed     | 502    | 1   |
      | job    | host is cut off and the other is frozen     | 504    | 1   |

  Scenario: a stream that breaks off after its first events may have run
    Given two hosts, two runners and a caller
    When it sends a "stream" request whose runners break off
    Then its answer is broken off, and the request has run 2 times

  Scenario Outline: a <route> request whose caller leaves while its runner is connected to runs no more
    Given two hosts, two runners and a caller
    When its caller leaves while a "<route>" request waits for a connection
    Then no runner gets it

    Examples:
      | route  |
      | job    |
      | safe   |
      | stream |

  Scenario Outline: a request that is not read whole is answered <status> and not handed on
    When a caller sends <what>
    Then it is answered <status> and the connection closes
    And no request is handed on

    Examples:
      | what                         | status |
      | half a head and then nothing | 408    |
      | half a body and then nothing | 408    |
      | a body over the limit        | 413    |
      | headers over the limit       | 431    |
      | bytes that are no request    | 400    |

  Scenario: a connection that opens after its call was given up carries nothing
    When a call is given up while its connection opens, which then opens
    Then nothing is sent on it, and the call counts as not sent
