Feature: Answers that end with their connection are read
  They have neither a length nor chunks.

  Scenario Outline: a call whose answer <what>
    When a server sends a body of no stated length that <what>
    Then the relay's call <result>

    Examples:
      | what                       | result             |
      | is closed at its end       | returns the body   |
      | is reset in its middle     | breaks off         |

  Scenario Outline: a stream of no stated length that ends <where>
    When a runner streams without a length and ends <where>
    Then the caller gets <events> events and <end>

    Examples:
      | where                      | events | end             |
      | behind its last event      | 3      | a whole answer  |
      | inside an event            | 2      | no whole answer |
      | behind a field             | 2      | no whole answer |
      | before its first event     | 0      | no whole answer |

  Scenario Outline: a node's <reader> whose answer is <what>
    When a server sends a node's <reader> an answer of no stated length that is <what>
    Then the node reads <meaning>

    Examples:
      | reader      | what      | meaning         |
      | store call  | whole     | the answer      |
      | store call  | cut short | nothing         |
      | load report | whole     | the answer      |
      | load report | cut short | nothing         |
