Feature: What a host holds for slow readers is bounded by one account
  Fake transports stand in for sockets. Guards against a host that runs out of
  memory as callers or runners read slowly, and against answers that look whole
  but are not.

  Scenario Outline: <count> callers that read nothing of <size_kb> KB answers
    Given a host of 20 MB of memory
    When <count> callers are each sent an answer of <size_kb> KB and read nothing
    Then it holds 3 MB at most, and 32 KB for each connection
    And <aborted> connections are reset, none with a whole answer

    Examples:
      | count | size_kb | aborted |
      | 2     | 1000    | 0       |
      | 5     | 1000    | 2       |
      | 40    | 1000    | 37      |
      | 200   | 10      | 0       |

  Scenario: a slow caller that reads on gets its whole answer
    Given a host of 20 MB of memory
    When 2 callers are each sent an answer of 1000 KB and read nothing
    And they read 40 KB every 0.1 s
    Then each has got its whole answer, and nothing is held

  Scenario: the largest of what waits is given up first
    Given a host of 20 MB of memory
    When 9 callers are each sent an answer of 300 KB and read nothing
    And 1 callers are each sent an answer of 900 KB and read nothing
    Then only the last connection is reset

  Scenario: a connection that closes behind its answer carries it whole first
    Given a host of 20 MB of memory
    When a caller that reads slowly is sent an answer after which the connection closes
    Then it closes once the caller has read all

  Scenario: a caller that reads nothing more holds a closing connection for a while only
    Given a host of 20 MB of memory
    When a caller that reads slowly is sent an answer after which the connection closes
    Then it is reset after the idle time if the caller reads nothing

  Scenario: requests that runners read slowly count as well
    Given a host of 20 MB of memory
    When 5 requests of 1000 KB are sent to runners that read nothing
    Then it holds 3 MB at most, and 32 KB for each connection
    And 3 of the calls end as closed, which counts as may have run

  Scenario: a runner is paused while a caller does not read, for 1 s at most
    Given a host of 20 MB of memory
    When a runner streams 64 KB every 0.1 s for 8 s to a caller that reads nothing for 5 s
    Then the host leaves the stream unread for 0.9 s to 1.1 s at a time
    And it reads on at once when the caller does, and the answer is whole

  Scenario: a stream that a caller never reads is reset once the account is full
    Given a host of 4 MB of memory
    When a runner streams 64 KB every 0.01 s for 60 s to a caller that reads nothing for 60 s
    Then the caller's connection is reset, and the call to the runner ended

  Scenario: a paused stream does not count as silent
    When a caller falls behind for 3 s in a stream with an event every 0.1 s
    Then the stream has run once and is whole

  Scenario Outline: a host with memory of <memory> holds <limit> bytes
    Then a host with memory of <memory> holds <limit> bytes

    Examples:
      | memory | limit    |
      | 200    | 30000000 |
      | 160    | 24000000 |
      | none   | 24000000 |

  # Guards against an answer that is lost as its host ends before it is out.
  Scenario: a leaving host stops once the answer to a slow caller has gone out
    Given 2 relay hosts whose store answers
    When a caller that reads nothing asks host 0, which is told to leave
    Then host 0 has not stopped 5 s later
    When the caller reads
    Then it has a whole answer, and host 0 has stopped 0.5 s later

  Scenario: a leaving host waits no longer than it may for a caller that reads nothing
    Given 2 relay hosts whose store answers
    When a caller that reads nothing asks host 0, which is told to leave
    Then host 0 has stopped within its time to leave
