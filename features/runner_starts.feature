Feature: Hosts know which process is at a runner's address
  Entries of ended processes may be listed beside those of the next ones, and
  may arrive behind them; clocks may be set back.

  # Guards against stage runners at work that count as ended for good, as a host
  # read the entry of the process before them last.
  Scenario Outline: a host that starts reads the entries of an ended process and of the next one at its address, <order>
    Given a host without entries
    When it reads the entries <order>:
      | runner | address     | born | version |
      | old    | 10.0.0.1:80 | 5    | 10      |
      | new    | 10.0.0.1:80 | 9    | 20      |
    Then at 10.0.0.1:80 results of start 9 are in use and those of 5 are over
    When the entry of "old" is removed
    Then at 10.0.0.1:80 results of start 9 are in use and those of 5 are over

    Examples:
      | order         |
      | in this order |
      | in reverse    |

  # Guards against hosts that pass on what they read in entries as if the
  # process itself had told it.
  Scenario Outline: a host that has read two starts at one address, <order>, tells other hosts of neither
    Given a host without entries
    When it reads the entries <order>:
      | runner | address     | born | version |
      | old    | 10.0.0.1:80 | 5    | 10      |
      | new    | 10.0.0.1:80 | 9    | 20      |
    Then it tells other hosts of no start that is over

    Examples:
      | order         |
      | in this order |
      | in reverse    |

  # Guards against a start at work that counts as over beside an entry whose
  # place in the order is not known.
  Scenario Outline: <what> is listed beside the entry of the process at work until it expires
    Given a host without entries
    When it reads the entries in this order:
      | runner | address     | born   | version |
      | known  | 10.0.0.1:80 | 9      | 10      |
      | other  | 10.0.0.1:80 | <born> | 20      |
    Then at 10.0.0.1:80 results of starts 9 and <born> are in use
    When the entry of "<gone>" is removed
    Then at 10.0.0.1:80 results of start <left> are in use and those of <over> are over

    Examples:
      | what                                    | born | gone  | left | over |
      | a late entry of an ended process        | 5    | other | 9    | 5    |
      | a start of a clock that was set back    | 5    | known | 5    | 9    |

  Scenario: a process tells its start while entries of two others are listed
    Given a host without entries
    When it reads the entries in this order:
      | runner | address     | born | version |
      | old    | 10.0.0.1:80 | 5    | 10      |
      | new    | 10.0.0.1:80 | 9    | 20      |
    And the process at 10.0.0.1:80 tells start 3
    Then at 10.0.0.1:80 results of start 3 are in use and those of 9 are over
    And it tells other hosts that start 3 is there and that 5 and 9 are over

  # Guards against a start at work that counts as over for 120 s, as another
  # host's connection to it broke.
  Scenario Outline: another host tells that start 9, which is listed, is over, <outage>
    Given a host without entries
    When it reads the entries in this order:
      | runner | address     | born | version |
      | new    | 10.0.0.1:80 | 9    | 20      |
    And another host tells that start 9 at 10.0.0.1:80 is over
    Then at 10.0.0.1:80 results of start 9 are over
    When <outage>
    And 6 s pass for the host
    Then at 10.0.0.1:80 results of start 9 are <state>

    Examples:
      | outage                    | state  |
      | the store can be read     | in use |
      | the store can't be read   | over   |

  # Guards against a host that takes a late entry of an ended process for the
  # next start, and passes over what the process at work writes.
  Scenario Outline: a host that knows one start alone reads a late entry of an earlier one, <after> s later
    Given a host without entries
    When it reads an entry born 9 of version "v2"
    And <after> s pass for the host
    And it reads an entry born 5 of version "v1"
    Then the runner is one of "v2", where no stream of "v1" or "v2" goes on
    When 1.2 s pass for the host
    And it reads an entry born 9 of version "v2"
    Then the runner is one of "v2", where streams of "v2" go on
    When 30 s pass for the host
    Then the runner is one of "v2", where streams of "v2" go on

    Examples:
      | after |
      | 0.5   |
      | 30    |
      | 200   |

  # Guards against an entry of another writer that shuts the runner's own out.
  Scenario Outline: an entry with a start <what> stands between two of the runner's own
    Given a host without entries
    When it reads an entry born 9 of version "v2"
    And it reads an entry born <born> of version "v1"
    And 1.2 s pass for the host
    And it reads an entry born 9 of version "v2"
    And 5 s pass for the host
    Then the runner is one of "v2", where streams of "v2" go on

    Examples:
      | what          | born             |
      | of long ago   | 1                |
      | in the future | 9000000000000000 |

  Scenario: a start of a clock that was set back counts once nothing is left at the address of the one before
    Given a host without entries
    When it reads an entry born 9 of version "v1"
    And it reads an entry born 5 of version "v2" at another address
    And 0.1 s pass for the host
    Then the runner is one of "v1", where no stream of "v1" or "v2" goes on
    When its address refuses a connection
    And 0.1 s pass for the host
    Then the runner is one of "v2", where streams of "v2" go on

  # Guards against late writes that count as the process at work can't write.
  Scenario: a late entry does not come to count while the store can't be read
    Given a host without entries
    When it reads an entry born 9 of version "v2"
    And it reads an entry born 5 of version "v1"
    And the store can't be read
    And 30 s pass for the host
    Then the runner is one of "v2", where no stream of "v1" or "v2" goes on
    When the store can be read again
    And 4.9 s pass for the host
    Then the runner is one of "v2", where no stream of "v1" or "v2" goes on
    When it reads an entry born 9 of version "v2"
    Then the runner is one of "v2", where streams of "v2" go on

  Scenario: a runner whose software version is doubtful gets new requests last
    Given a host without entries
    When it reads an entry born 9 of version "v2"
    Then new requests go to the runner
    When it reads an entry born 5 of version "v1"
    Then new requests go to the runner
    When another runner of its service is listed
    Then no new requests go to the runner

  # Guards against requests to a runner that leaves, as a heartbeat of before
  # its report is carried out behind it.
  Scenario Outline: a late entry says that a runner which <leaves> is ready
    Given a host without entries
    When it reads an entry born 9 that says ready
    And it reads an entry born 9 that says <report>
    And 2.2 s pass for the host
    And it reads an entry born 9 that says ready
    Then no request goes to it
    When 1.2 s pass for the host
    And it reads an entry born 9 that says <again>
    And 30 s pass for the host
    Then no request goes to it

    Examples:
      | leaves           | report   | again    |
      | drains           | draining | draining |
      | drains and exits | draining | nothing  |

  Scenario: a runner that was listed as draining by another writer is used again
    Given a host without entries
    When it reads an entry born 9 that says ready
    And it reads an entry born 9 that says draining
    And it reads an entry born 9 that says ready
    And 29.9 s pass for the host
    Then no request goes to it
    When 0.1 s pass for the host
    Then requests go to it

  Scenario: a runner drains for two minutes before a late entry says that it is ready
    Given a host without entries
    When it reads an entry born 9 that says ready
    And it reads an entry born 9 that says draining
    And 130 s pass for the host
    And it reads an entry born 9 that says ready
    Then no request goes to it

  Scenario: a late entry of a runner that has left says that it is ready
    Given a host without entries
    When it reads an entry born 9 that says draining
    And it reads an entry born 9 that says nothing
    And it reads an entry born 9 that says ready
    And 3.6 s pass for the host
    Then no request goes to it
    When it reads an entry born 9 that says nothing
    And 30 s pass for the host
    Then no request goes to it

  Scenario Outline: a runner that has left starts again under its name, <clock>
    Given a host without entries
    When it reads an entry born 9 that says draining
    And it reads an entry born 9 that says nothing
    And it reads an entry born <born> that says ready
    Then requests go to it

    Examples:
      | clock                      | born |
      | at once                    | 12   |
      | its clock having been back | 5    |

  # Guards against requests to a runner that leaves, as its start is earlier
  # than that of the process that left before.
  Scenario: a runner whose clock was set back says in an answer that it leaves
    Given a host without entries
    When it reads an entry born 9 that says draining
    And it reads an entry born 9 that says nothing
    And it reads an entry born 5 that says ready
    And the runner says in an answer that it leaves
    Then no request goes to it
    When it reads an entry born 5 that says ready
    And 30 s pass for the host
    Then no request goes to it

  Scenario: a runner whose entry had expired registers again
    Given a host without entries
    When it reads an entry born 9 that says ready
    And it reads an entry born 9 that says nothing
    And it reads an entry born 9 that says ready
    Then requests go to it

  # Guards against a late entry of a start that was known before and counts for
  # the next one, as its entry had expired meanwhile.
  Scenario: a late entry of a start that has expired comes to a runner whose clock was set back
    Given a host without entries
    When it reads an entry born 9 of version "v1"
    And it reads an entry born 9 that says nothing
    And it reads an entry born 5 of version "v2"
    And it reads an entry born 9 of version "v1"
    Then the runner is one of "v2", where no stream of "v1" or "v2" goes on
    When it reads an entry born 5 of version "v2"
    Then the runner is one of "v2", where streams of "v2" go on

  # Guards against a start that a process told once and that is believed long
  # after its end.
  Scenario: a process has told its start, and its connection was left before it ended
    Given a host without entries
    When it reads the entries in this order:
      | runner | address     | born | version |
      | old    | 10.0.0.1:80 | 9    | 10      |
    And the process at 10.0.0.1:80 tells start 9
    And the connection to 10.0.0.1:80 is left
    And it reads the entries in this order:
      | runner | address     | born | version |
      | new    | 10.0.0.1:80 | 5    | 20      |
    And the entry of "old" is removed
    And 5.1 s pass for the host
    Then at 10.0.0.1:80 results of start 5 are in use and those of 9 are over

  # Guards against a burst that goes to a runner in need from all hosts, as no
  # answer has named its limit for a while.
  Scenario Outline: a runner names a limit, and nothing is asked of it for <s> s
    Given a host without entries
    When it reads an entry born 9 that says ready
    And the runner names a limit of 0.5 requests a second
    And <s> s pass for the host
    Then the runner is limited
    When the runner answers without a limit
    Then the runner is not limited

    Examples:
      | s    |
      | 5    |
      | 32   |
      | 4000 |

  # Guards against a limit that is taken for old, as the start of its runner is
  # earlier than that of the one before.
  Scenario Outline: another host tells of a limit of a runner that has started again, <clock>
    Given a host without entries
    When it reads an entry born 9 that says ready
    And the runner names a limit of 0.5 requests a second
    And it reads an entry born 9 that says nothing
    And it reads an entry born <born> that says ready
    And 3 s pass for the host
    Then the runner is not limited
    When another host tells that start <born> of the runner named a limit
    Then the runner is limited

    Examples:
      | clock                      | born |
      | at once                    | 12   |
      | its clock having been back | 5    |
