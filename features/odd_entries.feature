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
