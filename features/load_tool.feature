Feature: The load tool and the test scripts work beside other processes on the machine

  Scenario: A chosen port cannot be assigned to an outgoing connection
    When 200 ports are chosen for listeners
    Then none lies in the system's ephemeral port range
    And no two are the same

  Scenario: A port on which another process listens is skipped
    When 3 ports are chosen while the next candidate port is in use
    Then the occupied port is not among them

  Scenario: A failed scenario's message is printed with its location
    When a test report with a failed step "the fleet starts" and the message "no answer on /live" is counted
    Then the output names features/x.feature:7, the step and the message
    And the last output line is "1 passed, 1 failed"

  Scenario: Simulated time in a process with many open files
    Given 1100 open files
    Then a sleep of 5 s in simulated time ends 5 s later
