Feature: Stage runners that crash take no sound runner's work with them
  One host batches the pieces of a stage service for all hosts. Several of the
  service's runners crash at one moment and take no connection for a while.

  Scenario Outline: <crashed> of 10 stage runners crash under load
    # Guards against an owner that takes the crash of some runners for the loss
    # of all: it gave all its groups away, and the other hosts, each with calls
    # of its own, filled the runners' queues.
    Given 6 hosts and 10 stage runners that take 8 pieces a call
    When 40 staged requests a second are sent for 6 s
    And <crashed> of the stage runners crash after 2 s, for 3 s
    Then the owner gives no group away
    And at least 0.97 of the requests are answered

    Examples:
      | crashed |
      | 2       |
      | 3       |

  Scenario: pieces that met no listening runner use up no repeats
    # Guards against requests refused for a runner that never got their pieces.
    Given 6 hosts and 10 stage runners that take 8 pieces a call
    And the budget allows no repeats
    When 40 staged requests a second are sent for 4 s
    And 2 of the stage runners are gone from the start
    Then at least 0.99 of the requests are answered

  Scenario: all stage runners crash
    # Guards against an owner that keeps groups which it can't have made.
    Given 6 hosts and 10 stage runners that take 8 pieces a call
    When 40 staged requests a second are sent for 4 s
    And 10 of the stage runners crash after 2 s, for 9 s
    Then every request sent later than 1 s after that is refused within 0.5 s

  Scenario Outline: stage runners start again and count their results anew, hosts hear of it <lag> s later
    # Guards against handles of an ended start that are given to the next stage
    # or the main call while the new start has given them to other requests.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And all hosts but the owner hear of each start <lag> s later
    Then no piece and no request gets a result of another request
    And nobody frees a result of a start that is not its own
    And at least 0.6 of the requests are answered

    Examples:
      | lag |
      | 0   |
      | 1   |

  Scenario Outline: stage runners start again and count their results anew while the store is <away>
    # Guards against results of two starts that are taken for those of one, as
    # hosts know of a start from the runner's entry alone.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And <hearing>
    Then no piece and no request gets a result of another request
    And nobody frees a result of a start that is not its own
    And at least 0.6 of the requests are answered

    Examples:
      | away | hearing                                           |
      | away | no host hears of the starts, as the store is away |
      | late | the hosts hear of each start 1.5 s later          |

  Scenario Outline: stage runners whose clocks are set back start again, hosts hear of it <when>
    # Guards against starts that are put in order: results of the new start
    # were dropped, those of the one before were used.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    And runners whose clocks are set back before each start
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And <hearing>
    Then no piece and no request gets a result of another request
    And nobody frees a result of a start that is not its own
    And at least 0.6 of the requests are answered

    Examples:
      | when    | hearing                                              |
      | at once | the hosts hear of each start 0 s later               |
      | late    | all hosts but the owner hear of each start 1 s later |
      | never   | no host hears of the starts, as the store is away    |

  Scenario Outline: stage runners whose reports tell no start begin anew while the store is <away>
    # Guards against two starts that nothing but the end of their connections
    # tells apart.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    And runners whose reports tell no start
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And <hearing>
    Then no piece and no request gets a result of another request
    And nobody frees a result of a start that is not its own
    And at least 0.6 of the requests are answered

    Examples:
      | away     | hearing                                           |
      | in place | the hosts hear of each start 0 s later            |
      | away     | no host hears of the starts, as the store is away |
      | late     | the hosts hear of each start 1.5 s later          |

  Scenario Outline: connections to stage runners whose reports tell <start> break, and are taken again at once
    # Guards against results at work that are made again for each connection
    # that breaks, as it tells nothing of its process.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    And runners whose reports tell <start>
    When 10 staged requests come a second for 8 s
    And the connections to one runner after the other break
    Then at most 0.03 of the pieces are made twice
    And no piece and no request gets a result of another request

    Examples:
      | start       |
      | no start    |
      | their start |

  Scenario Outline: stage runners begin anew while main calls wait at their runners, hosts hear of it <when>
    # Guards against main calls that wait with handles of an ended start until
    # the next one has given them to other results.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And runners of main calls that fetch the inputs 1 s later
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And <hearing>
    Then no piece and no request gets a result of another request
    And at least 0.6 of the requests are answered

    Examples:
      | when    | hearing                                           |
      | at once | the hosts hear of each start 0 s later            |
      | never   | no host hears of the starts, as the store is away |

  Scenario Outline: stage runners begin anew while main calls that may be sent once wait at their runners, hosts hear of it <when>
    # Guards against answers made of another request's results, as a request
    # without attempts left goes on waiting with handles that are given anew.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And runners of main calls that fetch the inputs 1 s later, for requests that may be sent once
    When 12 staged requests a second are sent for 8 s while each runner starts again in turn
    And <hearing>
    Then no piece and no request gets a result of another request
    And at least 0.5 of the requests are answered

    Examples:
      | when    | hearing                                           |
      | at once | the hosts hear of each start 0 s later            |
      | never   | no host hears of the starts, as the store is away |

  Scenario: results expire before the next stage has room for what reads them
    # Guards against calls that come back without results, as pieces wait for
    # longer than their inputs live.
    Given 3 hosts and 4 stage runners that number their results from 1 at each start
    And a second stage that keeps pieces waiting
    When 16 staged requests come a second for 8 s
    And no runner starts again
    Then no piece is sent whose inputs have expired
    And at least 0.5 of the requests are answered
