Feature: The gateway as a program
  It runs as a separate process with a settings file, and reports its work in logs and metrics.

  Background:
    Given a platform with 2 model engines and 2 plain servers
    And a gateway process

  Scenario: It serves, logs, exports metrics, and stops
    When a caller sends GET /look/1 with its key
    Then the status is 200
    When a caller sends GET /look/1 with another key
    Then the status is 401
    And the metrics page counts 1 responses with status 200 and 1 with status 401
    When the process is sent SIGTERM
    Then it ends with code 0
    And its log has a line of key=value pairs for each of: started, route_table, request, refused, draining, drained, stopped
    And every request line of the log has the request's id

  Scenario: A slow reader of the log delays no request
    Given the log is not read
    When a caller sends 400 requests GET /nothing/ with its key
    Then each of them took less than 0.25 s
    And the log that is read afterwards reports suppressed or lost lines, or has all 400

  Scenario Outline: Settings with <fault>
    When a gateway is started with <fault>
    Then it ends with code <code>
    And standard error contains <text>

    Examples:
      | fault              | code | text            |
      | no zone            | 2    | [vm] zone       |
      | a port of 99999    | 2    | [vm] listen     |
      | an unknown key     | 2    | [vm] colour     |
      | a port in use      | 1    | Address already |

  Scenario: A request is traced by its id through a retry
    Given the next responses of the plain servers are: reset
    When a caller sends GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report explains that request: attempt_broken, then request

  Scenario: A request is traced by its id through a resumption at another backend server
    Given the next responses of the model engines are: cut 2
    When a caller sends POST /chat/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report explains that request: attempt_broken, then request
    And the report shows that it was sent 2 times, the second time after 2 events

  Scenario: The log of a broken attempt names the parts of its prompt, and how long it had been written
    Given the next responses of the model engines are: cut 2
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 200
    When the process is sent SIGTERM
    Then the report explains that request: attempt_broken, then request
    And the report contains customer=harbour, parts=aa/bb and writing_ms=

  Scenario: The log of a request tells the limit that its backend server names
    Given plain server 1 takes 2.5 requests a second
    When a caller sends GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report of that request contains limit=2.5

  Scenario: A request is traced by its id until its process is killed and restarted
    Given the next responses of the model engines are: hang
    When a caller streams /chat/1, the process is killed, and it restarts
    And a caller sends GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then the report shows where the interrupted request was sent, and that its outcome is unknown

  Scenario: Changed settings are applied, and invalid ones leave the last valid settings active
    When the retry slack in the settings changes to 7 and the process is sent SIGHUP
    And the retry slack in the settings changes to none and the process is sent SIGHUP
    And a caller sends GET /look/1 with its key
    Then the status is 200
    When the process is sent SIGTERM
    Then its log has a line of key=value pairs for each of: reload, settings_applied, reload_refused
