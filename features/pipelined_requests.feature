Feature: Each request of a connection is read once, whole and by itself
  A caller may send requests without waiting for the answers before. Whatever
  comes when, no byte of a body is read as a head.

  # Guards against a request smuggled in: the rest of a body that came behind
  # the answer before was read as the next request.
  Scenario Outline: a request whose body has <frame> is cut at each byte by <what>
    When <count> requests whose bodies have <frame> come, cut at each byte by <what>
    Then each request has run once with its own body and has its own answer

    Examples:
      | frame     | count | what                           |
      | a length  | 2     | the end of the answer before   |
      | chunks    | 2     | the end of the answer before   |
      | a length  | 2     | a pause before the answer      |
      | chunks    | 2     | a pause before the answer      |
      | a length  | 3     | the end of the answer before   |
      | chunks    | 3     | the end of the answer before   |

  # Guards against a caller that never completes its request and holds a
  # connection for ever.
  Scenario Outline: a pipelined request that stops in its <part> is told so
    When a pipelined request stops in its <part> behind an answer
    Then the caller is told 408 once its time is over

    Examples:
      | part |
      | head |
      | body |

  # Guards against connections without an answer or an end, as each refusal went
  # deeper into the stack than the one before.
  Scenario Outline: <count> pipelined requests that are <how> at once are all answered
    When <count> pipelined requests are <how> at once
    Then each is answered, from the same depth of the stack

    Examples:
      | count | how     |
      | 150   | refused |
      | 1500  | refused |
      | 1500  | served  |
