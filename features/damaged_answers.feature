Feature: Damaged answers are no answers
  Calls to runners, stage runners, the store and other hosts are made in one
  way. Servers on real sockets answer before they have read the request.

  # Guards against a part of an answer that was reset, or a status that there is
  # not, given to a caller as a whole answer.
  Scenario Outline: <body> is answered with <answer>, then <ending>
    When a server with a real socket answers <body> with <answer>, then <ending>
    Then the call to it gets "<end>"

    Examples: a short request
      | body            | answer                       | ending | end     |
      | a short request | 200 of no length             | reset  | closed  |
      | a short request | 200 of no length             | closed | 200 abc |
      | a short request | 200 of no length that closes | reset  | closed  |
      | a short request | 200 of no length that closes | closed | 200 abc |
      | a short request | 200 of HTTP/1.0              | reset  | closed  |
      | a short request | 200 of HTTP/1.0              | closed | 200 abc |
      | a short request | 200 with its length          | reset  | 200 abc |
      | a short request | 200 with its length          | closed | 200 abc |
      | a short request | 200 short of its length      | reset  | closed  |
      | a short request | 200 short of its length      | closed | closed  |
      | a short request | 200 in chunks                | reset  | 200 abc |
      | a short request | 200 in chunks                | closed | 200 abc |
      | a short request | 200 in chunks without an end | reset  | closed  |
      | a short request | 200 in chunks without an end | closed | closed  |
      | a short request | 200 of two lengths           | kept   | damaged |
      | a short request | 503                          | reset  | 503     |
      | a short request | 503                          | kept   | 503     |
      | a short request | 413                          | reset  | 413     |
      | a short request | 413                          | kept   | 413     |
      | a short request | 101                          | kept   | damaged |
      | a short request | 204 with a body              | reset  | 204     |
      | a short request | 204 with a body              | closed | 204     |
      | a short request | 304 with a body              | reset  | 304     |
      | a short request | 304 with a body              | closed | 304     |
      | a short request | 100 again and again          | kept   | damaged |
      | a short request | 000                          | kept   | damaged |
      | a short request | 042                          | kept   | damaged |
      | a short request | 99                           | kept   | damaged |
      | a short request | 600                          | kept   | damaged |
      | a short request | 999                          | kept   | damaged |
      | a short request | 1000                         | kept   | damaged |
      | a short request | 599                          | kept   | 599     |

    Examples: a long upload
      | body            | answer                       | ending | end     |
      | a long upload   | 200 of no length             | reset  | closed  |
      | a long upload   | 200 of no length             | closed | 200 abc |
      | a long upload   | 200 of no length that closes | reset  | closed  |
      | a long upload   | 200 of no length that closes | closed | 200 abc |
      | a long upload   | 200 of HTTP/1.0              | reset  | closed  |
      | a long upload   | 200 of HTTP/1.0              | closed | 200 abc |
      | a long upload   | 200 with its length          | reset  | 200 abc |
      | a long upload   | 200 with its length          | closed | 200 abc |
      | a long upload   | 200 short of its length      | reset  | closed  |
      | a long upload   | 200 short of its length      | closed | closed  |
      | a long upload   | 200 in chunks                | reset  | 200 abc |
      | a long upload   | 200 in chunks                | closed | 200 abc |
      | a long upload   | 200 in chunks without an end | reset  | closed  |
      | a long upload   | 200 in chunks without an end | closed | closed  |
      | a long upload   | 200 of two lengths           | kept   | damaged |
      | a long upload   | 503                          | reset  | 503     |
      | a long upload   | 503                          | kept   | 503     |
      | a long upload   | 413                          | reset  | 413     |
      | a long upload   | 413                          | kept   | 413     |
      | a long upload   | 101                          | kept   | damaged |
      | a long upload   | 204 with a body              | reset  | 204     |
      | a long upload   | 204 with a body              | closed | 204     |
      | a long upload   | 304 with a body              | reset  | 304     |
      | a long upload   | 304 with a body              | closed | 304     |
      | a long upload   | 100 again and again          | kept   | damaged |
      | a long upload   | 000                          | kept   | damaged |
      | a long upload   | 042                          | kept   | damaged |
      | a long upload   | 99                           | kept   | damaged |
      | a long upload   | 600                          | kept   | damaged |
      | a long upload   | 999                          | kept   | damaged |
      | a long upload   | 1000                         | kept   | damaged |
      | a long upload   | 599                          | kept   | 599     |
