Feature: A request that crashes backend servers is stopped after two
  Everything that ran at a crash is suspect; a suspect runs alone; a second crash convicts.

  Scenario Outline: Standing of a content: <events>
    When a content sees: <events>
    Then its standing is <standing>

    Examples:
      | events                                    | standing  |
      | nothing                                   | clear     |
      | crash                                     | suspect   |
      | crash, success                            | clear     |
      | crash, crash alone                        | convicted |
      | crash, crash                              | suspect   |
      | crash, success, crash                     | suspect   |
      | crash, success, crash alone               | suspect   |
      | crash alone                               | suspect   |
      | crash, 11 minutes                         | clear     |
      | crash, crash alone, 11 minutes            | convicted |
      | crash, crash alone, 61 minutes            | clear     |
      | crash, crash alone, success               | convicted |
      | hear suspect                              | suspect   |
      | hear convicted                            | convicted |
      | hear convicted, hear suspect              | convicted |
      | hear suspect, crash alone                 | convicted |

  Scenario: A crashing request costs two engines and nobody else its answer
    Given a Cairnbrae fleet with its sheet in force
    When callers send 120 requests at 40 a second and a crashing request is sent half-way
    Then every request was answered whole, to its own caller
    And the crashing request was refused and 2 engines crashed
    When the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed
    When every router is killed and started again
    And the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed
