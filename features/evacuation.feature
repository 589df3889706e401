Feature: Evacuated zones get no requests
  An operator's row evacuate/ZONE orders that nothing is sent to the servers of a zone, within 5 s (evacuationMs) and
  until the row is removed. Requests that run there end normally.

  Scenario Outline: News of evacuations: <events>
    Decisions only. Guards against: a restored store, or news that overtake each other, end an evacuation early.

    When news of evacuations come in: <events>
    Then the zones that it takes as evacuated are: <zones>

    Examples: each step is "time source epoch.version zones"; a zone in brackets is kept although its row is missing
      | events                                                                       | zones |
      | 1 snapshot 1.5 a,b                                                           | a,b   |
      | 1 snapshot 1.5 a; 2 rows 1.6 -a                                              | none  |
      | 1 snapshot 1.5 a; 2 snapshot 1.4 none                                        | a     |
      | 1 snapshot 1.5 a; 2 notice 1.6 none                                          | none  |
      | 1 snapshot 1.5 a; 2 notice 1.4 none                                          | a     |
      | 1 snapshot 1.5 none; 2 notice 1.6 a                                          | a     |
      | 1 snapshot 1.5 none; 2 notice 1.4 a                                          | none  |
      | 1 notice 1.6 a; 2 rows 1.5 none                                              | a     |
      | 1 snapshot 1.5 a; 2 snapshot 2.3 none; 4 rows 2.3 none                       | a     |
      | 1 snapshot 1.5 a; 2 snapshot 2.3 none; 4.4 rows 2.3 none                     | none  |
      | 1 snapshot 1.5 a; 2 snapshot 2.3 none; 3 rows 2.4 a; 4.4 rows 2.5 none       | a     |
      | 1 snapshot 1.5 a; 2 snapshot 2.3 none; 3 rows 2.4 -a                         | a     |
      | 1 snapshot 1.5 a; 2 notice 2.3 none; 3 notice 2.4 none                       | a     |
      | 1 snapshot 1.5 a; 2 notice 2.3 none; 5 notice 2.3 none                       | none  |
      | 1 snapshot 2.3 none; 2 notice 1.5 a                                          | a     |
      | 1 snapshot 2.3 none; 2 notice 1.5 a; 5 rows 2.3 none                         | none  |
      | 1 snapshot 2.3 none; 2 notice 1.5 a; 5 rows 2.3 none; 6 notice 1.5 a         | none  |
      | 1 snapshot 2.3 none; 2 notice 2.4 (a); 3 rows 2.5 none                       | a     |
      | 1 snapshot 1.5 a; 2 snapshot 2.3 none; 3 notice 2.4 (a); 5 rows 2.5 none     | none  |

  Scenario Outline: The key <key> of a row
    Then the key names the zone <zone>

    Examples:
      | key            | zone    |
      | evacuate/pier  | pier    |
      | evacuate/      | invalid |
      | evacuate/a\x00 | invalid |
      | config         | none    |

  Scenario: The servers of an evacuated zone get no requests, whichever gateway they reach
    Given a platform with 2 model engines and 2 plain servers
    And 2 gateways in one zone
    And plain server 1 is in zone "pier"
    When requests reach both gateways for 3 s, and after 1 s the zone "pier" is evacuated
    Then plain server 1 got requests before, and none later than 1 s after that
    And all requests were served
    When the evacuation of "pier" ends
    Then plain server 1 gets requests again within 2 s

  Scenario: A request that waits for a connection is not sent to a zone that is evacuated meanwhile
    Given a platform with 1 model engines and 1 plain servers
    When a request waits for a connection while the zone "quay" is evacuated
    Then it was refused with 503, not run, with cause "evacuated", and no server got it

  Scenario: Where the evacuated zone has the last server, callers are refused at once
    Given a platform with 1 model engines and 1 plain servers
    When the zone "quay" is evacuated
    Then a request is refused with 503 and Retry-After within 0.1 s

  Scenario Outline: An evacuation holds while <event>
    Given a platform with 1 model engines and 2 plain servers
    And plain server 1 is in zone "pier"
    And a copy of the store, and 1 more versions that the gateway has read
    And the zone "pier" is evacuated
    When <event>
    Then plain server 1 gets none of 10 requests

    Examples:
      | event                                                                    |
      | the store is away for 1 s                                                |
      | the store comes back from the copy and nothing is written again for 1 s  |

  Scenario: A gateway that the store turns away follows what its peers know
    Given a platform with 1 model engines and 2 plain servers
    And 2 gateways in one zone
    And plain server 1 is in zone "pier"
    When the store turns gateway "gate-2" away
    And the zone "pier" is evacuated
    Then "gate-2" takes "pier" as evacuated within 1 s
    When the evacuation of "pier" ends
    Then "gate-2" takes "pier" as open within 1 s
