Feature: The fleet keeps its promises while processes fail

  Scenario: A router is killed under load and callers retry with the same keys
    Given a Cairnbrae fleet with its sheet in force
    When callers send 150 requests at 40 a second and router r-inverness-1 is killed half-way
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: An agent is killed under load
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and agent a-e2 is killed half-way
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: A router and an agent are killed together under load
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and r-inverness-1 and a-e2 are killed together half-way
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: A router restarts empty while the store is out
    Given a Cairnbrae fleet with its sheet in force
    And callers have sent 40 requests at 40 a second
    When the store is out and router r-wick-1 is killed and started again
    Then r-wick-1 has the sheet in force from its peers within 4 seconds
    And r-wick-1 answers with tokens that its peers hold
    When the store is back
    Then the audit balances and nothing is overspent

  Scenario Outline: A booking whose router died before its agent <agent> started it
    Given a Cairnbrae fleet with its sheet in force
    And the booking of key d1 was claimed for agent <agent>, which never got it
    When highland-council books a visit with key d1 once
    Then the booking is <verdict>
    And the booking of key d1 ran <times> times

    Examples:
      | agent  | verdict     | times |
      | a-s1   | answered    | 1     |
      | a-gone | in_progress | 0     |

  Scenario: An engine crashes under load
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and engine e2 crashes half-way
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: The store is out under load
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and the store is out from a third to two thirds
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: A router is frozen under load and thaws
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and router r-wick-1 is frozen for 2 seconds
    Then every request was answered whole, to its own caller
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario Outline: A planned stop of <name> cuts nothing off
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and <name> is stopped half-way with <signals> SIGTERM
    Then no answer was cut off
    And <name> exited with code 0
    And each request has one bill, nothing is overspent, and the audit balances

    Examples:
      | name          | signals |
      | r-inverness-1 | 1       |
      | r-inverness-1 | 3       |
      | a-e1          | 1       |
      | a-s1          | 1       |

  Scenario: A draining agent gets no new work after 2 seconds
    Given a Cairnbrae fleet with its sheet in force
    When callers send 200 requests at 40 a second and a-e1 is stopped half-way with 1 SIGTERM
    Then engine e1 started nothing later than 2 seconds after the stop
