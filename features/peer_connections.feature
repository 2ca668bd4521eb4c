Feature: Connections between hosts notice silence
  A host's connections to one peer, on a virtual clock.

  Background:
    Given a host that sends messages to a peer

  Scenario: a message on a silent connection arrives over a new one
    When a message is sent and arrives
    And its connection falls silent
    And 3 messages are sent
    Then all messages have arrived in order within 0.5 s
    And the host has noticed 1 silent connection

  Scenario: messages on a connection that is closed arrive over a new one
    When a message is sent and arrives
    And 3 messages are sent while the connection is reset
    Then all messages have arrived in order within 0.5 s

  Scenario: an idle connection is not replaced
    When a message is sent and arrives
    And 10 s of silence pass
    Then 1 connection was opened

  Scenario: each message arrives once while all is well
    When 200 messages are sent in 2 s
    Then each message has arrived once
    And 1 connection was opened

  Scenario: a peer of an earlier version that sends no receipts
    Given the peer sends no receipts
    When 20 messages are sent in 10 s
    Then each message has arrived once
    And 1 connection was opened

  Scenario: a peer goes back to a version that sends no receipts
    When a message is sent and arrives
    And the peer sends no receipts any more
    And 200 messages are sent in 20 s
    Then no message was missed
    And at most 5 connections were opened

  Scenario: a peer that is away for long gets nothing out of date
    When a message is sent and arrives
    And every connection falls silent for 10 s while 50 messages are sent
    Then no message arrives that is older than 2.5 s
    And at most 12 connections were opened

  Scenario: a damaged message does not hold up those after it
    When a message is sent and arrives
    And a message is damaged on its way and 3 others follow
    Then the others have arrived within 0.5 s

  Scenario: a message that the peer does not know does not end the connection
    When a message is sent and arrives
    And a message of a later version is sent and 3 others follow
    Then the others have arrived within 0.5 s
    And 1 connection was opened

  Scenario: what waits for a peer is bounded
    When 20 messages of 1 MB are sent to a peer that is away
    Then at most 5 MB wait
