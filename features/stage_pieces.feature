Feature: Stage runners are asked only for pieces that callers' requests have
  Six whole hosts on one virtual clock; the owner of the stage service batches
  the pieces of all. Guards against pieces, keys or inputs of another request
  in a batch, also after failures.

  Scenario Outline: 60 staged requests while <fault>
    Given hosts and runners in two regions
    When callers send 60 staged requests with keys of their own while <fault>
    Then each piece that a runner was asked for is one of a request, with its key
    And at least <least> of them are answered 200

    Examples:
      | fault                          | least |
      | nothing fails                  | 58    |
      | stage runners ask for a pause  | 30    |
      | inputs vanish                  | 40    |
      | the owner is killed            | 40    |
      | messages are lost and repeated | 40    |
