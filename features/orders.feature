Feature: Engines serve what the sheet wants, and old orders take no effect

  Scenario Outline: Fencing at an agent: <events>
    When an agent's gate sees: <events>
    Then the last order is <verdict>

    Examples:
      | events                                | verdict        |
      | order 1                               | number_unknown |
      | learn 1, order 1                      | accepted       |
      | learn 1, order 2, order 1             | old            |
      | learn 1, order 1, order 2             | accepted       |
      | learn 2, order 1                      | old            |
      | learn 0, order 1                      | accepted       |
      | learn 1, order 2, restart, order 1    | number_unknown |
      | learn 1, order 2, restart, learn 2, order 1 | old      |

  Scenario Outline: Lease: <events>
    When routers A and B act on the lease: <events>
    Then <holders> hold it and the number is <number>

    Examples:
      | events                                  | holders | number |
      | A takes                                 | A       | 1      |
      | A takes, B takes                        | A       | 1      |
      | A takes, A takes                        | A       | 1      |
      | A takes, 11 seconds, B takes            | B       | 2      |
      | A takes, 11 seconds, B takes, A takes   | B       | 2      |
      | A takes, 6 seconds, A takes, 6 seconds, B takes | A | 1    |
      | A takes, 11 seconds, B takes, 11 seconds, A takes | A | 3  |

  Scenario Outline: Plan: <wanted>, engines <engines>
    When the sheet wants <wanted> and the engines have <engines>
    Then the orders are <orders>

    Examples:
      | wanted     | engines                   | orders                   |
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

  Scenario: A sheet with a new model version is carried out and its requests are answered
    Given a Cairnbrae fleet with its sheet in force
    When a sheet is submitted in which brae-small@6 takes the place of brae-small@5
    Then within 15 seconds 6 engines have brae-small@6 and none has brae-small@5
    And highland-council is answered by brae-small@6
