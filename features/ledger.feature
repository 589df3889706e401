Feature: Each request is billed exactly once
  Two processes may report the same bill and two writers may append it; the chain of segments holds
  it once.

  Scenario Outline: A writer's put fails: <faults>
    Given writer A of a shard
    When bills k1, k2 are submitted to A and its puts result in: <faults>
    Then the ledger holds each of k1, k2 once
    And A reports each of k1, k2 as committed

    Examples:
      | faults                      |
      | ok                          |
      | down                        |
      | lost                        |
      | vanished                    |
      | delayed                     |
      | lost, lost                  |
      | vanished, lost              |
      | vanished, delayed           |
      | delayed, vanished, ok       |
      | down, vanished, delayed     |

  Scenario: Two writers append the same bill concurrently
    Given writer A of a shard
    And writer B of a shard
    When bills k1, k2 are submitted to A and bills k2, k3 to B concurrently
    Then the ledger holds each of k1, k2, k3 once
    And both report the record that the ledger holds

  Scenario: A writer that starts later reads the committed records
    Given writer A of a shard
    When bills k1, k2 are submitted to A and its puts result in: ok
    And bills k1 are submitted to a new writer B
    Then bill k1 is reported with the record of A

  Scenario: A repeated bill that is no longer cached is read from its segment
    Given writer A of a shard
    When bills k1, k2, k3, k4 are committed one by one by a writer that caches 1 record
    And bill k1 is submitted again by another reporter
    Then bill k1 is reported with the record of A
    And the ledger holds each of k1, k2, k3, k4 once

  Scenario: Concurrent writers with lost and delayed puts commit every bill once
    When 120 random histories of 2 ledger writers are run
    Then every bill was committed once and every response matched the ledger
