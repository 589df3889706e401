Feature: A cold backend server gets no more requests than it tolerates
  A server that has just started crashes if it gets more than 23 requests in any one second (12 x 1.5 + 5) from all gateways
  together. Its coordinator issues a permit for each request, as for a server that names a limit.

  Scenario Outline: <routers> routers send to a cold server, and <event>
    Decisions only, with random demand and permits that are used late. Guards against two coordinators that issue the whole
    rate: links that are lost are noticed after up to 3.5 s.

    When <routers> routers send 100 requests a second to a cold server for 40 s, and at 15 s <event>
    Then no second has more than 23 requests
    And at least <calm> requests a second are sent from 10 to 15 s, and <late> from 30 to 40 s

    Examples:
      | routers | event                                             | calm | late |
      | 1       | nothing happens                                   | 8    | 8    |
      | 6       | nothing happens                                   | 8    | 8    |
      | 6       | the coordinator is killed                         | 8    | 6    |
      | 6       | the network is split into halves                  | 8    | 6    |
      | 6       | the network is split into halves until 25 s       | 8    | 8    |
      | 6       | the link between the two first coordinators fails | 8    | 8    |

  Scenario Outline: A server is <state> after <events>
    When a router learns of a server's warmth: <events>
    Then the server is <state>

    Examples: times in seconds; entries are listed by the time at which they were read
      | events                                                                  | state |
      | 0: entry 1 says 0                                                       | warm  |
      | 0: entry 1 says 5000; 4.9: time passes                                  | cold  |
      | 0: entry 1 says 5000; 5.1: time passes                                  | warm  |
      | 0: entry 1 says 5000; 1.2: entry 2 says 0                               | warm  |
      | 0: entry 2 says 5000; 1.2: entry 1 says 0                               | cold  |
      | 0: entry 1 says None; 29: time passes                                   | cold  |
      | 0: entry 1 says None; 31: time passes                                   | warm  |
      | 0: nothing is listed; 1: entry 1 says 100; 5: time passes               | warm  |
      | 0: another is listed; 1: entry 1 says 100; 5: time passes               | cold  |
      | 0: another is listed; 1: entry 1 says 100; 5: entry 2 says 0            | warm  |
      | 0: entry 1 says 0; 1: response of 10; 2: entry 2 says 0                 | cold  |
      | 0: entry 1 says 0; 1: response of 10; 2: entry 2 says 0; 3: entry 3 says 0 | warm |
      | 0: entry 1 says 0; 1: response of inf; 30: time passes                  | cold  |
      | 0: entry 1 says 0; 1: response of inf; 32: time passes                  | warm  |
      | 0: entry 1 says 0; 1: the zone is restored; 30: time passes             | cold  |
      | 0: entry 1 says 0; 1: the zone is restored; 2: entry 2 says 0           | cold  |
      | 0: entry 1 says 0; 1: the zone is restored; 3: entry 2 says 0           | warm  |
      | 0: entry 1 says 0; 1: notice of 9 with age 0.5; 9.4: time passes        | cold  |
      | 0: entry 1 says 0; 1: notice of 9 with age 0.5; 9.6: time passes        | warm  |
      | 0: entry 1 says 0; 1: notice of nan with age 0                          | warm  |

  Scenario Outline: A response with X-Cold-Ms <text>
    Then its cold time is read as <seconds>

    Examples:
      | text    | seconds |
      | 2500    | 2.5     |
      | 0       | 0.0     |
      | 600000  | 600.0   |
      | 600001  | inf     |
      | -1      | inf     |
      | NaN     | inf     |
      | ٣       | inf     |

  Scenario: Gateways keep the bound of a cold server, also when its coordinator is killed
    Given a platform whose plain servers may be cold, with 1 plain servers and 3 gateways
    When plain server 1 says in its entry that it is cold for 60000 ms
    And 120 plain requests a second reach the gateways for 6 s
    Then plain server 1 got at most 23 requests in any second, and at least 20 in all
    And the others were refused with 503
    When the coordinator of plain server 1 is killed
    And 80 plain requests a second reach the gateways for 9 s
    Then plain server 1 got at most 23 requests in any second, and at least 20 in all

  Scenario: Warm servers take the requests of a cold one, which a response has told to one gateway
    Given a platform whose plain servers may be cold, with 2 plain servers and 2 gateways
    When plain server 1 says in a response to the first gateway that it is cold for 60000 ms
    Then all gateways know within 0.3 s that plain server 1 is cold
    When 60 plain requests a second reach the gateways for 2 s
    Then plain server 1 got at most 23 requests in any second, and at least 0 in all
    And all requests to cold servers were served
    When plain server 1 says in its entry that it is cold for 0 ms
    Then no gateway takes plain server 1 for cold

  Scenario Outline: A coordinator whose event loop lagged by <lag> s <outcome>
    Guards against: after a pause it kept links to others that had taken over, and both issued the whole rate.

    When a router that has long been the coordinator of a cold server lags by <lag> s
    Then it issues a share of <now> at once, and of <later> after the time of a takeover

    Examples:
      | lag | outcome                       | now | later |
      | 3   | issues nothing for some time  | 0   | 1     |
      | 0.6 | issues nothing for some time  | 0   | 1     |
      | 0.4 | goes on, as others allow it   | 1   | 1     |
