Feature: Route tables reach gateways with narrow network links through their hub
  A gateway that reads each large table from the store has no room left for requests, and a call that
  times out within a table starts it again.

  Scenario Outline: A link of <bandwidth> Mbit/s and a table of <size> kB: the gateway reads <source>
    Given a gateway that is <role>, with a link of <bandwidth> Mbit/s
    Then with a table of <size> kB it reads <source>

    Examples:
      | bandwidth | size | role                             | source    |
      | 1000      | 550  | a member of a hub with the store | the store |
      | 100       | 550  | a member of a hub with the store | the store |
      | 5         | 550  | a member of a hub with the store | the hub   |
      | 5         | 20   | a member of a hub with the store | the store |
      | 5         | 0    | a member of a hub with the store | the store |
      | 5         | 550  | a member of a hub without it     | the store |
      | 5         | 550  | a member that is behind          | the store |
      | 5         | 550  | a hub                            | the store |

  Scenario: A table that the hub does not send is asked for elsewhere, and then read from the store
    Given version 7 is active, and version 8 was announced at 0 s by the hub and by another gateway
    Then at 0.0 s the hub is asked
    And at 0.3 s nobody is asked
    And at 0.45 s the other gateway is asked
    And at 0.7 s the gateway is not behind
    And at 0.9 s the gateway is behind

  Scenario: The hub is preferred for a short time to a gateway that announces a version first
    Given version 7 is active, and version 8 was announced at 0 s by another gateway only
    Then at 0.05 s nobody is asked
    And at 0.15 s the other gateway is asked

  Scenario: Members with narrow links get tables from their hub, and from the store once no hub has it
    Given a platform with 1 model engines and 1 plain servers
    And 3 more gateways, of which those that are no hubs have narrow links
    When the operator adds the route "/added/"
    Then every gateway has it within 3 s, and the members have been sent it by a hub
    When all hubs are killed and the operator adds the route "/later/"
    Then every gateway has it within 6 s
