Feature: A caller's stream holds its own whole events and nothing else
  A stream has begun and breaks off; what answers next is an error, or bytes
  that are no event. On whole hosts in virtual time. A stream breaks off
  behind event 3 of 6; routes allow two attempts.

  # Guards against taking sound events for damage.
  Scenario: events pass in all forms that runners send
    Then events pass in all forms that runners send

  Scenario: the first event of a fresh stream may have any number
    Then events 7 and 8 begin a fresh stream

  # Guards against the head or the text of another answer, or an event that is
  # none of the stream, as a part of the caller's answer.
  Scenario Outline: a stream that <way> and brings <what>, <line ends>, <ends>
    Given whole hosts whose runners stream 6 events
    And the line ends are <line ends>
    When a stream <way> and its runner sends <what> behind event 3
    Then for its caller the stream <ends>

    Examples:
      | way                       | line ends | what                                        | ends     |
      | begins                    | LF        | a whole head                                | is whole |
      | begins                    | CRLF      | a whole head                                | is whole |
      | begins                    | LF        | a whole head and a blank line               | is whole |
      | begins                    | CRLF      | a whole head and a blank line               | is whole |
      | begins                    | LF        | a whole head behind half an id              | is whole |
      | begins                    | CRLF      | a whole head behind half an id              | is whole |
      | begins                    | LF        | a whole head behind an id                   | is whole |
      | begins                    | CRLF      | a whole head behind an id                   | is whole |
      | begins                    | LF        | a whole head behind half a line of data     | is whole |
      | begins                    | CRLF      | a whole head behind half a line of data     | is whole |
      | begins                    | LF        | a whole head and events of its own          | is whole |
      | begins                    | CRLF      | a whole head and events of its own          | is whole |
      | begins                    | LF        | an error text                               | is whole |
      | begins                    | LF        | an error text and a blank line              | is whole |
      | begins                    | LF        | an event without an id                      | is whole |
      | begins                    | LF        | an id that is no number                     | is whole |
      | begins                    | LF        | an id of 5000 digits                        | is whole |
      | begins                    | LF        | two ids in one event                        | is whole |
      | begins                    | LF        | an event that is not the next               | is whole |
      | begins                    | LF        | the next event and one that is not the next | is whole |
      | goes on                   | LF        | a whole head                                | is reset |
      | goes on                   | CRLF      | a whole head                                | is reset |
      | goes on                   | LF        | a whole head and a blank line               | is reset |
      | goes on                   | CRLF      | a whole head and a blank line               | is reset |
      | goes on                   | LF        | a whole head behind half an id              | is reset |
      | goes on                   | CRLF      | a whole head behind half an id              | is reset |
      | goes on                   | LF        | a whole head behind an id                   | is reset |
      | goes on                   | CRLF      | a whole head behind an id                   | is reset |
      | goes on                   | LF        | a whole head behind half a line of data     | is reset |
      | goes on                   | CRLF      | a whole head behind half a line of data     | is reset |
      | goes on                   | LF        | a whole head and events of its own          | is reset |
      | goes on                   | CRLF      | a whole head and events of its own          | is reset |
      | goes on                   | LF        | an error text                               | is reset |
      | goes on                   | LF        | an error text and a blank line              | is reset |
      | goes on                   | LF        | an event without an id                      | is reset |
      | goes on                   | LF        | an id that is no number                     | is reset |
      | goes on                   | LF        | an id of 5000 digits                        | is reset |
      | goes on                   | LF        | two ids in one event                        | is reset |
      | goes on                   | LF        | an event that is not the next               | is reset |
      | goes on                   | LF        | the next event and one that is not the next | is reset |
      | begins at another host    | LF        | a whole head                                | is whole |
      | begins at another host    | CRLF      | a whole head                                | is whole |
      | begins at another host    | LF        | a whole head and a blank line               | is whole |
      | begins at another host    | CRLF      | a whole head and a blank line               | is whole |
      | begins at another host    | LF        | a whole head behind half an id              | is whole |
      | begins at another host    | CRLF      | a whole head behind half an id              | is whole |
      | begins at another host    | LF        | a whole head behind an id                   | is whole |
      | begins at another host    | CRLF      | a whole head behind an id                   | is whole |
      | begins at another host    | LF        | a whole head behind half a line of data     | is whole |
      | begins at another host    | CRLF      | a whole head behind half a line of data     | is whole |
      | begins at another host    | LF        | a whole head and events of its own          | is whole |
      | begins at another host    | CRLF      | a whole head and events of its own          | is whole |
      | begins at another host    | LF        | an error text                               | is whole |
      | begins at another host    | LF        | an error text and a blank line              | is whole |
      | begins at another host    | LF        | an event without an id                      | is whole |
      | begins at another host    | LF        | an id that is no number                     | is whole |
      | begins at another host    | LF        | an id of 5000 digits                        | is whole |
      | begins at another host    | LF        | two ids in one event                        | is whole |
      | begins at another host    | LF        | an event that is not the next               | is whole |
      | begins at another host    | LF        | the next event and one that is not the next | is whole |
      | goes on at another host   | LF        | a whole head                                | is reset |
      | goes on at another host   | CRLF      | a whole head                                | is reset |
      | goes on at another host   | LF        | a whole head and a blank line               | is reset |
      | goes on at another host   | CRLF      | a whole head and a blank line               | is reset |
      | goes on at another host   | LF        | a whole head behind half an id              | is reset |
      | goes on at another host   | CRLF      | a whole head behind half an id              | is reset |
      | goes on at another host   | LF        | a whole head behind an id                   | is reset |
      | goes on at another host   | CRLF      | a whole head behind an id                   | is reset |
      | goes on at another host   | LF        | a whole head behind half a line of data     | is reset |
      | goes on at another host   | CRLF      | a whole head behind half a line of data     | is reset |
      | goes on at another host   | LF        | a whole head and events of its own          | is reset |
      | goes on at another host   | CRLF      | a whole head and events of its own          | is reset |
      | goes on at another host   | LF        | an error text                               | is reset |
      | goes on at another host   | LF        | an error text and a blank line              | is reset |
      | goes on at another host   | LF        | an event without an id                      | is reset |
      | goes on at another host   | LF        | an id that is no number                     | is reset |
      | goes on at another host   | LF        | an id of 5000 digits                        | is reset |
      | goes on at another host   | LF        | two ids in one event                        | is reset |
      | goes on at another host   | LF        | an event that is not the next               | is reset |
      | goes on at another host   | LF        | the next event and one that is not the next | is reset |
      | is taken up by its caller | LF        | a whole head                                | is whole |
      | is taken up by its caller | CRLF      | a whole head                                | is whole |
      | is taken up by its caller | LF        | a whole head and a blank line               | is whole |
      | is taken up by its caller | CRLF      | a whole head and a blank line               | is whole |
      | is taken up by its caller | LF        | a whole head behind half an id              | is whole |
      | is taken up by its caller | CRLF      | a whole head behind half an id              | is whole |
      | is taken up by its caller | LF        | a whole head behind an id                   | is whole |
      | is taken up by its caller | CRLF      | a whole head behind an id                   | is whole |
      | is taken up by its caller | LF        | a whole head behind half a line of data     | is whole |
      | is taken up by its caller | CRLF      | a whole head behind half a line of data     | is whole |
      | is taken up by its caller | LF        | a whole head and events of its own          | is whole |
      | is taken up by its caller | CRLF      | a whole head and events of its own          | is whole |
      | is taken up by its caller | LF        | an error text                               | is whole |
      | is taken up by its caller | LF        | an error text and a blank line              | is whole |
      | is taken up by its caller | LF        | an event without an id                      | is whole |
      | is taken up by its caller | LF        | an id that is no number                     | is whole |
      | is taken up by its caller | LF        | an id of 5000 digits                        | is whole |
      | is taken up by its caller | LF        | two ids in one event                        | is whole |
      | is taken up by its caller | LF        | an event that is not the next               | is whole |
      | is taken up by its caller | LF        | the next event and one that is not the next | is whole |

  # Guards against an answer that ends with its connection before it brings an
  # event: it passed for the end of the stream.
  Scenario Outline: a stream that <way> with <what>, ended by <frame>, <ends>
    Given whole hosts whose runners stream 6 events
    And runners' answers end with <frame>
    When a stream <way> and its runner sends <what> behind event 3
    Then for its caller the stream <ends>

    Examples:
      | way                       | what                           | frame          | ends                     |
      | goes on                   | nothing                        | its connection | is reset                 |
      | goes on                   | a comment alone                | its connection | is reset                 |
      | goes on                   | the events that the caller has | its connection | is reset                 |
      | goes on                   | nothing                        | a length       | ends where its caller is |
      | goes on                   | nothing                        | chunks         | ends where its caller is |
      | goes on at another host   | nothing                        | its connection | is reset                 |
      | goes on at another host   | a comment alone                | its connection | is reset                 |
      | goes on at another host   | the events that the caller has | its connection | is reset                 |
      | goes on at another host   | nothing                        | a length       | ends where its caller is |
      | goes on at another host   | nothing                        | chunks         | ends where its caller is |
      | is taken up by its caller | nothing                        | its connection | is whole                 |
      | is taken up by its caller | a comment alone                | its connection | is whole                 |
      | is taken up by its caller | the events that the caller has | its connection | is whole                 |
      | is taken up by its caller | nothing                        | a length       | ends where its caller is |
      | is taken up by its caller | nothing                        | chunks         | ends where its caller is |

  # Guards against the next runner's error as a part of a stream that has
  # begun, and against an end that looks complete.
  Scenario Outline: a stream that <way> and meets <answer>, ended by <frame>, <ends>
    Given whole hosts whose runners stream 6 events
    And runners' answers end with <frame>
    When a stream <way> and its next runner answers <answer>
    Then for its caller the stream <ends>

    Examples:
      | way                     | answer       | frame          | ends     |
      | goes on                 | status:500   | a length       | is reset |
      | goes on                 | status:500   | chunks         | is reset |
      | goes on                 | status:500   | its connection | is reset |
      | goes on                 | unsealed:500 | a length       | is reset |
      | goes on                 | unsealed:500 | chunks         | is reset |
      | goes on                 | unsealed:500 | its connection | is reset |
      | goes on                 | status:503   | its connection | is reset |
      | goes on                 | status:429   | its connection | is reset |
      | goes on                 | status:408   | its connection | is reset |
      | goes on                 | unsealed:503 | its connection | is reset |
      | goes on                 | unrun:503    | its connection | is whole |
      | goes on                 | unrun:429    | its connection | is whole |
      | goes on                 | unrun:408    | its connection | is whole |
      | goes on                 | status:409   | its connection | is reset |
      | goes on                 | status:421   | its connection | is reset |
      | goes on                 | unrun:409    | its connection | is whole |
      | goes on                 | unrun:421    | its connection | is whole |
      | goes on                 | status:404   | its connection | is reset |
      | goes on                 | status:200   | a length       | is reset |
      | goes on                 | status:200   | chunks         | is reset |
      | goes on                 | status:200   | its connection | is reset |
      | goes on                 | unsealed:200 | its connection | is reset |
      | goes on                 | foreign      | its connection | is reset |
      | goes on at another host | status:500   | a length       | is reset |
      | goes on at another host | status:500   | chunks         | is reset |
      | goes on at another host | status:500   | its connection | is reset |
      | goes on at another host | unsealed:500 | a length       | is reset |
      | goes on at another host | unsealed:500 | chunks         | is reset |
      | goes on at another host | unsealed:500 | its connection | is reset |
      | goes on at another host | status:503   | its connection | is reset |
      | goes on at another host | status:429   | its connection | is reset |
      | goes on at another host | status:408   | its connection | is reset |
      | goes on at another host | unsealed:503 | its connection | is reset |
      | goes on at another host | unrun:503    | its connection | is whole |
      | goes on at another host | unrun:429    | its connection | is whole |
      | goes on at another host | unrun:408    | its connection | is whole |
      | goes on at another host | status:409   | its connection | is reset |
      | goes on at another host | status:421   | its connection | is reset |
      | goes on at another host | unrun:409    | its connection | is whole |
      | goes on at another host | unrun:421    | its connection | is whole |
      | goes on at another host | status:404   | its connection | is reset |
      | goes on at another host | status:200   | a length       | is reset |
      | goes on at another host | status:200   | chunks         | is reset |
      | goes on at another host | status:200   | its connection | is reset |
      | goes on at another host | unsealed:200 | its connection | is reset |
      | goes on at another host | foreign      | its connection | is reset |

  # Guards against an answer that is no rest of the stream and looks like one
  # to the caller that takes it up.
  Scenario Outline: a stream that is taken up and meets only <answer> <ends>
    Given whole hosts whose runners stream 6 events
    When a stream is taken up by its caller and all runners answer <answer>
    Then for its caller the stream <ends>

    Examples:
      | answer                              | ends            |
      | status:500                          | is answered 500 |
      | unsealed:500                        | is answered 502 |
      | status:503                          | is answered 502 |
      | status:429                          | is answered 502 |
      | unsealed:503                        | is answered 502 |
      | unrun:503                           | is answered 503 |
      | unrun:429                           | is answered 503 |
      | unrun:421                           | is answered 503 |
      | unrun:409                           | is answered 503 |
      | status:409                          | is answered 409 |
      | status:421                          | is answered 502 |
      | status:404                          | is answered 404 |
      | status:200                          | is answered 502 |
      | unsealed:200                        | is answered 502 |
      | foreign                             | is answered 502 |
      | bytes:nothing                       | is answered 502 |
      | bytes:an error text                 | is answered 502 |
      | bytes:an event that is not the next | is answered 502 |

  # Guards against a parser of HTTP that takes the bytes of one answer for
  # those of another.
  Scenario Outline: a stream over HTTP that breaks off <where> and meets <what>, framed by <frame>, <ends>
    Given a runner whose stream breaks off <where>
    And the next runner answers <what>, framed by <frame>
    When its caller reads the stream over HTTP
    Then for its caller the stream <ends>

    Examples:
      | where                              | what                     | frame          | ends     |
      | short of its length                | the rest                 | chunks         | is whole |
      | between chunks                     | the rest                 | chunks         | is whole |
      | within a chunk                     | the rest                 | chunks         | is whole |
      | with a head within its length      | the rest                 | chunks         | is whole |
      | with a head between chunks         | the rest                 | chunks         | is whole |
      | with a head within a chunk         | the rest                 | chunks         | is whole |
      | with a head in a chunk of its own  | the rest                 | chunks         | is whole |
      | with a head in a body of no length | the rest                 | chunks         | is whole |
      | between chunks                     | the rest                 | a length       | is whole |
      | between chunks                     | the rest                 | its connection | is whole |
      | between chunks                     | an error                 | a length       | is reset |
      | between chunks                     | an error                 | chunks         | is reset |
      | between chunks                     | an error                 | its connection | is reset |
      | between chunks                     | an error without an echo | a length       | is reset |
      | between chunks                     | an error without an echo | chunks         | is reset |
      | between chunks                     | an error without an echo | its connection | is reset |
      | between chunks                     | a plain body             | a length       | is reset |
      | between chunks                     | a plain body             | chunks         | is reset |
      | between chunks                     | a plain body             | its connection | is reset |

  # Guards against taking a closed connection for the end of another host's
  # answer, which hosts always frame.
  Scenario: a stream from another host that ends with its connection is reset
    Given whole hosts whose runners stream 6 events
    When a stream is handed over and ends with its connection behind event 3
    Then for its caller the stream is reset
