Feature: A peer that reads slowly keeps its connection, a dead one loses it
  Real sockets with small buffers, in real time: all connections at once. A
  dead peer drops whatever comes to it. Requests to runners and to the store,
  and those that hosts hand to one another, go the same way.

  # Guards against answers and requests cut as their reader's window is closed
  # for longer than the user timeout.
  Scenario Outline: <what> to a peer that <reads> comes whole
    When connections with real sockets are played
    Then <what> to a peer that <reads> is whole

    Examples:
      | what                           | reads                           |
      | a plain answer                 | reads at once                   |
      | a plain answer                 | reads a little every half second |
      | a plain answer                 | stops for 6 s                   |
      | an answer that fits the kernel | reads a little every half second |
      | an answer that fits the kernel | stops for 6 s                   |
      | an answer that closes          | reads a little every half second |
      | an answer that closes          | stops for 6 s                   |
      | a stream                       | reads a little every half second |
      | a stream                       | stops for 6 s                   |
      | a long request                 | reads a little every half second |
      | a long request                 | stops for 6 s                   |

  # Guards against dead peers and silent paths that hold requests for minutes.
  Scenario Outline: <what> to a peer that <dies> is given up within <most> s
    When connections with real sockets are played
    Then <what> to a peer that <dies> is given up 2.5 s to <most> s later

    Examples:
      | what           | dies                      | most |
      | a stream       | dies with bytes in flight | 5.5  |
      | a stream       | dies with a closed window | 9    |
      | a long request | dies with bytes in flight | 5.5  |
      | a long request | dies with a closed window | 9    |

  # Guards against connections held for ever by callers that read nothing.
  Scenario Outline: <what> to a peer that never reads ends within <most> s
    When connections with real sockets are played
    Then <what> to a peer that never reads is not whole and gone after <most> s

    Examples:
      | what                           | most |
      | a plain answer                 | 9    |
      | an answer that fits the kernel | 9    |
      | an answer that closes          | 9    |
      | a stream                       | 20   |
      | a long request                 | 15   |

  # Guards against small requests that wait, and memory that grows, behind many
  # slow readers.
  Scenario: 20 callers that read nothing for 6 s delay no one else
    When 20 callers stop while they get 5 MB each, and 30 get 100 bytes, within 20 MB
    Then those of 100 bytes have them within 2 s
    And no more than 20 MB were held, and an answer is whole or reset

  Scenario Outline: a connection whose kernel tells <what> is <verdict>
    Then a connection that has waited for <age> s is <verdict> if the kernel tells <unacked> <probes> <notsent> <last_ack>

    Examples:
      | what                                  | age | unacked | probes | notsent | last_ack | verdict   |
      | that all is confirmed                 | 2   | 0       | 0      | 0       | 9        | confirmed |
      | of answered probes                    | 9   | 0       | 0      | 9000    | 2.9      | move on   |
      | of one probe on its way               | 9   | 0       | 1      | 9000    | 3.1      | move on   |
      | of data taken by a shrinking window   | 9   | 3       | 0      | 9000    | 0.3      | move on   |
      | of no answer since the bytes came     | 2   | 3       | 0      | 0       | 8        | wait      |
      | of one lost probe                     | 20  | 0       | 1      | 9000    | 4.5      | move on   |
      | of two lost probes                    | 20  | 0       | 2      | 9000    | 6.5      | dead      |
      | of segments in flight without receipt | 20  | 3       | 0      | 0       | 4.5      | dead      |
      | nothing                               | 9   | none    | 0      | 0       | 0        | confirmed |
