Feature: Hubs keep control traffic from growing with the fleet
  Routers of a zone form groups. A hub relays the loads of its group and lends it prepaid tokens.

  Scenario Outline: <routers> routers in <zones> zones have <hubs> hubs
    Given <routers> routers in <zones> zones
    Then there are <hubs> hubs
    And all routers agree on the hubs, and each has a hub in its zone
    And no hub has more than <members> members

    Examples:
      | routers | zones | hubs | members |
      | 1       | 1     | 1    | 0       |
      | 5       | 3     | 5    | 0       |
      | 12      | 3     | 3    | 3       |
      | 29      | 3     | 3    | 9       |
      | 68      | 5     | 5    | 13      |
      | 300     | 5     | 20   | 29      |
      | 440     | 18    | 36   | 24      |

  Scenario: A hub that drains or does not respond is replaced within its zone
    Given 29 routers in 3 zones
    When the hub of one zone becomes unavailable
    Then there are 3 hubs
    And all routers agree on the hubs, and each has a hub in its zone
    When it becomes available again
    Then all routers agree on the hubs, and each has a hub in its zone

  Scenario: Hubs are on the larger machines of a zone
    Given 29 routers in 3 zones
    When the machines of gate-3, gate-13 and gate-20 have 2.0 cores and all others 0.387
    Then the hubs are gate-3, gate-13 and gate-20

  Scenario: A hub that does not respond to one router is replaced for this one only
    Given 29 routers in 3 zones
    When the hub of gate-7 does not respond to it
    Then gate-7 uses a hub of another zone
    And the other routers use their hubs as before
    When no hub responds to gate-7
    Then gate-7 uses a hub of its zone

  Scenario: A zone whose routers are all unavailable has routers that serve themselves
    Given 4 routers in 1 zones
    When all of them become unavailable
    Then each router is its own hub

  Scenario Outline: Placement of a burst over <routers> routers in <zones> zones
    Each router sends prompts that its own figures place well. Relayed reports must give it the same
    figures as direct ones: every load once, its own not at all. The policy tolerates 1.25 times the
    mean of 20 requests, and 3 requests more.

    Given <routers> routers in <zones> zones with 12 backend servers
    When 240 prompts of one conversation of 9000 tokens reach the routers in turn and loads are relayed
    Then each router sees the load of the whole fleet exactly once
    And the most loaded backend server has at most 28 of them in flight

    Examples:
      | routers | zones |
      | 5       | 3     |
      | 29      | 3     |
      | 68      | 5     |

  Scenario: The age of a router's figures is that of its oldest report
    Given 5 routers in 3 zones with 2 backend servers
    When loads are relayed, and one of the others again after 0.4 s
    Then the figures of the first router are 0.4 s old

  Scenario: A member that stops reporting is dropped
    Given a hub with the load of a member reported at 10 s
    Then the member is expired at 17 s but not at 15 s

  Scenario Outline: A gateway's load messages in one round with <routers> routers in <zones> zones
    Given <routers> routers in <zones> zones
    Then one gateway sends at most <messages> load messages when all loads change

    Examples:
      | routers | zones | messages |
      | 29      | 3     | 12       |
      | 68      | 5     | 17       |
      | 300     | 5     | 48       |

  Scenario Outline: A link that is silent for <idle> s with <links> links, <kind>
    Given a process with <links> links, one of them <kind>
    When the peer of that link is silent for <idle> s
    Then the link is <state>

    Examples:
      | links | kind      | idle | state  |
      | 5     | primary   | 0.9  | open   |
      | 5     | primary   | 1.2  | probed |
      | 5     | primary   | 4    | closed |
      | 100   | primary   | 4    | closed |
      | 100   | secondary | 4    | open   |
      | 100   | secondary | 13   | probed |
      | 100   | secondary | 15.5 | closed |

  Scenario: A reply to a probe keeps the link open
    Given a process with 5 links, one of them primary
    When the peer of that link replies to each probe for 30 s
    Then the link is open

  Scenario Outline: A callback every <interval> s that ran at <now> s runs again at <next> s
    Given a timer of <interval> s
    Then after a run at <now> s it is due at <next> s

    Examples:
      | interval | now   | next |
      | 0.5      | 10.0  | 10.5 |
      | 0.5      | 10.01 | 10.5 |
      | 0.5      | 9.99  | 10.5 |
      | 0.5      | 10.3  | 11.0 |
      | 0.1      | 10.02 | 10.1 |

  Scenario: A notice to peers with an absent field is encoded as before
    Then a message with a number, a text, nothing and a nested message survives a round trip
