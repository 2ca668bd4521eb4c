Feature: A caller's answer from nodes holds its own chunks and nothing else
  The callers' library, on connections in memory. A stream breaks off behind
  its second chunk of three.

  # Guards against another answer's head, text, chunks or end as a part of a
  # caller's answer.
  Scenario Outline: an answer that breaks off with <what> is whole in the end
    Given a caller whose stream breaks off with <what>
    And whose next host sends the rest
    When it sends its request
    Then its answer is completed and holds all chunks once

    Examples:
      | what                               |
      | nothing                            |
      | half a chunk                       |
      | a whole head                       |
      | a problem document                 |
      | a whole head and a foreign chunk   |
      | another key's records              |
      | another key's end                  |
      | an end that counts too few chunks  |

  # Guards against chunks behind the end of an answer as a part of it.
  Scenario: chunks behind the end belong to no answer
    Given a caller whose stream breaks off with nothing
    And whose next host sends the rest and a foreign chunk
    When it sends its request
    Then its answer is completed and holds all chunks once

  # Guards against the promise that a request has not run whose stream had
  # begun, made of the next host's error.
  Scenario Outline: an answer that breaks off and then meets only <status>
    Given a caller whose stream breaks off with nothing
    And whose next hosts answer <status>
    When it sends its request
    Then its answer's outcome is unknown and it holds the first chunks

    Examples:
      | status |
      | 500    |
      | 503    |
      | 429    |
      | 409    |

  # Guards against a request that ends with an exception.
  Scenario: a request whose refusal breaks off is sent again
    Given a caller whose first refusal breaks off
    And whose next host sends a whole answer
    When it sends its request
    Then its answer is completed and holds all chunks once

  # Guards against a chunk of another answer in a node's stage result, and
  # against an end that another call's record makes.
  Scenario Outline: a stage call whose reply <reply>
    When a node's stage call gets a reply that <reply>
    Then the node takes <chunks> chunks of it and the call ends as <end>

    Examples:
      | reply                                            | chunks | end      |
      | is whole                                         | 2      | done     |
      | is an error of status 500                        | 0      | protocol |
      | is a problem document                            | 0      | protocol |
      | breaks off                                       | 2      | lost     |
      | breaks off within a chunk                        | 2      | lost     |
      | goes on with a whole head                        | 2      | protocol |
      | goes on with a problem document                  | 2      | protocol |
      | goes on with a head and more chunks              | 2      | protocol |
      | goes on with another call's records              | 2      | lost     |
      | goes on behind its end                           | 2      | done     |
      | is another call's refusal                        | 0      | protocol |
      | goes on with another call's refusal              | 2      | protocol |
      | goes on with another call's error                | 2      | protocol |
      | goes on with another call's refusal and its rest | 1      | protocol |
