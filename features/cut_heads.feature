Feature: A head that stops in its middle is no answer
  Five heads, cut at each byte, on connections in memory.

  # Guards against a cut head that is taken for an answer without a body.
  Scenario Outline: the <client>'s call meets heads cut by a <end> behind <before>
    When heads cut at each byte come to the <client> behind <before> and end by a <end>
    Then no call has an answer and each has failed

    Examples: hosts' client: runners, stage runners, other hosts and the store
      | client | before          | end   |
      | host   | nothing         | close |
      | host   | nothing         | reset |
      | host   | an interim head | close |
      | host   | an interim head | reset |

    Examples: nodes' client: runners, the store and, in the callers' library, nodes
      | client | before          | end   |
      | node   | nothing         | close |
      | node   | nothing         | reset |
      | node   | an interim head | close |
      | node   | an interim head | reset |
      | node   | a kept answer   | close |
      | node   | a kept answer   | reset |

  # Guards against a body that was cut before its first byte and looks whole.
  Scenario Outline: a whole head with <frame> and no body, that ends by a <end>, <result>
    When a head with <frame> comes to the host without a body and ends by a <end>
    Then that call <result>

    Examples:
      | frame     | end   | result             |
      | a length  | close | fails              |
      | a length  | reset | fails              |
      | chunks    | close | fails              |
      | chunks    | reset | fails              |
      | neither   | reset | fails              |
      | neither   | close | has an empty answer |
