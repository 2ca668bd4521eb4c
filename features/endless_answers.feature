Feature: Answers without end cost a host little
  Servers in trouble send bytes that are no answer until the caller closes.

  Scenario Outline: <what> without end from a server
    When a server answers with <what> without end
    Then the call ends as damaged after at most <limit> MB, and the connection closes

    Examples:
      | what                      | limit |
      | a head                    | 0.2   |
      | interim heads             | 0.2   |
      | a body                    | 9     |
      | a body of a stated length | 9     |
      | chunks                    | 9     |
      | chunks of a byte          | 0.2   |

  Scenario Outline: <what> without end in a stream
    When a runner streams <what> without end
    Then the send ends after at most <limit> MB, and the connection closes
    And reading it takes less than <seconds> s

    Examples:
      | what               | limit | seconds |
      | an event           | 2     | 1       |
      | an event in bits   | 2     | 2       |
      | events             | 17    | 4       |
      | comments           | 17    | 4       |
      | events without an id | 17  | 4       |
      | a plain body       | 9     | 1       |

  Scenario: many answers without end stay within the memory of a host
    When 40 servers answer with a body without end at the same time
    Then at most 25 MB of them are held, and each call ends as damaged
    And a call to a sound server is answered meanwhile

  Scenario Outline: a node reads a <reader> of <size> MB
    When a server answers a node's <reader> with <size> MB
    Then the node <result> after at most <limit> MB

    Examples:
      | reader      | size | result              | limit |
      | store call  | 7    | gets the whole body | 7     |
      | store call  | 64   | closes the call     | 8     |
      | load report | 64   | closes the call     | 0.1   |

  # Guards against nodes and callers that run out of memory by a server in
  # trouble: a head, a line and a stream had no bound there.
  Scenario Outline: the <reader> that meets <what> without end
    When a server with a real socket sends "<reader>" <what> without end
    Then "<reader>" ends after at most <limit> MB and <seconds> s

    Examples:
      | reader              | what          | limit | seconds |
      | node's store call   | a head        | 8     | 2       |
      | node's store call   | interim heads | 8     | 2       |
      | node's store call   | a line        | 16    | 2       |
      | node's stage call   | a head        | 8     | 2       |
      | node's stage call   | interim heads | 8     | 2       |
      | node's stage call   | a line        | 8     | 2       |
      | node's stage call   | lines         | 24    | 8       |
      | caller of a node    | a head        | 48    | 10      |
      | caller of a node    | a line        | 48    | 10      |
      | caller of a node    | lines         | 24    | 10      |

    Examples: a deadline of 3 s, and 2 s behind it
      | reader            | what                   | limit | seconds |
      | node's store call | a line drop by drop    | 1     | 4       |
      | caller of a node  | a line drop by drop    | 1     | 6       |
      | caller of a node  | a refusal drop by drop | 1     | 9       |
