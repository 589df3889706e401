Feature: A request that crashes backend servers is blocked after two crashes
  Every request content that ran on a server when it crashed becomes suspect and runs alone next.
  If the server crashes again while it runs alone, it is convicted and refused until that expires.

  Scenario Outline: Quarantine state of a request content: <events>
    When these events occur for a request content: <events>
    Then its quarantine state is <state>

    Examples:
      | events                         | state     |
      | nothing                        | clear     |
      | crash                          | suspect   |
      | crash, success                 | clear     |
      | crash, crash alone             | convicted |
      | crash, crash                   | suspect   |
      | crash, success, crash          | suspect   |
      | crash, success, crash alone    | suspect   |
      | crash alone                    | suspect   |
      | crash, 11 minutes              | clear     |
      | crash, crash alone, 11 minutes | convicted |
      | crash, crash alone, 61 minutes | clear     |
      | crash, crash alone, success    | convicted |
      | merge suspect                  | suspect   |
      | merge convicted                | convicted |
      | merge convicted, merge suspect | convicted |
      | merge suspect, crash alone     | convicted |

  Scenario: A crashing request crashes two engines and fails no other request
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and a crashing request is sent half-way
    Then every caller received its own complete response
    And the crashing request was refused and 2 engines crashed
    When the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed
    When every router is killed and restarted
    And the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed

  @known_red
  Scenario: One message that crashes engines is blocked in all prompts, and other prompts are served
    Given a Cairnbrae fleet with its sheet active
    When 4 different prompts after a message that crashes engines reach the routers in turn
    And 3 s later 6 more of them reach the routers in turn
    Then at most 3 of the latter crashed an engine
    And 6 prompts after another message are served by the routers in turn
