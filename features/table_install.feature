Feature: The install of a large route table does not hold the event loop
  While the loop is held, streams do not go on, and probes and leases wait. Turns of the loop are
  measured in processor time of the gateway's process.

  Scenario Outline: Configs with 1,400 routes and 2,000 changed customers come into force: <count>
    Guards against: a config was decoded, logged and activated in one turn, of 70 ms and more.

    Given a platform with 1 model engines and 1 plain servers
    And a gateway process whose turns are measured
    When the operator writes <count> configs with 1400 routes and 2000 changed customers within <seconds> s
    Then the last config is in force within 3 s, and every request meanwhile has got status 200
    And no turn of the event loop has taken over 15 ms
    And the log has a line with the time of each install, and versions that never go back
    And the report knows the total of each customer

    Examples:
      | count | seconds |
      | 1     | 1       |
      | 12    | 1       |

  Scenario Outline: Of several tables that wait, the newest readable one is installed: <case>
    Guards against: each table of a quick succession was installed, or an old one after a newer one.

    Given a platform with 1 model engines and 1 plain servers
    When configs of the versions <versions> arrive at once
    Then the versions <installed> have been installed, <skipped> skipped, and <unreadable> reported as unreadable

    Examples:
      | case                              | versions          | installed | skipped | unreadable |
      | in order                          | 20, 30, 40        | 40        | 30, 20  | no         |
      | out of order                      | 40, 30, 20        | 40        | 30, 20  | no         |
      | an old one only                   | 0                 | no        | no      | no         |
      | the newest one has a fault        | 20, 30, 40 faulty | 30        | 20      | 40         |
      | an older one has a fault          | 20 faulty, 30     | 30        | 20      | no         |
      | one does not even state a version | faulty, 30        | 30        | no      | no version |
      | all have faults                   | 20 faulty, faulty | no        | no      | no version, 20 |

  Scenario: A table that arrives during an install waits for it, and overtakes those in between
    Guards against: tables that arrive faster than they are decoded kept any from coming into force.

    Given a platform with 1 model engines and 1 plain servers
    When a config of version 20 is being installed, and the versions 30, 40 arrive
    Then the versions 20, 40 have been installed, 30 skipped, and no reported as unreadable

  Scenario Outline: A table that a peer sends: <case>
    Guards against: the compression of a table in steps lost a part, or a damaged one was installed.

    Given a table of <size> bytes as a peer sends it, <case>
    Then it is received as <result>

    Examples:
      | size     | case        | result             |
      | 0        | whole       | sent               |
      | 700000   | whole       | sent               |
      | 16777216 | whole       | sent               |
      | 16777217 | whole       | damaged            |
      | 700000   | cut off     | damaged            |
      | 700000   | overwritten | damaged            |
