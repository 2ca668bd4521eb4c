Feature: A host's start imports only what it uses
  All hosts may start at once on small shares of a core; what a start imports
  is then the longest part of the outage.

  Scenario Outline: a host listens without having imported <module>
    When a host is imported in a new process
    Then it has not imported "<module>"

    Examples:
      | module                 |
      | pydantic               |
      | uuid6                  |
      | hdrh                   |
      | tomllib                |
      | typer                  |
      | twisted.web            |
      | ragwort_model          |
      | ragwort_wire           |
      | ragwort_state          |
      | ragwort_policy         |
      | ragwort_platform       |

  Scenario: names of modules that are imported late are there for who uses them
    Then all public names of all libraries can be imported

  Scenario: the structures of messages between hosts are those of the definition
    Then the generator writes the structures that are committed

  Scenario: a name that no module has is an error
    When a name that doesn't exist is asked of a library
    Then the error names the library and the name

  Scenario Outline: <count> hosts that start at once agree
    When <count> hosts start at once
    Then within 2 s 9 of 10 of them know 9 of 10, are ready and agree on the owner of stage work
    And within 3 s all know all
    And fewer than 1 host in 5 has listed the others in the store

    Examples:
      | count |
      | 18    |
      | 60    |
      | 120   |
