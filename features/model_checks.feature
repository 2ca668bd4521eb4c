Feature: Protocol objects hold against an adversarial store and network

  Scenario Outline: no run breaks the <object>
    Then no sequence of events breaks the "<object>"

    Examples:
      | object                |
      | claim ledger          |
      | lease                 |
      | configuration replica |
      | membership            |
      | watcher of a restored store |
      | claim ledger of a restored store |
      | lease of a restored store |
      | starts of runners |

  Scenario Outline: a broken <object> is caught
    When the "<object>" is broken on purpose
    Then its model check finds a counterexample

    Examples:
      | object                |
      | claim ledger          |
      | lease                 |
      | configuration replica |
      | membership            |
      | watcher of a restored store |
      | claim ledger of a restored store |
      | lease of a restored store |
      | starts of runners |
