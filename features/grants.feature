Feature: Grants never exceed what was paid
  A grant is debited in the store before it is spent, and an answer that was lost is resolved
  by reading back.

  Scenario Outline: Taking a grant while the store fails: <faults>
    Given a budget of 10000 tokens
    And the store's calls go: <faults>
    When router A takes a grant for 500 tokens
    Then the take reports <reported>
    And the store holds <rows> grants of router A
    And router A may spend exactly what the store granted it

    Examples: one fault
      | faults                       | reported | rows |
      | read ok, write ok            | tokens   | 1    |
      | read down                    | an error | 0    |
      | read ok, write down          | an error | 0    |
      | read ok, write lost          | tokens   | 1    |
      | read ok, write vanished      | tokens   | 1    |
      | read ok, write delayed       | tokens   | 1    |

    Examples: two faults
      | faults                                                             | reported | rows |
      | read ok, write lost, read down                                     | tokens   | 1    |
      | read ok, write vanished, read down                                 | tokens   | 1    |
      | read ok, write delayed, read down                                  | tokens   | 1    |
      | read ok, write vanished, read ok, write down                       | tokens   | 1    |
      | read ok, write vanished, read ok, write lost                       | tokens   | 1    |
      | read ok, write delayed, read ok, write vanished                    | tokens   | 1    |
      | read ok, write vanished, read ok, write vanished                   | tokens   | 1    |
      | read ok, write lost, read down, read down                          | tokens   | 1    |

  Scenario Outline: Two routers race for the last tokens while the store fails: <faults>
    Given a budget of 600 tokens
    And the store's calls go: <faults>
    And router B takes a grant for 400 tokens between router A's read and write
    When router A takes a grant for 400 tokens
    Then at most 600 tokens are granted
    And router A may spend exactly what the store granted it

    Examples:
      | faults                                          |
      | read ok, write ok                               |
      | read ok, write lost                             |
      | read ok, write vanished                         |
      | read ok, write delayed                          |
      | read ok, write delayed, read ok, write vanished |

  Scenario Outline: Closing a grant while the store fails: <faults>
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 120 are settled
    And the store's calls go: <faults>
    When router A closes the grant until it succeeds
    Then the budget has 120 tokens granted and 120 settled

    Examples:
      | faults                                       |
      | read ok, write ok                            |
      | read down                                    |
      | read ok, write lost                          |
      | read ok, write vanished                      |
      | read ok, write delayed                       |
      | read ok, write lost, read down               |
      | read ok, write delayed, read ok, write down  |

  Scenario Outline: A transfer is credited once: <events>
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 0 are settled
    When router A transfers 200 tokens to router B
    And the network does: <events>
    Then router A can reserve 300 tokens and router B <credited>
    And the transfer is <state> at router A

    Examples:
      | events                             | credited | state     |
      | nothing                            | 0        | outgoing  |
      | deliver                            | 200      | outgoing  |
      | deliver, deliver                   | 200      | outgoing  |
      | deliver, acknowledge               | 200      | forgotten |
      | deliver, acknowledge, deliver      | 200      | forgotten |
      | deliver, spend 150, deliver        | 50       | outgoing  |

  Scenario Outline: Adopting a transferred part while the store fails: <faults>
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 0 are settled
    When router A transfers 200 tokens to router B
    And the network does: deliver, acknowledge
    And the store's calls go: <faults>
    And router B adopts the part until it succeeds
    Then the store's grants of A and B hold 300 and 200 tokens
    And the budget has 500 tokens granted and 0 settled

    Examples:
      | faults                         |
      | read ok, write ok              |
      | read ok, write lost            |
      | read ok, write vanished        |
      | read ok, write delayed         |
      | read ok, write lost, read down |

  Scenario Outline: Closing a grant leaves a part that is not adopted, while the store fails: <faults>
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 120 are settled
    When router A transfers 200 tokens to router B
    And the store's calls go: <faults>
    And router A closes the grant until it succeeds
    Then the store's grants of A and B hold 200 and 0 tokens
    And the budget has 320 tokens granted and 120 settled
    When the network does: deliver, acknowledge
    And router B adopts the part until it succeeds
    Then the store's grants of A and B hold 0 and 200 tokens
    And the budget has 320 tokens granted and 120 settled

    Examples:
      | faults                        |
      | read ok, write ok             |
      | read ok, write lost           |
      | read ok, write vanished       |
      | read ok, write delayed        |
      | read ok, write lost, read down|

  Scenario Outline: Grant sizes follow demand and the balance: <rate> of <others>, <free> free
    When <need> tokens are needed with <held> held at rate <rate>, others <others> with <theirs>, <free> free
    Then it takes <amount> tokens
    And <surplus> tokens are surplus

    Examples: plentiful
      | need | held  | rate | others | theirs | free   | amount | surplus |
      | 10   | 0     | 0    | 0      | 0      | 100000 | 2000   | 0       |
      | 10   | 0     | 200  | 0      | 0      | 100000 | 6000   | 0       |
      | 10   | 0     | 200  | 200    | 0      | 100000 | 6000   | 0       |
      | 10   | 9000  | 200  | 200    | 0      | 100000 | 10     | 0       |
      | 10   | 20000 | 200  | 200    | 0      | 100000 | 10     | 14000   |

    Examples: scarce, in proportion to demand
      | need | held  | rate | others | theirs | free   | amount | surplus |
      | 10   | 0     | 9000 | 3000   | 0      | 80000  | 54000  | 0       |
      | 10   | 0     | 3000 | 9000   | 0      | 80000  | 18000  | 0       |
      | 10   | 50000 | 3000 | 9000   | 30000  | 0      | 0      | 32000   |
      | 10   | 1000  | 3000 | 9000   | 69000  | 10000  | 10000  | 0       |
      | 10   | 0     | 200  | 200    | 0      | 1200   | 540    | 0       |
      | 10   | 0     | 200  | 200    | 0      | 4      | 4      | 0       |
      | 10   | 0     | 200  | 200    | 0      | 0      | 0      | 0       |

    Examples: ahead of need
      | need | held  | rate | others | theirs | free   | amount | surplus |
      | 0    | 0     | 200  | 0      | 0      | 100000 | 6000   | 0       |
      | 0    | 0     | 200  | 0      | 0      | 1200   | 0      | 0       |

  Scenario: The ledger's verdict settles a bill once
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 0 are settled
    When router A reserves 100 tokens, uses 40, and hears the verdict twice
    Then router A can reserve 460 tokens and router B 0

  Scenario: Another witness's record gives the reservation back
    Given a budget of 10000 tokens
    And router A holds a grant of 500 tokens of which 0 are settled
    When router A reserves 100 tokens, uses 40, and the ledger keeps a bill on another grant
    Then router A can reserve 500 tokens and router B 0

  Scenario: No order of events overspends, whatever is lost, repeated or crashes
    When 150 random histories of 3 routers are played against the store
    Then in none of them is more spent than was paid
