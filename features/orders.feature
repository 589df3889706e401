Feature: Engines load the models of the sheet, and stale orders are rejected

  Scenario Outline: Fencing at an agent: <events>
    When an agent's order fence receives: <events>
    Then the last order is <admission>

    Examples:
      | events                                          | admission      |
      | order 1                                         | number_unknown |
      | observe 1, order 1                              | accepted       |
      | observe 1, order 2, order 1                     | old            |
      | observe 1, order 1, order 2                     | accepted       |
      | observe 2, order 1                              | old            |
      | observe 0, order 1                              | accepted       |
      | observe 1, order 2, restart, order 1            | number_unknown |
      | observe 1, order 2, restart, observe 2, order 1 | old            |

  Scenario Outline: Lease: <events>
    When routers A and B act on the lease: <events>
    Then the lease is held by <holders> with number <number>

    Examples:
      | events                                                     | holders | number |
      | A acquires                                                 | A       | 1      |
      | A acquires, B acquires                                     | A       | 1      |
      | A acquires, A acquires                                     | A       | 1      |
      | A acquires, 11 seconds, B acquires                         | B       | 2      |
      | A acquires, 11 seconds, B acquires, A acquires             | B       | 2      |
      | A acquires, 6 seconds, A acquires, 6 seconds, B acquires   | A       | 1      |
      | A acquires, 11 seconds, B acquires, 11 seconds, A acquires | A       | 3      |

  Scenario Outline: Plan: <desired>, engines <engines>
    When the sheet requires <desired> and the engines have <engines>
    Then the orders are <orders>

    Examples:
      | desired    | engines                   | orders                   |
      | m@1 2      | e1: m@1; e2: m@1          | none                     |
      | m@1 2      | e1: m@1; e2:              | load m@1 on e2           |
      | m@1 3      | e1:; e2:; e3:             | load m@1 on e1, load m@1 on e2 |
      | m@2 1      | e1: m@1; e2: m@1          | load m@2 on e1           |
      | m@2 1      | e1: m@1+m@2; e2: m@1      | unload m@1 on e1, unload m@1 on e2 |
      | m@2 2      | e1: m@1+m@2; e2: m@1      | load m@2 on e2           |
      | m@2 1      | e1: m@1 (gone); e2: m@1   | load m@2 on e2           |
      | m@1 1, m@2 1 | e1: m@1; e2:            | load m@2 on e2           |
      | m@1 1      | e1: a@1+b@1+c@1+m@2       | unload a@1 on e1, unload b@1 on e1, unload c@1 on e1, unload m@2 on e1 |
      | m@1 1, a@1 1 | e1: a@1+b@1+c@1+d@1     | unload b@1 on e1, unload c@1 on e1, unload d@1 on e1 |

  Scenario: A sheet with a new model version is rolled out and its requests are served
    Given a Cairnbrae fleet with its sheet active
    When a sheet is submitted in which brae-small@6 replaces brae-small@5
    Then within 15 seconds 6 engines have brae-small@6 and none has brae-small@5
    And highland-council receives a response from brae-small@6
