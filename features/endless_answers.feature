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
