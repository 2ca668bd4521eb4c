Feature: One damaged message or unexpected error stops nothing else

  Scenario Outline: a host goes on though its <part> fails each time
    Given 5 relay hosts whose store answers
    When the <part> of host 0 fails each time
    Then a change of the configuration is in force on all hosts within 2 s
    And host 0 still counts as alive on all hosts 8 s later
    And host 0 has logged and counted the error of its "<part>"

    Examples:
      | part       |
      | limits     |
      | departures |
      | crash-news |
      | reach      |
      | registry   |
      | peers      |

  Scenario: a message that a host can't handle keeps no other from it
    Given 5 relay hosts that reach each other over connections
    When each host is sent a message that it can't handle, again and again
    Then a change of the configuration is in force on all hosts within 2 s
    And host 0 still counts as alive on all hosts 8 s later
    And host 0 has logged and counted the error of its "CrashNews"

  Scenario: an object on which the decoder fails hides no other
    Given 5 relay hosts whose store answers
    When the store gets an object on which the decoder fails, then a runner
    Then all hosts know the runner
    And all hosts tell of a problem with the object
