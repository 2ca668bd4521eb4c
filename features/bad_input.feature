@processes
Feature: Bad input gets a typed answer and disturbs nothing

  Scenario Outline: <what> is refused
    When a caller posts <what>
    Then it gets status <status> and a problem document that says not_run

    Examples:
      | what                      | status |
      | malformed JSON            | 400    |
      | an unknown field          | 400    |
      | a wrong type              | 400    |
      | a deadline of zero        | 400    |
      | a deadline of a year      | 400    |
      | a key that is no UUIDv7   | 400    |
      | an oversized body         | 413    |
      | an unknown class          | 404    |
      | an unknown workspace      | 404    |
      | a key from an hour ago    | 410    |

  Scenario: a key used again with another body is refused
    When a caller uses one key for two bodies
    Then the second gets status 409 and nothing of it is run

  Scenario: damaged bytes close the connection and are counted
    When random bytes reach the callers' and the peers' ports
    Then the node still answers requests

  Scenario: parsers raise nothing but their typed error
    Then no bytes make a parser raise anything but its typed error

  Scenario: a compressed frame from a peer reads as the frame itself
    Then a compressed frame is shorter and holds the same message

  Scenario Outline: a compressed frame that <defect> is refused
    Then a compressed frame that <defect> raises the typed error

    Examples:
      | defect              |
      | is cut short        |
      | has bytes behind it |
      | is damaged          |
      | is far too long     |

  Scenario: a damaged size in a peer's frame is not believed
    Then no damaged frame keeps a node busy
