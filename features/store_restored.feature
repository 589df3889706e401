Feature: The store comes back from a copy that lacks the latest writes
  Versions go back and are given out again. What operators and backend servers wrote is written again,
  some of it later; what gateways wrote is gone.

  Scenario Outline: A gateway misses no <change> that was written under a version it had read before
    Given a platform with 1 model engines and 2 plain servers
    And a copy of the store, and 60 more versions that the gateway has read
    When the store is away, comes back from the copy, and counts past these versions after a <change>
    Then within 3 s the gateway applies the <change>

    Examples:
      | change                     |
      | new route                  |
      | start of a drain           |
      | removal of a plain server  |
      | registration of a server   |

  Scenario: A config that was in force does not revert when the copy has an older one
    Given a platform with 1 model engines and 1 plain servers
    And a copy of the store, and a route "/added/" after it
    When the store comes back from the copy and nothing is written again for 2 s
    Then requests to "/added/x" are still served

  Scenario Outline: A <state> server that the copy lists as serving gets no new work
    Given a platform with 1 model engines and 2 plain servers
    And a copy of the store, after which plain server 1 is <state>
    When the store comes back from the copy and nothing is written again for 3 s
    Then plain server 1 gets none of 10 requests

    Examples:
      | state    |
      | draining |
      | removed  |

  Scenario: A server whose entry was removed and that registers again gets work
    Given a platform with 1 model engines and 2 plain servers
    And a copy of the store, after which plain server 1 is removed
    When the store comes back from the copy and plain server 1 registers again
    Then plain server 1 gets some of 20 requests

  Scenario: A gateway whose entry the copy lacks registers again
    Given a platform with 1 model engines and 1 plain servers
    And a copy of the store, after which the gateway "gate-2" is added
    When the store comes back from the copy and nothing is written again for 2 s
    And the gateway "gate-0" is added
    Then within 5 s "gate-0" is linked to "gate-2"

  Scenario: A gateway that has left is not looked for any more
    Guards against: entries of machines that left for good were kept in the store for ever.

    Given a platform with 1 model engines and 1 plain servers
    And 2 gateways in one zone
    When the second gateway is stopped as planned
    Then the store has 1 entries of gateways, and the first gateway knows of 1

  Scenario: A block of the quarantine that the copy lacks is stored again
    Given a platform with 4 model engines and 1 plain servers
    And 2 gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after 0 events
    And a copy of the store, and 1 more versions that the gateway has read
    When prompts with the parts aa/bad and harmless ones with the parts aa/ok reach all gateways for 4 s
    And the store comes back from the copy, and 2 s pass
    And all gateways are killed and start again
    And 8 prompts with the parts aa/bad reach the second gateway
    Then none of them reached an engine

  Scenario: A scan over several pages during which the store is restored is not a mixture of both
    Given a store with 1234 rows
    When the store is restored from a copy while the second page is read
    Then the scan fails, and the next one returns 1234 rows
