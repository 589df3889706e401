Feature: What backend servers say of themselves in their responses
  A server that leaves says so in all its responses; it gets no more requests, whatever its entry in the store says. One
  that turns a request away with 503 may ask for some seconds without requests.

  Scenario Outline: A plain server that says that it leaves gets no more requests, <meanwhile>
    Given a platform with 1 model engines and 2 plain servers
    And plain server 1 says "Server-Leaving: 1" in its responses
    When plain server 1 has answered a request to /look/1
    And <meanwhile>
    And 12 requests to /look/1 are sent one after the other
    Then all of them were answered 200, and plain server 1 got <count> of them

    Examples: a new start under its id ends it
      | meanwhile                                      | count  |
      | nothing happens                                | none   |
      | its entry is renewed as serving                | none   |
      | the store is away for 1 s                      | none   |
      | its entry expires and comes back               | none   |
      | it starts again under its id                   | some   |

  Scenario: A model engine that says on a stream that it leaves begins no more streams
    Given a platform with 2 model engines and 1 plain servers
    And model engine 1 says "Server-Leaving: 1" in its responses
    When model engine 1 has answered a stream
    And 8 streams are read one after the other
    Then all of them were answered 200, and model engine 1 got none of them

  Scenario Outline: A plain server that asks for <seconds> s without requests gets none, beside another
    Given a platform with 1 model engines and 2 plain servers
    When plain server 1 sheds a request to <path> for <seconds> s
    And requests to <path> are sent for 2.5 s, one each 0.05 s
    Then plain server 1 got none in the <seconds> s after it had shed, and some after them
    And all of them were answered 200

    Examples:
      | path    | seconds |
      | /look/1 | 1.5     |
      | /book/1 | 1.25    |

  Scenario: Where the only server asks for some time without requests, callers are refused at once
    Given a platform with 1 model engines and 1 plain servers
    When plain server 1 sheds a request to /look/1 for 1.5 s
    And requests to /look/1 are sent for 2.5 s, one each 0.05 s
    Then plain server 1 got none in the 1.5 s after it had shed, and some after them
    And those refused meanwhile were refused within 0.1 s, and told when it takes requests again
    And the first 5 that it got afterwards came at least 0.04 s apart

  Scenario: The longest of several times counts, and a new start ends it
    Given a server that asks for 3 s without requests, and then for 1 s
    Then it wants none for 3 s, and any number once it has started again

  Scenario Outline: A header that asks for <text> without requests
    Then these are <seconds> seconds

    Examples:
      | text                          | seconds  |
      | 2                             | 2.0      |
      | 0.25                          | 0.25     |
      | 86400                         | 86400.0  |
      | -1                            | None     |
      | nan                           | None     |
      | inf                           | None     |
      | 1e3                           | None     |
      | soon                          | None     |
      | Sat, 05 Dec 2026 05:00:00 GMT | None     |

  Scenario Outline: An agent passes no requests on to an engine that <says>
    Given a Cairnbrae fleet with its sheet active
    And engine e1 of the fleet <says>
    When callers send 240 requests at 30 per second and nothing happens
    Then engine e1 of the fleet got at most <most> of them later than <delay> s after the first
    And every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

    Examples: one after another asks for 2 s without requests in the second
      | says                                     | most | delay |
      | says in all responses that it leaves     | 0    | 2     |
      | turns requests away and asks for 2 s without any | 8 | 0.5 |

  Scenario Outline: An engine responds <status> with <header>
    When an engine responds <status> with <header>
    Then the agent reads from it: <report>

    Examples:
      | status | header               | report            |
      | 200    | Server-Leaving: 1    | leaving           |
      | 503    | Server-Leaving: 1    | leaving           |
      | 200    | Server-Leaving: 0    | nothing           |
      | 503    | Retry-After: 1.5     | quiet for 1.5 s   |
      | 200    | Retry-After: 1.5     | nothing           |
      | 503    | Retry-After: -2      | nothing           |
      | 503    | Server-Limit: 2.5    | a limit of 2.5    |
