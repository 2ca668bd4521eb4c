Feature: A peer that is silent for a moment keeps its connections
  Where a user timeout is set, it decides when keep-alive probes give up as
  well, whatever their count.

  Scenario Outline: <what> outlives two seconds of silence, and is given up within five
    When <what> is connected
    Then neither probes nor bytes without receipt give it up before 2.5 s
    And probes give it up within 5 s

    Examples:
      | what                              |
      | a call to a runner or to the store |
      | a caller's connection             |
      | a connection to a peer            |
      | a peer's connection               |
