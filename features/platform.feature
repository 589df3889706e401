Feature: The adapter of the users' platform only translates
  The platform's names are used only in it; its store client meets the ports' contract under faults.

  Scenario: No other module of the product uses a name of the platform
    Then no header, path or field of the platform is used outside its adapter

  Scenario Outline: A config with <fault>
    When a config with <fault> is decoded
    Then the finding names <location>

    Examples:
      | fault                      | location               |
      | invalid JSON               | config                 |
      | a list                     | config                 |
      | no version                 | config.version         |
      | a string as version        | config.version         |
      | a string as route          | routeTable[0]          |
      | a route without a host     | routeTable[0].host     |
      | an unknown kind            | routeTable[0].kind     |
      | a negative timeout         | routeTable[0].timeoutMs |
      | a service that is missing  | no service             |
      | a string as total          | tenants[0].prepaid     |

  Scenario: The fields of a config
    When the example config is decoded
    Then a split of 90 to 10 sends traffic to both services in that proportion
    And the stream is resumable and has 4 tokens per event

  Scenario Outline: A write when the store is <fault>
    Given a store with the row "a" set to 1
    And the store is <fault>
    When the row "a" is written with 2
    Then the write is <reported>
    And after 1 s the row "a" is <value>

    Examples:
      | fault  | reported      | value |
      | ok     | committed     | 2     |
      | busy   | not committed | 1     |
      | silent | unconfirmed   | 1     |
      | lost   | unconfirmed   | 2     |
      | late   | unconfirmed   | 2     |
      | gone   | not committed | 1     |

  # A response of which only a part of the head arrives says nothing of the rows.
  Scenario Outline: A <call> of the store whose response stops after "<text>" of its head
    When the response to a <call> stops after "<text>" of its head
    Then the call has failed, and <is> ambiguous

    Examples:
      | call  | text                                | is     |
      | read  | HTTP/1.1 200 OK\r\n                 | is not |
      | read  | HTTP/1.1 200 OK\r\nContent-Length: 1 | is not |
      | write | HTTP/1.1 200 OK\r\n                 | is     |
      | write | HTTP/1.1 412 Precondition Failed\r\n | is     |
      | write | HTTP/1.1 503 Service Unavailable\r\n | is     |

  Scenario: A write with an outdated version is rejected
    Given a store with the row "a" set to 1
    When the row "a" is written with 2 and an outdated version
    Then the write is rejected

  Scenario: All rows are read when they span several pages
    Given a store with 1234 rows
    Then a scan returns 1234 rows in order
    And a snapshot returns 1234 rows

  Scenario Outline: A server entry that is missing <when>
    Given a backend server that is registered in the store
    When the store is unreachable for 5 s and the entry is missing <when>
    Then after <wait> s the backend server is <state>

    Examples:
      | when                                | wait | state   |
      | after the outage                    | 1    | kept    |
      | after the outage                    | 3    | removed |
      | before the outage                   | 0    | removed |
      | after the outage until it reappears | 3    | kept    |
