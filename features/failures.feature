Feature: The fleet keeps its guarantees while processes fail

  Scenario: A router is killed under load and callers retry with the same keys
    Given a Cairnbrae fleet with its sheet active
    When callers send 150 requests at 40 per second and router r-inverness-1 is killed half-way
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: An agent is killed under load
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and agent a-e2 is killed half-way
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  @known_red
  Scenario: A router and an agent are killed together under load
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and r-inverness-1 and a-e2 are killed together half-way
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: A router restarts without state while the store is unavailable
    Given a Cairnbrae fleet with its sheet active
    And callers have sent 40 requests at 40 per second
    When the store is unavailable and router r-wick-1 is killed and restarted
    Then r-wick-1 has received the active sheet from its peers within 4 seconds
    And r-wick-1 serves a request with tokens transferred from its peers
    When the store is available again
    Then the audit balances and nothing is overspent

  Scenario Outline: A booking whose router crashed before agent <agent> started it
    Given a Cairnbrae fleet with its sheet active
    And the booking of key d1 was claimed for agent <agent>, which never received it
    When highland-council books a visit with key d1 once
    Then the booking is <outcome>
    And the booking of key d1 ran <times> times

    Examples:
      | agent  | outcome     | times |
      | a-s1   | answered    | 1     |
      | a-gone | in_progress | 0     |

  Scenario: An engine crashes under load
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and engine e2 crashes half-way
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: The store is unavailable under load
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and the store is unavailable from a third to two thirds
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: A router is suspended under load and resumes
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and router r-wick-1 is suspended for 2 seconds
    Then every caller received its own complete response
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario Outline: A planned stop of <name> interrupts no response
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and <name> is stopped half-way with <signals> SIGTERM
    Then no response was interrupted
    And <name> exited with code 0
    And each request has one bill, nothing is overspent, and the audit balances

    Examples:
      | name          | signals |
      | r-inverness-1 | 1       |
      | r-inverness-1 | 3       |
      | a-e1          | 1       |
      | a-s1          | 1       |

  Scenario: A draining agent receives no new work after 2 seconds
    Given a Cairnbrae fleet with its sheet active
    When callers send 200 requests at 40 per second and a-e1 is stopped half-way with 1 SIGTERM
    Then engine e1 started no work later than 2 seconds after the stop
