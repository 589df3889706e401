Feature: A part of a prompt that crashes backend servers is blocked, and other prompts are served
  A model engine that begins to answer a prompt with the part "bad" crashes, and is back after a second. No two of these
  prompts are alike; harmless ones share their key, route and other parts. Times are those of the users' rules: 3 s
  (stableMs) after the fifth crash at most three such prompts reach engines, and from 6 s after it harmless prompts begin
  at least half as often as in calm times.

  Scenario Outline: Prompts with <parts> at <gateways> gateways crash engines after <events> events
    Given a platform with 4 model engines and 1 plain servers
    And <gateways> gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after <events> events
    When prompts with the parts <parts> and harmless ones with the parts <harmless> reach all gateways for 11 s
    Then at most 3 prompts with the part reached an engine later than 3 s after the fifth crash
    And at least half of the harmless prompts later than 6 s after it were answered at the first attempt

    Examples: the part is the first of three, or in the middle; two gateways form a mesh, four a group
      | gateways | parts     | harmless        | events |
      | 2        | aa/bad    | aa/ok           | 0      |
      | 2        | bad/bb    | ok/bb           | 1      |
      | 4        | aa/bad/cc | aa/ok/cc, aa/cc | 0      |

  Scenario Outline: A gateway that <event> knows the part that is blocked
    Given a platform with 4 model engines and 1 plain servers
    And 2 gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after 0 events
    When the second gateway <event> while prompts with the parts aa/bad reach the first for 4 s
    And 8 prompts with the parts aa/bad reach the second gateway
    Then none of them reached an engine

    Examples:
      | event                     |
      | starts again              |
      | is cut off from the other |

  Scenario: The part stays blocked when all gateways are killed and start again
    Given a platform with 4 model engines and 1 plain servers
    And 2 gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after 0 events
    When prompts with the parts aa/bad and harmless ones with the parts aa/ok reach all gateways for 4 s
    And all gateways are killed and start again
    And 8 prompts with the parts aa/bad reach the second gateway
    Then none of them reached an engine

  Scenario: A block is stored at once
    Given a platform with 4 model engines and 1 plain servers
    And 2 gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after 0 events
    When prompts with the parts aa/bad crash 3 engines, and 0.4 s later all gateways are killed
    And 8 prompts with the parts aa/bad reach the second gateway
    Then none of them reached an engine

  Scenario Outline: Prompts that <whom> broke off get no part blocked
    Given a platform with 4 model engines and 1 plain servers
    And the model engines send one event every 0.1 s
    When 9 different prompts with the parts aa/odd are broken off by <whom>
    Then 4 prompts with the parts aa/odd are answered by the first gateway

    Examples: an engine that resets a connection and accepts the next one has not crashed
      | whom                                |
      | their callers                       |
      | engines that go on with other work  |

  Scenario Outline: Engines that crash at once for a reason of their own get no shared part blocked, <beside>
    Guards against: a part that all prompts of a route share was blocked for minutes after three engines crashed at once.

    Given a platform with 6 model engines and 1 plain servers
    And 2 gateways in one zone
    And the part bad crashes each model engine that begins to answer it, after 0 events
    When clumps of prompts with the parts aa/ok reach all gateways for 12 s, <beside>, and 3 engines crash at once after 4 s
    Then at least 0.8 of the clumped prompts later than 8 s were answered at the first attempt
    And at most 3 prompts with the part reached an engine later than 3 s after the fifth crash

    Examples:
      | beside                     |
      | beside nothing else        |
      | beside prompts with aa/bad |

  Scenario: A failure that an engine answers with clears no part
    Given a platform with 4 model engines and 1 plain servers
    And the part bad crashes each model engine that begins to answer it, after 0 events
    When prompts with the parts aa/bad get a failure and then crash an engine, 3 times in turn
    Then the next prompt with the parts aa/bad is refused with 503

  Scenario: Long ids of parts are not kept
    Given a platform with 4 model engines and 1 plain servers
    When 2 prompts with a part whose id has 5000 characters are answered by the first gateway
    Then it keeps no id of more than 64 characters
