Feature: A refusal of another request is never taken for this one's
  A faulty runner writes an earlier refusal once more on a kept connection.
  Its request may have run: it is neither sent again as if it had not, nor
  refused to its caller.

  Scenario Outline: a <kind> call that ran and got "<script>" is not called not run
    Given 2 runners, of which the first chosen does "<script>"
    When a <kind> request is sent
    Then the caller gets <status> after <runs> runs
    And nothing of the earlier refusal is kept

    Examples:
      | kind       | script          | status | runs |
      | once       | stale:503       | 502    | 1    |
      | once       | stale:421       | 502    | 1    |
      | once       | stale:409       | 502    | 1    |
      | once       | stale:503,early | 502    | 1    |
      | once       | stale:421,early | 502    | 1    |
      | repeatable | stale:503       | 200    | 2    |
      | repeatable | stale:421,early | 200    | 2    |

  Scenario: a call that ran at each runner is not refused as never run
    Given 4 runners that all do "stale:503"
    When a repeatable request is sent
    Then the caller gets 502 after 2 runs

  Scenario Outline: a stream that ran and got "<script>" is not called not run
    Given 2 stream runners of 6 events, the first chosen does "<script>"
    When a stream request is sent
    Then the caller gets 502 after 1 runs
    And nothing of the earlier refusal is kept

    Examples:
      | script          |
      | stale:503       |
      | stale:421       |
      | stale:503,early |

  Scenario Outline: a resumable stream that got "<script>" is whole
    Given 2 stream runners of 6 events, the first chosen does "<script>"
    When a resumable request is sent
    Then the caller gets events 1 to 6 once each and a whole answer
    And nothing of the earlier refusal is kept

    Examples:
      | script          |
      | stale:503       |
      | stale:421,early |

  Scenario Outline: a refusal with status <status> that names <named> is <meaning>
    When a runner refuses with status <status> and names <named>
    Then the platform's host reads it as <meaning>

    Examples:
      | status | named                    | meaning     |
      | 503    | this request             | not run     |
      | 503    | no request               | not run     |
      | 421    | this request             | misdirected |
      | 421    | no request               | misdirected |
      | 409    | this request             | not run     |
      | 503    | an empty id              | not run     |
      | 503    | another request          | foreign     |
      | 421    | another request          | foreign     |
      | 409    | another request          | foreign     |
      | 503    | another and this request | foreign     |
      | 503    | this and another request | foreign     |

  Scenario: a call that carries no request id believes any refusal
    When a runner refuses a call without a request id
    Then the platform's host reads it as not run

  Scenario Outline: a refusal that waits on a new connection and names <named> is <meaning>
    When a new connection brings a refusal that names <named>
    Then the call ends with it and is read as <meaning>

    Examples:
      | named           | meaning |
      | another request | foreign |
      | no request      | not run |

  Scenario: a refusal behind a complete answer is not read
    When a connection brings an answer and an earlier refusal
    Then the call ends with the answer alone

  Scenario Outline: a runner that refuses a request of <bytes> bytes sent <part> <gets>
    When a runner refuses a request of <bytes> bytes that was sent <part>
    Then so early or late, the runner <gets>

    Examples:
      | bytes   | part    | gets                          |
      | 1000000 | in part | gets no more of the request   |
      | 1000000 | whole   | sees its connection closed    |
      | 4       | whole   | sees its connection closed    |

  Scenario Outline: a node's call that got <what> may have run
    When a node's call gets <what> in place of its answer
    Then it counts as a breach of protocol, and its connection closes

    Examples:
      | what                             |
      | an earlier refusal               |
      | an earlier error                 |
      | status 503 without a record      |
      | status 503 with its own refusal  |
      | a line that is no record         |

  Scenario Outline: a call that gets heartbeats of <whose> call <effect>
    When a node's call only gets heartbeats of <whose> call
    Then so many of them mean that it <effect>

    Examples:
      | whose   | effect           |
      | its own | waits            |
      | another | counts as silent |

  Scenario Outline: a kept connection that brought <what> is not used again
    When a node's connection brings its answer and <what>
    Then the node's next call opens a new connection

    Examples:
      | what                                 |
      | an earlier refusal in one segment    |
      | a byte more in one segment           |
      | an earlier refusal while it is idle  |
      | a byte more while it is idle         |

  Scenario: a kept connection that brought its answer alone is used again
    When a node's connection brings its answer and nothing more
    Then the node's next call is sent on it

  Scenario Outline: a caller whose request first gets <what> <where> is told <outcome>
    When a caller's request first gets <what> <where>
    Then the caller is told <outcome> after <tries> tries

    Examples:
      | what                              | where                | outcome   | tries |
      | a 409 of another key              | on a kept connection | completed | 2     |
      | a 409 of another key              | on a new connection  | completed | 2     |
      | a 409 without a key               | on a kept connection | completed | 2     |
      | a 409 without a key               | on a new connection  | not_run   | 1     |
      | a 409 of its own key              | on a kept connection | not_run   | 1     |
      | a 409 of nested arrays            | on a kept connection | completed | 2     |
      | a 503 of another key              | on a kept connection | completed | 2     |
      | a stream of another key           | on a kept connection | completed | 2     |
      | a not_run end of another key      | on a kept connection | completed | 2     |
      | a chunk of a stream without a key | on a kept connection | completed | 2     |

  Scenario: a caller that only gets refusals of another request is told unknown
    When a caller's request gets a 503 of another key at each try
    Then the caller is told unknown after 6 tries

  Scenario Outline: a caller whose try <ends> before all hosts refuse is told <outcome>
    When a caller's first try <ends> and each later one is refused with <status>
    Then the caller is told <outcome> after <tries> tries

    Examples:
      | ends                       | status | outcome | tries |
      | loses its connection       | 503    | unknown | 6     |
      | loses its connection       | 410    | unknown | 2     |
      | breaks off its stream      | 503    | unknown | 6     |
      | gets an earlier refusal    | 503    | unknown | 6     |
      | is refused                 | 503    | not_run | 6     |
      | finds no host              | 503    | not_run | 6     |

  Scenario Outline: a host's refusal of <what> names the request
    When a host is sent <what>
    Then its problem document names the key that was sent

    Examples:
      | what                            |
      | a request with an unknown field |
      | a request without a deadline    |
      | a resumption from a wrong chunk |
      | a question for an unknown key   |
