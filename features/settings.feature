Feature: Settings files are checked before anything starts

  Scenario Outline: <mistake> names the key and what to write
    When settings hold "<line>"
    Then they are refused with "<text>"

    Examples:
      | mistake          | line                        | text                   |
      | unknown key      | colour: red                 | colour: unknown key    |
      | missing unit     | address_ttl: 5              | address_ttl            |
      | host name        | platform: platform.local:80 | not an IPv4 address    |
      | port too high    | platform: 127.0.0.1:70000   | port from 1 to 65535   |
      | IP part too high | platform: 127.0.0.300:80    | 0 to 255               |
      | same address     | peers: 127.0.0.1:8101       | give each its own port |
      | wrong kind       | kind: balancer              | node, platform, runner |
      | not YAML         | ]: [                        | not YAML               |
      | bad name         | name: Node One              | name                   |

  Scenario: an address that stands twice in one file is refused
    When two nodes of one file have the same address
    Then they are refused with "already used by"

  Scenario: the examples are valid
    Then the settings of both examples are valid and of the size of today
