Feature: A backend server that names a limit gets no more requests than it takes
  A backend server may name in its responses how many requests a second it takes from all gateways together, for as
  long as it says so. From 3 s (stableMs) after it first did, it may get in any 4 s one and a half times what that
  allows, and 5 requests. What it does not take goes to other servers, or is refused at once.

  Scenario Outline: <gateways> gateways, prompts at <senders> of them, and an engine that takes <limit> a second
    Given a platform with 3 model engines and 1 plain servers
    And <gateways> gateways in one zone
    And model engine 1 takes 1000 requests a second
    When 20 prompts a second reach <senders> gateways for 9 s, and after 1 s model engine 1 takes <limit> a second
    Then model engine 1 got in no 4 s, from 3 s on, more than one and a half times what it takes and 5 requests
    And it got at least half of what it takes
    And all prompts were served

    Examples: two gateways form a mesh, six a group; where one gateway has all the traffic, no share is stranded
      | gateways | senders | limit |
      | 2        | 2       | 1.5   |
      | 2        | 1       | 4.0   |
      | 6        | 6       | 0.5   |
      | 6        | 1       | 2.0   |

  Scenario Outline: <routers> routers with <demand> requests a second in all share a limit of <limit> a second
    Decisions only, with random demand. After 15 s another router is the coordinator.

    When <routers> routers with <demand> requests a second in all ask for permits of a limit of <limit> for 30 s
    Then no 4 s have more requests than one and a half times what it allows and 5
    And at least two thirds of what it allows are used from 5 to 15 s

    Examples:
      | routers | demand | limit |
      | 1       | 10     | 1.5   |
      | 4       | 20     | 1.5   |
      | 28      | 100    | 0.5   |
      | 68      | 500    | 3.0   |
      | 440     | 2000   | 1.5   |
      | 440     | 400    | 20.0  |

  Scenario Outline: A limit is known after <events>
    When a router learns of a limit: <events>
    Then the limit that it knows is <limit>

    Examples: times in seconds; a response that was sent before the limit was named does not end it
      | events                                                     | limit |
      | 1: named 2.5                                               | 2.5   |
      | 1: named 2.5; 2: named 4                                   | 4     |
      | 1: named 2.5; 2: none, sent at 0.9                         | 2.5   |
      | 1: named 2.5; 2: none, sent at 1.1                         | none  |
      | 1: notice of 2.5 at 0.9; 2: none, sent at 1.1              | none  |
      | 1: named 2.5; 2: notice of the end at 1.5                  | none  |
      | 1: named 2.5; 2: notice of the end at 0.5                  | 2.5   |
      | 1: named 2.5; 2: none, sent at 1.1; 3: notice of 2.5 at 0.9 | none |
      | 1: named 0                                                 | 0.1   |

  Scenario Outline: A header that names a limit as <text>
    Then it is read as <limit>

    Examples:
      | text  | limit |
      | 2.5   | 2.5   |
      | 3     | 3.0   |
      | 0     | 0.0   |
      | 1e3   | None  |
      | -1    | None  |
      | NaN   | None  |
      | soon  | None  |
      | 3.3333333333333335 | 3.3333333333333335 |
      | 0.1000000000000000055511151231257827 | 0.1 |
      | 3.    | None  |
      | ٣     | None  |

  Scenario: A gateway with little traffic keeps a limit that it has not been told by the engine
    Given a platform with 1 model engines and 1 plain servers
    And 4 gateways in one zone
    And model engine 1 takes 1.0 requests a second
    When 1 prompts reach the first gateway
    And 20 prompts a second reach 4 gateways for 5 s
    Then model engine 1 got in no 4 s, from 0 s on, more than one and a half times what it takes and 5 requests

  Scenario: A limit that ends is forgotten, also by gateways that the engine did not tell
    Given a platform with 2 model engines and 1 plain servers
    And 2 gateways in one zone
    And model engine 1 takes 1.0 requests a second
    When 20 prompts a second reach 2 gateways for 4 s
    And model engine 1 takes all requests again
    And 20 prompts a second reach 2 gateways for 4 s
    Then model engine 1 got at least 12 of the latter

  Scenario: Requests that no server takes are refused at once
    Given a platform with 1 model engines and 1 plain servers
    And model engine 1 takes 1.0 requests a second
    When 10 prompts a second reach 1 gateways for 4 s
    Then at most 15 prompts were served, and all others were refused with 503 and Retry-After in less than 0.4 s

  Scenario: A limit is kept when the gateway that shares it out is killed
    Given a platform with 2 model engines and 1 plain servers
    And 4 gateways in one zone
    And model engine 1 takes 2.0 requests a second
    When 20 prompts a second reach 4 gateways for 4 s
    And the gateway that shares out the limit of model engine 1 is killed
    And 20 prompts a second reach 3 gateways for 5 s
    Then model engine 1 got in no 4 s, from 3 s on, more than one and a half times what it takes and 5 requests
    And all prompts were served

  Scenario: A plain server names a limit
    Given a platform with 1 model engines and 2 plain servers
    And 2 gateways in one zone
    And plain server 1 takes 1.0 requests a second
    When 20 plain requests a second reach 2 gateways for 7 s
    Then plain server 1 got in no 4 s, from 3 s on, more than one and a half times what it takes and 5 requests
    And all prompts were served

  Scenario: Agents keep the limit that an engine names, and other engines serve its callers
    Given a Cairnbrae fleet with its sheet active
    And engine e1 of the fleet takes 1.0 requests a second
    When callers send 240 requests at 30 per second and nothing happens
    Then engine e1 of the fleet got in no 4 s, from 3 s on, more than one and a half times that and 5 requests
    And every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances
