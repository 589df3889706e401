Feature: Reports state each error and its location

  Scenario Outline: The audit of a ledger: <case>
    Given a budget of 1000 paid with <granted> granted, <settled> settled and open grants <grants>
    When the ledger to be audited holds <bills>
    Then the audit finds <finding>

    Examples:
      | case                  | granted | settled | grants   | bills                       | finding                       |
      | balanced              | 500     | 100     | g1 400   | k1 100 on g0, k2 50 on g1   | nothing                       |
      | nothing open          | 150     | 150     | none     | k1 100 on g0, k2 50 on g0   | nothing                       |
      | a duplicate bill      | 500     | 100     | g1 400   | k1 100 on g0, k1 50 on g1   | bill council/k1 is kept 2     |
      | a grant overspent     | 500     | 100     | g1 400   | k1 401 on g1, k2 99 on g0   | grant g1: 401 billed of 400   |
      | a budget overspent    | 1100    | 0       | g1 1100  | k1 1001 on g1               | 1100 granted of 1000 paid     |
      | more billed than granted | 100  | 100     | none     | k1 120 on g0                | 120 billed of 100 granted     |
      | a grant lost          | 500     | 100     | g1 300   | k1 100 on g0                | 100 settled and 300 open      |
      | settled without bills | 100     | 100     | none     | none                        | 100 settled, 0 billed         |
      | charges differ        | 500     | 100     | g1 400   | k1 100 on g0, k2 50 as 60 on g1 | 60 charged for 50         |

  Scenario Outline: Burn rates: <lines>
    When the tallies are <lines>
    Then the burn rates of 5 minutes and an hour are <short> and <long>

    Examples:
      | lines                                    | short | long |
      | none                                     | 0.0   | 0.0  |
      | 100 with 0 missed 1 minute ago           | 0.0   | 0.0  |
      | 100 with 1 missed 1 minute ago           | 1.0   | 1.0  |
      | 100 with 10 missed 10 minutes ago        | 0.0   | 10.0 |
      | 100 with 4 missed 1 minute ago, 300 with 0 missed 30 minutes ago | 4.0 | 1.0 |
      | 100 with 9 missed 90 minutes ago         | 0.0   | 0.0  |

  Scenario: Metrics reach statsd
    When a process with a statsd address counts one answered request
    Then statsd receives bilberryshed.test.answered:1|c

  Scenario: Logs alone tell where the tokens of a customer went
    Given the log of a gateway that is killed and started again
    Then the trace of tokens is 1000 in all: 150 delivered, 30 undelivered, 60 interrupted, 160 written off, 600 left

  Scenario: A log line of tokens that lacks a field is named, and the others count
    Given the log of a gateway that is killed and started again
    And a line of it was cut within the field "spent"
    Then the trace of tokens names line 5 as unreadable
