Feature: A node's streams go on only at the software version that began them

  Scenario Outline: generators of <versions>, and those that stream crash
    Given a node whose generators are of versions <versions>
    When requests stream and the generators that began them crash
    Then each goes on at its version or ends without more chunks

    Examples:
      | versions       |
      | v1, v2         |
      | v1, v1, v2, v2 |
