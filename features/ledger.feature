Feature: Each request is billed exactly once
  Two witnesses and two writers may offer the same bill; the chain of segments keeps it once.

  Scenario Outline: A writer's put fails: <faults>
    Given writer A of a shard
    When A is offered bills k1, k2 and its puts go: <faults>
    Then the ledger holds each of k1, k2 once
    And A reports each of k1, k2 as kept

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

  Scenario: Two writers race with the same bill
    Given writer A of a shard
    And writer B of a shard
    When A is offered bills k1, k2 and B is offered bills k2, k3 at the same moment
    Then the ledger holds each of k1, k2, k3 once
    And both report the record that the ledger holds

  Scenario: A writer that starts later reads what was kept
    Given writer A of a shard
    When A is offered bills k1, k2 and its puts go: ok
    And a new writer B is offered bills k1
    Then B reports the record of A

  Scenario: An old bill that is offered again is read from its segment
    Given writer A of a shard
    When bills k1, k2, k3, k4 are kept one after the other by a writer that keeps 1 whole
    And bill k1 is offered again by another witness
    Then B reports the record of A
    And the ledger holds each of k1, k2, k3, k4 once

  Scenario: Racing writers with lost and late puts keep every bill once
    When 120 random histories of 2 ledger writers are played
    Then every bill was kept once and every verdict was true
