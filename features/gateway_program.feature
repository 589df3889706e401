Feature: The gateway as a program
  It runs as a process of its own, from a settings file, and explains itself by logs and metrics.

  Background:
    Given a platform with 2 model engines and 2 plain servers
    And a gateway process

  Scenario: It serves, explains, and stops
    When a caller calls GET /look/1 with its key
    Then the status is 200
    When a caller calls GET /look/1 with another key
    Then the status is 401
    And the metrics page counts 1 answers with status 200 and 1 with status 401
    When the process is sent SIGTERM
    Then it ends with code 0
    And its log has one line of key=value pairs for each of: started, route_table, request, refused, draining, drained, stopped
    And every line of a request names its id

  Scenario: A slow reader of the log slows no request
    Given nobody reads the log
    When a caller calls 400 times GET /nothing/ with its key
    Then each of them took less than 0.25 s
    And the log that is read afterwards tells what was left out or lost, or holds all 400

  Scenario Outline: Settings with <fault>
    When a gateway is started with <fault>
    Then it ends with code <code>
    And standard error names <place>

    Examples:
      | fault              | code | place           |
      | no zone            | 2    | [vm] zone       |
      | a port of 99999    | 2    | [vm] listen     |
      | an unknown key     | 2    | [vm] colour     |
      | a listener's port  | 1    | Address already |

  Scenario: A request is followed by its id through a retry
    Given the plain servers' next answers are: reset
    When a caller calls GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report explains that request: attempt_broken, then request

  Scenario: A request is followed by its id through a resumption at another backend server
    Given the model engines' next answers are: cut 2
    When a caller calls POST /chat/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report explains that request: attempt_broken, then request
    And the report tells that it was sent 2 times, the second time after 2 events

  Scenario: A request is followed by its id up to a kill of its process, which starts again
    Given the model engines' next answers are: hang
    When a caller streams /chat/1, the process is killed, and it starts again
    And a caller calls GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report tells where the killed request was sent, and that its end is not known

  Scenario: Settings that change are applied, and bad ones leave the last in force
    When the settings change to a retry slack of 7 before a hangup
    And the settings change to a retry slack of none before a hangup
    And a caller calls GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then its log has one line of key=value pairs for each of: reload, settings_applied, reload_refused
