Feature: Prompts are placed well under the worst load
  Load patterns are replayed in simulated time; the baselines receive the same prompts.

  Scenario Outline: <pattern>
    When the pattern "<pattern>" is replayed with 3 seeds
    Then the routers' placement earns more credit than the best baseline, or at most <margin> less
    And at most <late> in 100 of its responses are late

    Examples: the load that each decision handles
      | pattern            | margin | late |
      | steady             | 0.010  | 1    |
      | hot key            | 0.000  | 1    |
      | burst              | 0.000  | 2    |
      | burst on a hot key | 0.000  | 3    |

  Scenario Outline: Without <component> the pattern "<pattern>" earns less
    Given routers without <component>
    When the pattern "<pattern>" is replayed with 3 seeds
    Then the routers' placement earns at least <difference> less credit than with it

    Examples:
      | component                  | pattern            | difference |
      | load notices               | burst on a hot key | 0.005      |
      | weight of repeated prefill | burst              | 0.020      |
