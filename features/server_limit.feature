@known_red
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
