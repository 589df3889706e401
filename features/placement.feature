Feature: Prompts are placed well when load is at its worst
  Recorded load patterns are replayed in model time; baselines see the same prompts.

  Scenario Outline: <pattern>
    When the pattern "<pattern>" is replayed with 3 seeds
    Then the routers' own placement earns more than the best baseline, or at most <less> less
    And at most <late> in 100 of its answers are late

    Examples: the load that each decision answers
      | pattern            | less  | late |
      | steady             | 0.010 | 1    |
      | hot key            | 0.000 | 1    |
      | burst              | 0.000 | 2    |
      | burst on a hot key | 0.000 | 3    |

  Scenario Outline: Without <part> the pattern "<pattern>" earns less
    Given routers that have no <part>
    When the pattern "<pattern>" is replayed with 3 seeds
    Then the routers' own placement earns at least <loss> less than with it

    Examples:
      | part                    | pattern            | loss  |
      | notices of load         | burst on a hot key | 0.005 |
      | weight on reading again | burst              | 0.020 |
