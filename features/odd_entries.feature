Feature: An odd entry of another writer costs only itself

  # Guards against a store call without a result, after which a host follows
  # the list no more.
  Scenario Outline: a <call> with an entry of <depth> nested <kind> has a result
    When a <call> brings an entry of <depth> nested <kind> between two others
    Then the call has one result with all three entries within 5 s
    And the entry can be read without its deep value

    Examples:
      | call  | depth  | kind    |
      | list  | 5000   | arrays  |
      | list  | 5000   | objects |
      | list  | 200000 | arrays  |
      | list  | 200000 | objects |
      | watch | 5000   | arrays  |
      | watch | 200000 | objects |

  # Guards against a host that waits forever for the result of its own write.
  Scenario: a write whose answer is nested too deep has a result
    When the store answers a write with 5000 nested arrays
    Then the call has one result, ok with its revision

  Scenario: a store call that raises an unforeseen error has a result
    When a store call raises an unforeseen error
    Then the call has one result, unavailable, and the error is logged

  # Guards against one entry that hides all others, and against versions that
  # no peer can be told.
  Scenario Outline: a <call> with an entry of revision <revision> has the others
    When a <call> brings an entry of revision <revision> between two others
    Then the call has one result with the two others

    Examples:
      | call  | revision        |
      | list  | 400 digits      |
      | list  | 5000 digits     |
      | list  | 281474976710656 |
      | list  | -1              |
      | list  | "text"          |
      | watch | 400 digits      |
      | watch | 281474976710656 |
      | watch | null            |

  Scenario Outline: a store at revision <revision> is unavailable for a <call>
    When a <call> finds the store at revision <revision>
    Then the call ends as unavailable

    Examples:
      | call  | revision        |
      | list  | 400 digits      |
      | list  | 5000 digits     |
      | watch | 281474976710656 |
      | watch | -1              |

  Scenario Outline: a write with revision <revision> in its answer is done
    When a write is answered with revision <revision>
    Then the call has one result, ok with revision <read>

    Examples:
      | revision        | read            |
      | 281474976710655 | 281474976710655 |
      | 281474976710656 | 0               |
      | 400 digits      | 0               |
      | -1              | 0               |

  # Guards against a list that never comes, and against versions beyond the 64
  # bits of the fields in which peers are told of them.
  Scenario Outline: a store of era <era> is read as of era <read>
    When a list comes from a store of era <era>
    Then the call has one result, ok of era <read>

    Examples:
      | era         | read  |
      | 7           | 7     |
      | 32767       | 32767 |
      | 32768       | 0     |
      | 400 digits  | 0     |
      | 5000 digits | 0     |
      | -1          | 0     |
