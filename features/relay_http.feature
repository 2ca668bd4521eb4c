Feature: The relay reads HTTP strictly and hands on nothing doubtful

  Scenario Outline: <what> is answered <status> and closes the connection
    When a caller sends <what>
    Then it is answered <status> and the connection closes
    And no request is handed on

    Examples:
      | what                           | status |
      | length and chunks together     | 400    |
      | two different lengths          | 400    |
      | a length that is no number     | 400    |
      | a broken chunk size            | 400    |
      | a body over the limit          | 413    |
      | chunks over the limit          | 413    |
      | headers over the limit         | 431    |
      | an absolute target             | 400    |
      | no host                        | 400    |
      | two hosts                      | 400    |
      | a space before the colon       | 400    |
      | bytes that are no request      | 400    |
      | half a head and then nothing   | 408    |
      | half a body and then nothing   | 408    |

  Scenario: a request smuggled behind another is only ever a second request
    When a caller sends two requests in one write
    Then both are handed on one after the other, each answered in turn

  Scenario: a connection that is idle too long closes
    When a caller connects and sends nothing
    Then the connection closes after the idle time and nothing is answered

  Scenario: a caller that leaves is noticed
    When a caller sends a request and leaves
    Then whoever answers hears of it once

  Scenario: an answer that is broken off can't look whole
    When an answer is broken off after its head
    Then the connection is reset without the end of the body

  Scenario: any bytes at all leave the server able to close
    Then no bytes of a fuzzer make the server fail or hand on half a request

  Scenario Outline: a runner's response that is <what> is <result>
    When a runner responds with <what>
    Then the call ends as <result>

    Examples:
      | what                            | result  |
      | whole with a length             | whole   |
      | whole in chunks                 | whole   |
      | whole without a length          | whole   |
      | reset without a length          | closed  |
      | cut short of its length         | closed  |
      | cut within a chunk              | closed  |
      | not HTTP                        | damaged |
      | whole and followed by another   | whole   |
      | nothing at all                  | closed  |
