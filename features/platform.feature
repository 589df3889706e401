Feature: The adapter of the users' platform only translates
  Its names stay inside; its store client keeps the contract of the ports through faults.

  Scenario: No other module of the product knows a name of the platform
    Then no header, path, field or word of the platform stands outside its adapter

  Scenario Outline: A config with <fault>
    When a config with <fault> is decoded
    Then the finding names <place>

    Examples:
      | fault                      | place                  |
      | no JSON                    | config                 |
      | a list                     | config                 |
      | no version                 | config.version         |
      | a version that is a text   | config.version         |
      | a route that is a text     | routeTable[0]          |
      | a route without a host     | routeTable[0].host     |
      | an unknown kind            | routeTable[0].kind     |
      | a timeout below zero       | routeTable[0].timeoutMs |
      | a service that is not there | no service             |
      | a total that is a text     | tenants[0].prepaid     |

  Scenario: A config's fields
    When the example config is decoded
    Then a split of 90 to 10 goes to both services in that proportion
    And the stream may be resumed and has 4 tokens an event

  Scenario Outline: A write when the store is <fault>
    Given a store with the row "a" at 1
    And the store is <fault>
    When the row "a" is written with 2
    Then the write is <reported>
    And after 1 s the row "a" is <value>

    Examples:
      | fault  | reported     | value |
      | ok     | done         | 2     |
      | busy   | not done     | 1     |
      | silent | unconfirmed     | 1     |
      | lost   | unconfirmed     | 2     |
      | late   | unconfirmed     | 2     |
      | gone   | not done     | 1     |

  Scenario: A write on an old version is refused
    Given a store with the row "a" at 1
    When the row "a" is written with 2 on an old version
    Then the write is refused

  Scenario: Rows beyond one page are all read
    Given a store with 1234 rows
    Then a scan finds 1234 rows in order
    And a snapshot finds 1234 rows

  Scenario Outline: A lapse of an entry <when>
    Given a backend server that the store lists
    When the store is away for 5 s and the entry is gone <when>
    Then after <wait> s the backend server is <state>

    Examples:
      | when           | wait | state |
      | at its return  | 1    | kept  |
      | at its return  | 3    | gone  |
      | before it      | 0    | gone  |
      | and comes back | 3    | kept  |
