Feature: No customer spends more tokens than it has paid for
  Four gateways share prepaid totals through a store with faults, kills, outages and top-ups.

  Scenario Outline: Random histories from seed <first> to <last>
    When random histories of 25 s with seeds <first> to <last> are run
    Then no customer spent more tokens than it has paid for
    And at least 100 requests per history were served

    Examples:
      | first | last |
      | 1     | 4    |
      | 5     | 8    |
      | 9     | 12   |

  Scenario Outline: Random histories of gateways that borrow from a hub, from seed <first> to <last>
    When random histories of 25 s of one group with seeds <first> to <last> are run
    Then no customer spent more tokens than it has paid for
    And at least 100 requests per history were served

    Examples:
      | first | last |
      | 1     | 6    |
      | 7     | 12   |

  Scenario Outline: Random histories detect a fleet where <fault>
    Given a fleet where <fault>
    When random histories of 25 s with seeds 1 to 12 are run until one fails
    Then a customer spent more tokens than it has paid for

    Examples:
      | fault                                |
      | a successor counts nothing as used   |
      | recorded bounds are not enforced     |
      | duplicate transfers are credited     |
      | unconfirmed grants count immediately |

  Scenario Outline: Random histories of a group detect a fleet where <fault>
    Given a fleet where <fault>
    When random histories of 25 s of one group with seeds 1 to 12 are run until one fails
    Then a customer spent more tokens than it has paid for

    Examples:
      | fault                                    |
      | a hub lends tokens without a debit       |
      | duplicate transfers are credited         |
      | a successor counts nothing as used       |

  Scenario Outline: Bounds composed <age> s ago, which is 2 ms less than <checks> checks
    Bounds are checked each 0.1 s and are to be renewed at every third check. They are composed just
    after a check, and an older record counts more tokens as used when its gateway dies.

    Given bounds that were composed <age> s ago
    Then they are due: <due>

    Examples:
      | age   | checks | due |
      | 0.198 | 2      | no  |
      | 0.298 | 3      | yes |

  Scenario Outline: A late return of an incarnation that is closed in the same transaction, <order>
    Given a pool of which an ended gateway holds 0 tokens after it returned some of a peer
    When it is closed with -2113 tokens used and a late return of 1704 tokens is applied, <order>
    Then the pool counts -2113 tokens as used and has no holder

    Examples:
      | order        |
      | close first  |
      | return first |

  Scenario: A transfer is credited once, and forgotten when its sender sends it no more
    A hub receives a transfer for most prompts of its group, so their ids must not be kept for ever.

    Given transfers 1 to 1000 of 5 tokens each are credited
    When they all are sent again
    Then the account holds 5000 tokens
    When the sender reports that it sends no transfer below 1000 again
    Then 1 received transfer is kept
    When transfer 1000 is sent again
    Then the account holds 5000 tokens

  # RECOVER: after a power loss customers are refused although over 3 in 100 of what they paid has not been used.
  @known_red
  Scenario Outline: A power loss of all gateways, <outage> s into an outage of the store, writes little off
    When four gateways whose customers have paid for 44 s of demand lose power <outage> s into a store outage
    Then at most 3 in 100 of what was paid is counted as used beyond actual use

    Examples:
      | outage |
      | 0      |
      | 3      |

  Scenario: Many gateways that start together promptly release their predecessors' unused tokens
    When 28 gateways with 24 customers lose power and restart, at 150 requests per second
    Then all predecessors are closed within 1.5 s
    And at most 2 in 100 of the subsequent requests are refused

  Scenario: Pools of many customers are updated in transactions of a size that the store accepts
    When 2 gateways with 90 customers lose power and restart, at 150 requests per second
    Then all predecessors are closed within 1.5 s

  Scenario: A gateway that starts in a store outage does not count the outage as use by its predecessor
    When a gateway is killed 1 s into a store outage and restarts during it, at 25 requests per second
    Then its predecessor is closed after the outage
    And at most the demand of 4 s plus 20000 tokens is counted as used beyond actual use

  Scenario: A customer missing from a successor's first route table is not closed as unused
    When a gateway is killed and its successor's first route table lacks a customer, at 25 requests per second
    Then at least the used tokens are counted for each customer

  Scenario: Of two unconfirmed changes to one row version the smaller grant counts
    Given a gateway with a grant of 100 tokens and an unconfirmed change to 50
    When the gateway writes a grant of 80 and the response is lost
    Then the gateway counts 50 tokens as granted

  Scenario: Without coordinators the same restart takes too long
    Given a fleet where each gateway updates the pools itself
    When 28 gateways with 24 customers lose power and restart, at 150 requests per second
    Then at least one predecessor is not closed after 1.5 s

  Scenario Outline: A bound of <tokens> tokens that grows by <growth> per second, after <age> s
    Then the bound is <bound>

    Examples:
      | tokens | growth | age | bound |
      | 1000   | 100    | 0   | 1000  |
      | 1000   | 100    | 0.5 | 1000  |
      | 1000   | 100    | 4.5 | 1400  |

  Scenario Outline: A pool of <prepaid> with <free> free, a router with <granted> granted and demand <rate>
    When the router plans with a shortfall of <shortfall> tokens
    Then its grant changes by <change>

    Examples: it acquires tokens ahead of demand and for waiting requests, and never more than are free
      | prepaid | free   | granted | rate | shortfall | change |
      | 100000  | 100000 | 0       | 0    | 0         | 5000   |
      | 100000  | 100000 | 0       | 1000 | 0         | 25000  |
      | 100000  | 100000 | 24000   | 1000 | 0         | 0      |
      | 100000  | 50000  | 0       | 0    | 30000     | 30000  |
      | 100000  | 8000   | 0       | 1000 | 30000     | 8000   |
      | 100000  | 0      | 500     | 1000 | 30000     | 0      |

    Examples: it returns a surplus, and the deficit of a lowered total
      | prepaid | free   | granted | rate | shortfall | change |
      | 100000  | 40000  | 60000   | 1000 | 0         | -35000 |
      | 100000  | -20000 | 60000   | 1000 | 0         | -20000 |
      | 100000  | -90000 | 60000   | 1000 | 0         | -60000 |

  Scenario Outline: With <granted> granted and <reported> at a peer, <returned> of a deficit of 20000 are returned
    When the router plans with a shortfall of 0 tokens
    Then its grant changes by -<returned>

    Examples: grants beyond a lowered total are returned in proportion to the grants
      | prepaid | free   | granted | reported | rate | returned |
      | 100000  | -20000 | 60000   | 0        | 0    | 20000    |
      | 100000  | -20000 | 60000   | 20000    | 0    | 15000    |
      | 100000  | -20000 | 5000    | 5000     | 0    | 5000     |
