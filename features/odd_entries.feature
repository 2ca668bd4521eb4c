Feature: An odd entry of another writer costs only itself

  # Guards against a store call without a result, after which a host follows
  # the list no more.
  Scenario Outline: a <call> with an entry of <depth> nested <kind> has a result
    When a <call> brings an entry of <depth> nested <kind> between two others
    Then the call has one result with all three entries within 5 s
    And the entry can be read without its deep value

    Examples:
      | call  | depth  | kind    |
      | list  | 5000   | arrays  |
      | list  | 5000   | objects |
      | list  | 200000 | arrays  |
      | list  | 200000 | objects |
      | watch | 5000   | arrays  |
      | watch | 200000 | objects |

  # Guards against one text that hides all entries of a list or a watch, so
  # that hosts send to runners that are gone.
  Scenario Outline: a <call> with an entry whose <place> has <odd> has the others
    When a <call> brings an entry whose <place> has <odd>, at each position
    Then each call has one result with all sound entries

    Examples:
      | call  | place | odd                     |
      | list  | note  | half a surrogate pair   |
      | list  | note  | the other half          |
      | list  | note  | an unknown escape       |
      | list  | note  | bytes that are no UTF-8 |
      | list  | note  | a control character     |
      | list  | key   | half a surrogate pair   |
      | list  | key   | bytes that are no UTF-8 |
      | list  | name  | half a surrogate pair   |
      | list  | name  | bytes that are no UTF-8 |
      | watch | note  | half a surrogate pair   |
      | watch | note  | bytes that are no UTF-8 |
      | watch | key   | an unknown escape       |
      | watch | name  | half a surrogate pair   |

  # Guards against pages behind one that has only odd entries.
  Scenario: a page of odd entries alone hides no page behind it
    When the first of two pages of a list has odd entries alone
    Then the call has the sound entry of the second page

  Scenario: a stage reply with half a surrogate pair has its other pieces
    When a runner's answer for three pieces has "note \ud83d" as the second
    Then the first and the third have their handles, the second is error

  # Guards against a host that waits forever for the result of its own write.
  Scenario: a write whose answer is nested too deep has a result
    When the store answers a write with 5000 nested arrays
    Then the call has one result, ok with its revision

  Scenario: a store call that raises an unforeseen error has a result
    When a store call raises an unforeseen error
    Then the call has one result, unavailable, and the error is logged

  # Guards against one entry that hides all others, and against versions that
  # no peer can be told.
  Scenario Outline: a <call> with an entry of revision <revision> has the others
    When a <call> brings an entry of revision <revision> between two others
    Then the call has one result with the two others

    Examples:
      | call  | revision        |
      | list  | 400 digits      |
      | list  | 5000 digits     |
      | list  | 281474976710656 |
      | list  | -1              |
      | list  | "text"          |
      | watch | 400 digits      |
      | watch | 281474976710656 |
      | watch | null            |

  Scenario Outline: a store at revision <revision> is unavailable for a <call>
    When a <call> finds the store at revision <revision>
    Then the call ends as unavailable

    Examples:
      | call  | revision        |
      | list  | 400 digits      |
      | list  | 5000 digits     |
      | watch | 281474976710656 |
      | watch | -1              |

  Scenario Outline: a write with revision <revision> in its answer is done
    When a write is answered with revision <revision>
    Then the call has one result, ok with revision <read>

    Examples:
      | revision        | read            |
      | 281474976710655 | 281474976710655 |
      | 281474976710656 | 0               |
      | 400 digits      | 0               |
      | -1              | 0               |

  # Guards against a list that never comes, and against versions beyond the 64
  # bits of the fields in which peers are told of them.
  Scenario Outline: a store of era <era> is read as of era <read>
    When a list comes from a store of era <era>
    Then the call has one result, ok of era <read>

    Examples:
      | era         | read  |
      | 7           | 7     |
      | 32767       | 32767 |
      | 32768       | 0     |
      | 400 digits  | 0     |
      | 5000 digits | 0     |
      | -1          | 0     |

  # Guards against an OverflowError for each request of a service, and against
  # starts that no peer can be told.
  Scenario Outline: a runner whose <field> is <value> costs only itself
    When the runners of a list are sound but for one whose <field> is <value>
    Then the others are known, and the entry has a problem in plain words

    Examples:
      | field | value                |
      | slots | 400 digits           |
      | slots | 5000 digits          |
      | slots | 10000000000000       |
      | slots | 1e400                |
      | born  | 400 digits           |
      | born  | 9223372036854775808  |
      | born  | -9223372036854775809 |
      | born  | 5000 arrays          |

  # Guards against an OverflowError in place of a runner.
  Scenario Outline: a remaining cold time of <value> names a runner
    When a runner's remaining cold time is <value>
    Then the runner is known with the cold time <read>

    Examples:
      | value       | read |
      | 1500        | 1.5  |
      | 1500.5      | 1.5005 |
      | -3          | 0    |
      | 400 digits  | none |
      | 5000 digits | none |
      | 1e300       | none |
      | 1e400       | none |
      | true        | none |
      | "soon"      | none |
      | 5000 arrays | none |

  # Guards against configurations in force that no request can be served by.
  Scenario Outline: a configuration with <value> at <place> is refused
    When the configuration gets <value> at <place>
    Then the valid one stays in force and the problem is noted

    Examples:
      | value               | place                            |
      | 400 digits          | version                          |
      | 9223372036854775808 | version                          |
      | 1e300               | routes/0/timeoutMs               |
      | 1e300               | routes/0/targetLatencyMs         |
      | 1e300               | routes/0/targetGapMs             |
      | 400 digits          | routes/0/priority                |
      | 2147483648          | routes/0/priority                |
      | 400 digits          | routes/0/attempts                |
      | 1e308               | routes/0/split/0/weight          |
      | 1e308               | routes/0/stages/0/bytes          |
      | 400 digits          | routes/0/stages/2/after/0        |
      | 3                   | routes/0/stages/2/after/0        |
      | -1                  | routes/0/stages/2/after/0        |
      | 400 digits          | services/1/pieces/batch          |
      | 1e308               | services/1/pieces/callMs         |
      | 1e308               | services/1/pieces/itemMs         |
      | 1e308               | services/1/pieces/headroomMb     |
      | 1e308               | services/1/pieces/handleS        |
      | 1e308               | services/0/coldStartS            |
      | 1e308               | services/0/coldPerS              |
      | 400 digits          | limits/headerBytes               |
      | 400 digits          | limits/bodyBytes                 |
      | 1e308               | limits/idleTimeoutMs             |
      | 2147483648          | tenants/0/priority               |

  Scenario Outline: an engine object <content> gives <engine> at odd numbers
    When the engine of a service is <content>
    Then its engine is read as <engine>

    Examples:
      | content                                      | engine |
      | {"kvCacheTokens": @400 digits@}              | none   |
      | {"kvCacheTokens": 1e400}                     | none   |
      | {"kvCacheTokens": 1e30}                      | none   |
      | {"kvCacheTokens": 5, "slots": @400 digits@}  | 5      |
      | {"kvCacheTokens": 5, "slots": 1e400}         | 5      |
      | {"kvCacheTokens": 5, "slots": @5000 arrays@} | 5      |

  # Guards against sound results of a call that are given up for an odd one,
  # and against errors that end the call's bookkeeping.
  Scenario Outline: a stage reply whose second item is <item> keeps the others
    When a runner's answer for three pieces has <item> as the second
    Then the first and the third have their handles, the second is <result>

    Examples:
      | item                        | result |
      | {"handle": 400 digits}      | error  |
      | {"handle": 5000 arrays}     | error  |
      | {"handle": true}            | error  |
      | 200000 arrays               | error  |
      | null                        | error  |
      | {"handle": "c/1", "x": 5000 arrays} | made |

  Scenario Outline: a <message> with <value> raises the typed error
    When a runner's <message> has <value>
    Then the dialect raises the typed error

    Examples:
      | message     | value         |
      | stage reply | 400 digits    |
      | report      | 5000 arrays   |
      | report      | 400 digits    |
      | report      | 1e300         |
      | report      | NaN           |

  # Guards against addresses that can be read but not connected to.
  Scenario Outline: the address <address> is refused
    Then the address <address> is refused in plain words

    Examples:
      | address             |
      | "10.0.1.1:80\n"     |
      | "10.0.1.1:8\u0660"  |
      | "10.0.1.\u0661:80"  |
      | "\uff11.0.1.1:80"   |
      | "10.0.1.1:80 "      |
      | "10.0.1.1:65536"    |
      | "10.0.1.1:0"        |
      | @5000 digits@       |

  # Guards against decoders of the product's own nodes that raise another
  # error than their callers expect.
  Scenario Outline: a <message> whose <field> is <value> raises the typed error
    When a node reads a <message> whose <field> is <value>
    Then it gets the typed error

    Examples:
      | message       | field         | value               |
      | call          | extra         | 5000 arrays         |
      | call          | deadline_ms   | 400 digits          |
      | call          | priority      | 400 digits          |
      | call          | resume_from   | 400 digits          |
      | result        | extra         | 5000 arrays         |
      | result        | seq           | 400 digits          |
      | end of result | busy_s        | 1e300               |
      | end of result | count         | 400 digits          |
      | order         | extra         | 5000 arrays         |
      | order         | fencing       | 9223372036854775808 |
      | order         | expires_wall  | 1e300               |
      | load          | extra         | 5000 arrays         |
      | load          | slots         | 400 digits          |
      | load          | running       | 400 digits          |
      | load          | age_s         | 1e300               |
      | load          | state_version | 9223372036854775808 |
      | event         | extra         | 5000 arrays         |
      | event         | seq           | 400 digits          |
      | end           | retry_after_s | 1e300               |
      | write         | extra         | 5000 arrays         |
      | write         | expected_version | 400 digits       |
      | write         | expected_era  | 400 digits          |
      | address list  | extra         | 5000 arrays         |

  Scenario Outline: a store result whose <field> is <value> is unavailable
    When a node reads a store result whose <field> is <value>
    Then it reads it as unavailable

    Examples:
      | field    | value           |
      | extra    | 5000 arrays     |
      | extra    | 200000 arrays   |
      | revision | 281474976710656 |
      | revision | -1              |
      | revision | 400 digits      |
      | era      | 32768           |
      | era      | 400 digits      |
      | version  | 400 digits      |
      | version  | -1              |

  # Guards against one odd entry that keeps a host from the others of its kind:
  # the results of these lists are handled as a whole.
  Scenario Outline: an odd entry of <kind> hides no other: <entry>
    When the store lists <kind> with the odd entry <entry> and a sound one
    Then the sound entry of <kind> is read

    Examples:
      | kind            | entry                                      |
      | hosts           | {"peers": @200000 arrays@}                 |
      | hosts           | {"peers": @400 digits@}                    |
      | refused parts   | {"service": "s", "part": @200000 arrays@}  |
      | stream versions | {"era": 0, "sinceMs": 1, "versions": {"a": null}, "x": @200000 arrays@} |
      | stream versions | {"era": 0, "sinceMs": @400 digits@, "versions": {"a": null}} |
      | stream versions | {"era": 0, "sinceMs": 1, "versions": {"a": @400 digits@}} |
      | streams         | [["a", "w", "s", "v", 1, @200000 arrays@]] |
      | streams         | [["a", "w", "s", "v", @400 digits@]]       |

  Scenario: an odd stream of a group hides no other of the group
    When the store lists a group with an odd stream and a sound one
    Then the sound entry of streams is read

  Scenario: a group of streams with an odd name hides no other
    When the store lists a group of streams whose name has 5000 digits
    Then the sound entry of streams is read

  Scenario Outline: a claim bucket or lease that is nested too deep is damaged
    Then a <object> with 200000 nested arrays reads as damaged

    Examples:
      | object |
      | bucket |
      | lease  |

  # Guards against one item that keeps a frame's sound ones from being sent, or
  # from being read and the connection from staying open.
  Scenario Outline: an item of <message> with an odd <what> costs no other
    When a host sends <message> with an item of odd <what> between two others
    Then its peer reads the two others

    Examples:
      | message         | what          |
      | leaving runners | start         |
      | leaving runners | name          |
      | cold runners    | start         |
      | cold runners    | name          |
      | limits          | start         |
      | crashes         | start         |
      | streams         | name          |
      | members         | incarnation   |

  Scenario Outline: a peer's frame of <message> with <defect> has the others
    When a peer's frame of <message> has an item with <defect> between others
    Then its peer reads the two others

    Examples:
      | message         | defect            |
      | leaving runners | a name in Latin-1 |
      | cold runners    | a name in Latin-1 |
      | limits          | a name in Latin-1 |
      | crashes         | a name in Latin-1 |
      | streams         | a name in Latin-1 |
      | members         | a name in Latin-1 |
      | members         | an odd status     |

  # Guards against sound evidence of crashes that is lost with an odd item.
  Scenario Outline: crash news with an odd <field> keep the sound items
    When a peer tells of three crashes, the second with an odd <field>
    Then the host has evidence of the two others

    Examples:
      | field      |
      | age_s      |
      | ran_s      |
      | started_ms |
      | runner     |

  # Guards against one group that ends the calls of all groups at its owner.
  Scenario Outline: a group whose <field> is <value> costs its owner no other
    Given a host that owns a stage service
    When it is asked for a group whose <field> is <value>, then for another
    Then the other group is made

    Examples:
      | field        | value |
      | deadline_s   | nan   |
      | deadline_s   | inf   |
      | deadline_s   | 1e308 |
      | target_s     | nan   |
      | result_bytes | nan   |
      | result_bytes | inf   |

  # Guards against queueing times that no later ones replace.
  Scenario Outline: queueing times whose <field> is nan are passed over
    Given a host that owns a stage service
    When it is told of queueing times whose <field> is nan, then of others
    Then the other queueing times are known

    Examples:
      | field       |
      | age_s       |
      | late_wait_s |
      | call_s      |

  # Guards against a caller that goes by no address list, or tries addresses
  # that can't be connected to, for one odd item.
  Scenario Outline: a caller's address list with <item> has the other addresses
    When a caller's client reads an address list with <item>
    Then it goes by the two other addresses

    Examples:
      | item                                        |
      | {"host": "x", "address": @400 digits@, "failure_domain": "n"} |
      | {"host": "x", "address": "a:b", "failure_domain": "n"} |
      | {"host": "x", "address": "10.0.0.3:80\n", "failure_domain": "n"} |
      | {"host": "x"}                               |
      | null                                        |

  # Guards against a request of a caller that ends with an error of the
  # library instead of an answer.
  Scenario Outline: a caller's request refused with <body> ends as not run
    When a caller's request is refused with <body>
    Then the caller's answer is not run

    Examples:
      | body                         |
      | [1]                          |
      | 5                            |
      | {"title": @200000 arrays@}   |
      | not JSON                     |

  # Guards against choices among hosts that raise an error at each request, and
  # against a host whose own record no longer fits into a frame.
  Scenario Outline: a record of a host with <field> <value> is passed over
    Given a host that knows no other
    When a peer tells it of two hosts, the first with <field> <value>
    Then it knows the second one alone

    Examples:
      | field       | value |
      | capacity    | nan   |
      | capacity    | inf   |
      | capacity    | 0     |
      | capacity    | -1    |
      | capacity    | 1e308 |
      | incarnation | 9223372036854775807 |

  Scenario: a record of a host itself from the far future is passed over
    Given a host that knows no other
    When a peer tells it of itself with incarnation 9223372036854775807
    Then its own record can still be told to others

  # Guards against a host that no longer probes others, as one of them told an
  # address that can't be connected to.
  Scenario: a message to an odd address keeps no other from being sent
    Given 5 relay hosts whose store answers
    When host 0 sends to a peer of an odd address, then to host 1
    Then host 1 gets the message and host 0 has counted the error

  # Guards against results that stay in the runners' storage, as the release of
  # one whose handle names no address raises an error.
  Scenario Outline: a handle <handle> keeps no other result from being freed
    Given a host that owns a stage service
    When it is to free the result <handle>, then one of a runner
    Then the runner is asked to free its result

    Examples:
      | handle        |
      | odd/1         |
      | 10.0.0.1:x/1  |
      | /1            |
