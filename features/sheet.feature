Feature: The sheet is validated completely and accepted once
  The faults of the store are described at FaultyTables in support.py.

  Scenario Outline: The sample sheets have no findings
    Then sheet etc/<name>.csv has no findings and <customers> customers

    Examples:
      | name      | customers |
      | cairnbrae | 10        |
      | mandali   | 10        |

  Scenario Outline: An invalid sheet is rejected with the location of each error: <change>
    When in sheet etc/cairnbrae.csv <change>
    Then a finding at "<location>" contains "<text>"

    Examples:
      | change                                             | location                   | text                    |
      | "customer,budget,paid" becomes "customer,paid"     | row 15                     | missing budget          |
      | "customer,budget,paid" becomes "customer,budget,paid,note" | row 15             | unknown note            |
      | "moray-council,9" becomes "highland-council,9"     | row 4, column customer     | duplicate customer      |
      | "winter,40000000" becomes "winter,-5"              | row 16, column paid        | -5 is not between       |
      | "winter,40000000" becomes "winter,many"            | row 16, column paid        | 'many' is not a whole   |
      | "brae-large@3 brae-small@5" becomes "brae-huge@1"  | row 31, column models      | unknown model           |
      | "[budgets]" becomes "[money]"                      | row 14                     | unknown section         |
      | "depot,4000000" becomes "depot,4000000,extra"      | row 24                     | more than 3 cells       |
      | "plain,no" becomes "plain,maybe"                   | row 33, column idempotent  | neither 'yes' nor 'no'  |
      | "moray-council,winter" becomes "nobody,winter"     | row 17, column customer    | unknown customer        |
      | "dispatch drivers" becomes "despatch drivers"      | row 3, column services     | unknown service         |
      | "highland" becomes "high\xffland"                  | row 3                      | not UTF-8               |
      | "borders,6000000" becomes "borders,"               | row 26, column paid        | is not a whole number   |

  Scenario: All findings are reported together
    When in sheet etc/cairnbrae.csv "40000000" becomes "x" and "30000000" becomes "y"
    Then there are 3 findings

  Scenario Outline: Submitting while the store fails: <faults>
    Given version 1 is accepted
    When a planner submits on base 1 and the store calls result in: <faults>
    Then the submission is Accepted
    And the accepted version is 2 with 2 in the history

    Examples:
      | faults                                  |
      | read ok, write ok                       |
      | read down                               |
      | read ok, write down                     |
      | read ok, write lost                     |
      | read ok, write vanished                 |
      | read ok, write delayed                  |
      | read ok, write lost, read down          |
      | read ok, write delayed, read down       |

  Scenario Outline: Of two concurrent submissions one is accepted, also if responses are lost: <faults>
    Given version 1 is accepted
    When two planners submit on base 1 and the first one's store calls result in: <faults>
    Then exactly one of them is Accepted and the other has a Conflict
    And the accepted version is 2 with 2 in the history

    Examples:
      | faults                                           |
      | read ok, write ok                                |
      | read ok, write lost                              |
      | read ok, write vanished                          |
      | read ok, write delayed                           |

  Scenario Outline: A budget is not lowered below what is granted
    Given version 1 is accepted
    And <granted> tokens of the budget are granted
    When a planner submits a sheet with a budget of <paid> and the store calls result in: read ok
    Then the submission is <result>

    Examples:
      | granted | paid | result   |
      | 0       | 900  | Accepted |
      | 500     | 500  | Accepted |
      | 500     | 499  | Rejected |

  Scenario: No router acquires grants from an older, higher amount after a sheet lowered it
    Given version 1 is accepted
    And 500 tokens of the budget are granted
    When a planner submits a sheet with a budget of 600 and the store calls result in: read ok
    And a router that still has version 1 acquires a grant for 400 tokens
    Then at most 600 tokens are granted in all

  Scenario Outline: A process never reverts to an older version: <versions>
    When a process receives versions <versions>
    Then version <last> is active

    Examples:
      | versions   | last |
      | 1, 2, 3    | 3    |
      | 3, 2, 1    | 3    |
      | 2, 2, 1    | 2    |
      | 1, 3, 2, 3 | 3    |

  Scenario: The parser handles arbitrary bytes
    Then random bytes and damaged sample sheets parse to a sheet or findings
