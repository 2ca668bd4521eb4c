Feature: Operators evacuate failure domains of the users' platform
  The commands speak to the platform's store through its adapter.

  Scenario Outline: the store <answers>
    Guards against a command that writes to another store than hosts read, and
    one that takes a lost answer for a failure.
    Given a store of the platform that <answers>
    When an operator evacuates "north" through the adapter
    Then the command ends well and the store holds "evacuations/north"
    And a list through the adapter names "north"
    When an operator ends the evacuation of "north" through the adapter
    Then the command ends well and the store holds nothing
    And each command ends well a second time

    Examples:
      | answers                  |
      | answers                  |
      | loses each first answer  |
      | is busy every other time |
