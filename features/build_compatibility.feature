Feature: Hosts of two builds understand each other during a replacement
  Hosts are replaced one after another, so that builds run side by side. The
  frames, definitions and entries of a released build are kept in
  features/data; they are never changed, a later build gets its own file.

  # Guards against a change after which a host can't read an earlier build's.
  Scenario: frames of every type as build d82aa1b encodes them are read
    Given what build "d82aa1b" writes and reads
    Then it has a frame of each of its message types
    And each frame decodes to the values that were encoded
    And its receipt of a frame is read

  # Guards against frames that the earlier build discards or misreads: fields
  # that changed their number or type, missing values, unknown enum values.
  Scenario: build d82aa1b reads what this build writes
    Given what build "d82aa1b" writes and reads
    Then each of its fields keeps its number and type
    And no value that it requires may be missing
    And fields that are new have types that it can skip
    And enumerations have only the values that it knows
    And frames are no longer than it accepts

  # Guards against requests that one build hands over and the other declines
  # as damaged, or a declined one taken for an answer.
  Scenario: requests handed over between the builds
    Given what build "d82aa1b" writes and reads
    Then its hop is read and leaves nothing in the caller's request
    And this build's hop has all of its headers in the same form
    And its answer that declines is recognized, and so is this build's

  # Guards against hosts that find no peer, or send a part that crashes
  # runners, after all hosts of a mixed fleet have restarted.
  Scenario: entries in the store are shared by the builds
    Given what build "d82aa1b" writes and reads
    Then its entry of a host is read, and this build writes the same
    And its entry of a refused part is read, and this build writes the same

  # Guards against refusals of all take-ups at hosts of this build while the
  # others are of the earlier one, whose answers don't say what they remember.
  Scenario Outline: an answer of build d82aa1b from a host that started <age> s ago
    Given a host of this build that has just started
    When a host of build "d82aa1b" that started <age> s ago answers it
    Then the only version is <taken>

    Examples:
      | age | taken     |
      | 100 | taken     |
      | 20  | not taken |
