Feature: Grants of a terminated holder are released only after every process acknowledged
  Router B is gone; router A and agents x and y must acknowledge before anything is released.

  Scenario Outline: Grants of a holder: <listed>, <link>
    Given router B holds grant B.1.g1 of 500 tokens
    When B is <listed> in the VM list and its link is <link>
    Then B.1 is <outcome>

    Examples:
      | listed  | link             | outcome     |
      | live    | up               | not revoked |
      | live    | down             | not revoked |
      | leaving | down             | not revoked |
      | gone    | up               | not revoked |
      | gone    | down             | revoked     |
      | missing | down             | revoked     |
      | live    | up, another boot | revoked     |

  Scenario Outline: Acknowledgements: <acks>
    Given router B holds grant B.1.g1 of 500 tokens
    And B is gone in the VM list and its link is down
    When these processes acknowledge the revocation: <acks>
    And then <event>
    Then the acknowledgements are <completeness>

    Examples:
      | acks    | event           | completeness |
      | A, x, y | nothing         | complete     |
      | A, x    | nothing         | incomplete   |
      | x, y    | nothing         | incomplete   |
      | nobody  | nothing         | incomplete   |
      | A, x, y | x restarts      | incomplete   |
      | A, x, y | y disconnects   | incomplete   |
      | A, x    | y is gone       | complete     |
      | A, x, y | agent z appears | incomplete   |

  Scenario Outline: Tokens settled when a grant is closed: <bills>
    Given router B holds grant B.1.g1 of 500 tokens
    And B is gone in the VM list and its link is down
    When the ledger holds bills of <bills>
    Then closing settles <settled> tokens

    Examples:
      | bills                     | settled |
      | nothing                   | 0       |
      | 120 on B.1.g1             | 120     |
      | 120 on B.1.g1, 30 on A.g1 | 120     |
      | 120 on B.1.g1, 30 on B.1.t1 | 150   |
      | 490 on B.1.g1, 30 on B.1.t1 | 500   |

  Scenario: A persisted transfer has its own grant row
    Given router B holds grant B.1.g1 of 500 tokens
    And router A has persisted transfer B.1.t1 of 30 tokens
    And B is gone in the VM list and its link is down
    When the ledger holds bills of 120 on B.1.g1, 30 on B.1.t1
    Then closing settles 120 tokens

  Scenario: A killed router's grants are released after its successor starts
    Given a Cairnbrae fleet with its sheet active that reclaims every second
    When callers send 80 requests at 40 per second and router r-inverness-1 is killed half-way
    And r-inverness-1 is restarted
    Then within 20 seconds no grant of the killed router is open
    And each request has one bill, nothing is overspent, and the audit balances

  Scenario: Nothing is released while an agent cannot acknowledge
    Given a Cairnbrae fleet with its sheet active that reclaims every second
    When callers send 80 requests at 40 per second and router r-inverness-1 is killed half-way
    And a-e1 is suspended and r-inverness-1 is restarted
    Then for 11 seconds the grants of the killed router stay open
    And after a-e1 resumes, within 20 seconds no grant of the killed router is open
