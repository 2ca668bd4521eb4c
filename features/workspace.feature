Feature: The workspace keeps its shape

  Scenario: libraries import strictly downward
    Then no library imports one that stands above it

  Scenario: the core reads no clock, opens no socket and imports no twisted
    Then the deciding modules import neither twisted nor time nor socket

  Scenario: the documented example of the core runs
    Then the example in "docs/interfaces/library.md" runs

  Scenario: the lock file pins versions and names no index
    Then every line of the lock file is a name with one version
