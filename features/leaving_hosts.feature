Feature: A leaving host takes on only what it can finish
  Hosts on one virtual clock get a signal to leave. Each request that comes
  then, or waits, has a whole answer, or a refusal that is true, in time.

  Scenario Outline: grace <grace>: a <kind> that comes <at> s into it <way> and takes <work> s is <outcome>
    Given a host with <grace> s to leave
    When it leaves and a <kind> of <work> s comes <at> s later <way>
    Then the <kind> is <outcome> before the host ends

    Examples: a request that would outlast the host is refused at once
      | grace | kind    | work | at   | way                   | outcome |
      | 8     | stream  | 5    | 4    | behind a stream       | refused |
      | 8     | once    | 3.9  | 4    | behind a stream       | refused |
      | 8     | safe    | 3.9  | 4    | behind a stream       | refused |
      | 8     | staged  | 5    | 4    | behind a stream       | refused |
      | 8     | take-up | 5    | 4    | behind a stream       | refused |
      | 8     | once    | 3.9  | 4    | behind a short answer | refused |
      | 8     | once    | 3.9  | 4    | pipelined             | refused |
      | 8     | once    | 3.9  | 4.5  | as a late body        | refused |
      | 8     | stream  | 7    | 2    | on a new connection   | refused |
      | 8     | once    | 3.9  | 7.45 | behind a stream       | refused |
      | 3     | once    | 2.9  | 0.5  | behind a stream       | refused |
      | 3     | stream  | 2.9  | 0.5  | on a new connection   | refused |
      | 3     | staged  | 2.9  | 0.5  | on a new connection   | refused |
      | 30    | once    | 3.9  | 26   | behind a stream       | refused |
      | 30    | take-up | 7    | 24   | behind a stream       | refused |

    Examples: a request that its time limit ends before the host is served
      | grace | kind    | work | at  | way                   | outcome |
      | 8     | once    | 3.5  | 3   | behind a stream       | served  |
      | 8     | safe    | 1    | 2   | on a new connection   | served  |
      | 8     | once    | 1    | 3   | pipelined             | served  |
      | 8     | once    | 1    | 3   | as a late body        | served  |
      | 30    | stream  | 7    | 20  | behind a stream       | served  |
      | 30    | staged  | 5    | 5.5 | on a new connection   | served  |
      | 30    | once    | 3.5  | 5.5 | on a new connection   | served  |

  Scenario Outline: grace <grace>: a short <kind> that comes <at> s into it is served as the ones before
    Given a host with <grace> s to leave
    And <kind> requests that have taken <work> s
    When it leaves and a <kind> of <work> s comes <at> s later behind a stream
    Then the <kind> is served before the host ends

    Examples:
      | grace | kind    | work | at  |
      | 3     | once    | 0.1  | 2   |
      | 3     | stream  | 0.5  | 1   |
      | 3     | take-up | 0.5  | 1   |
      | 8     | once    | 0.1  | 2.9 |
      | 8     | stream  | 1    | 2.9 |
      | 8     | take-up | 1    | 2.9 |
      | 8     | staged  | 1    | 2.9 |
      | 8     | safe    | 0.1  | 7   |
      | 30    | safe    | 0.1  | 29  |

  # Guards against streams and unrepeatable requests cut by the end of a host
  # that took them late, since those before them were short.
  Scenario Outline: grace <grace>: a <kind> of <work> s that comes <at> s into it behind ones of <usual> s is <outcome>
    Given a host with <grace> s to leave
    And <kind> requests that have taken <usual> s
    When it leaves and a <kind> of <work> s comes <at> s later <way>
    Then the <kind> is <outcome> before the host ends

    Examples: three to five times as long
      | grace | kind    | usual | work | at   | way             | outcome      |
      | 5     | stream  | 0.5   | 2    | 3.2  | behind a stream | refused      |
      | 5     | once    | 0.4   | 1.6  | 3.2  | behind a stream | refused      |
      | 8     | stream  | 1     | 4.8  | 4.2  | behind a stream | refused      |
      | 8     | take-up | 1     | 3.5  | 4.2  | behind a stream | refused      |
      | 8     | staged  | 1     | 3.5  | 4.2  | behind a stream | refused      |
      | 8     | once    | 1     | 3.5  | 4.2  | behind a stream | refused      |
      | 8     | stream  | 1     | 4.8  | 4.2  | pipelined       | refused      |
      | 8     | once    | 1     | 3.5  | 4.6  | as a late body  | refused      |
      | 14    | stream  | 1     | 5    | 9    | behind a stream | refused      |
      | 14    | staged  | 1     | 5    | 9    | behind a stream | refused      |
      | 30    | stream  | 1     | 5    | 25   | behind a stream | refused      |
      | 30    | once    | 1     | 3.5  | 27.3 | behind a stream | refused      |

    Examples: as long as those before, which is no promise
      | grace | kind    | usual | work | at   | way             | outcome      |
      | 8     | once    | 0.1   | 0.1  | 7    | behind a stream | refused      |
      | 8     | stream  | 1     | 1    | 5.5  | behind a stream | refused      |
      | 8     | take-up | 1     | 1    | 5.5  | behind a stream | refused      |

    Examples: one that may be repeated has a whole answer in any case
      | grace | kind    | usual | work | at   | way             | outcome      |
      | 8     | safe    | 1     | 3.5  | 4.2  | behind a stream | answered 504 |
      | 30    | safe    | 1     | 3.5  | 27.3 | behind a stream | answered 504 |

  Scenario Outline: grace <grace>: a <kind> that waits <where> as the host ends is <outcome>
    Given a host with <grace> s to leave
    And a <kind> that waits <where>
    When the host leaves and its time is over
    Then the <kind> is <outcome> before the host ends

    Examples:
      | grace | kind    | where              | outcome      |
      | 3     | once    | at a runner        | answered 504 |
      | 3     | safe    | at a runner        | answered 504 |
      | 3     | stream  | before its events  | answered 504 |
      | 3     | stream  | between its events | broken off   |
      | 3     | staged  | for its stages     | refused      |
      | 3     | once    | for its body       | refused      |
      | 3     | once    | for its head       | refused      |
      | 8     | stream  | between its events | broken off   |

  Scenario Outline: a <kind> that would be cut if it were sent again is <outcome> at once
    Given a host with 3 s to leave
    When it leaves and the runner of a <kind> <fails> 1 s later
    Then the <kind> ends up <outcome> within 0.2 s

    Examples:
      | kind   | fails                      | outcome      |
      | safe   | resets                     | answered 502 |
      | stream | resets                     | answered 502 |
      | stream | breaks off behind an event | broken off   |
      | once   | turns it away              | refused      |

  Scenario: requests on kept connections cost callers nothing while a host leaves in calm
    Given a host with 8 s to leave
    And once requests that have taken 0.1 s
    When it leaves while 20 callers send requests of 0.1 s every 0.3 s on kept connections
    Then each request is served, and no connection closes without notice

  # Guards against requests lost where a planned stop meets other planned work.
  Scenario Outline: a host leaves beside <what>, and kept connections cost nothing
    Given a host with 8 s to leave
    And once requests that have taken 0.1 s
    And <what> in series
    When it leaves while 20 callers send requests of 0.1 s every 0.3 s on kept connections
    Then each request is served, and no connection closes without notice

    Examples:
      | what           |
      | configurations |
      | limits         |
      | reloads        |

  Scenario: all requests that a caller has pipelined are answered
    Given a host with 8 s to leave
    When it leaves and a caller pipelines 5 requests behind a stream
    Then it gets 5 answers and only the last one says that the connection closes

  Scenario: a second signal and new settings don't change when a leaving host ends
    Given a host with 8 s to leave
    And a once that waits at a runner
    When the host leaves, is told again after 2 s and reads settings with 30 s
    Then the host ends within 8 s of the first signal

  Scenario: settings read before the signal count
    Given a host with 30 s to leave
    And a stream that waits between its events
    When the host reads settings with 3 s and leaves
    Then the host ends within 3 s of the first signal

  Scenario: a host that is late to notice the signal counts from when it came
    Given a host with 3 s to leave
    And a once that waits at a runner
    When the host notices the signal after 1 s
    Then the host ends within 2 s of the first signal

  # Guards against memory that grows with each new name of a route.
  Scenario: the times of answers are remembered of the latest routes alone
    When answers of 5000 routes are recorded
    Then the times of 2000 are remembered, the latest among them

  Scenario: a request that another host hands to a leaving one is served elsewhere
    Given 3 hosts with 8 s to leave, the first without runners
    When the second leaves unknown to the first, which is asked 6 times
    Then all 6 are served

  # Guards against streams cut at a helper that leaves, though their callers'
  # own host stays.
  Scenario Outline: a <kind> that another host hands to a leaving one <at> s into it is served whole elsewhere
    Given 3 hosts with 8 s to leave, the first without runners
    And the second has answered <kind> requests within 1 s
    When the second leaves unknown to the first, and <kind> requests of 3.5 s are handed on <at> s later
    Then all of them are whole and have run once

    Examples:
      | kind   | at |
      | stream | 5  |
      | once   | 5  |
      | staged | 5  |

  Scenario: a request that was handed to a host is given back as that one ends
    Given 3 hosts with 3 s to leave, the first without runners
    When the host that got its staged request leaves before the stages are done
    Then the request is served once

  Scenario Outline: pieces that no runner has got leave with no host, the owner <how>
    Given 4 hosts with 8 s to leave and stage runners
    When the owner of the stage <how> while 12 staged requests wait
    Then all of them are served and no piece is made twice

    Examples:
      | how                        |
      | leaves                     |
      | leaves unknown to the rest |

  Scenario: hosts leave in turn, down to the last but one
    Given 4 hosts with 8 s to leave and stage runners
    When 3 of them leave in turn while callers keep their connections
    Then no request is lost, and those refused are served elsewhere
