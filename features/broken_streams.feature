Feature: A caller's stream holds its own whole events and nothing else
  A stream has begun and breaks off; what answers next is an error, or bytes
  that are no event. On whole hosts in virtual time. A stream breaks off
  behind event 3 of 6; routes allow two attempts.

  # Guards against the head or the text of another answer, or an event that is
  # none of the stream, as a part of the caller's answer.
  Scenario Outline: a stream that <way> and brings <what>, <line ends>, <ends>
    Given whole hosts whose runners stream 6 events
    And the line ends are <line ends>
    When a stream <way> and its runner sends <what> behind event 3
    Then for its caller the stream <ends>

    Examples:
      | way                       | line ends | what                                        | ends     |
      | begins                    | LF        | an event that is not the next               | is whole |
      | begins                    | LF        | the next event and one that is not the next | is whole |
      | goes on                   | LF        | an event that is not the next               | is reset |
      | goes on                   | LF        | the next event and one that is not the next | is reset |
      | begins at another host    | LF        | an event that is not the next               | is whole |
      | begins at another host    | LF        | the next event and one that is not the next | is whole |
      | goes on at another host   | LF        | an event that is not the next               | is reset |
      | goes on at another host   | LF        | the next event and one that is not the next | is reset |
      | is taken up by its caller | LF        | the next event and one that is not the next | is whole |
