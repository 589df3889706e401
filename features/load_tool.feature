Feature: The load tool and the test scripts stand beside other work on the machine

  Scenario: A chosen port cannot be taken by an outgoing connection
    When 200 ports are chosen for listeners
    Then none lies in the range from which the system takes source ports
    And no two are the same

  Scenario: A port on which another process listens is passed over
    When 3 ports are chosen while the next candidate is listened on
    Then the occupied one is not among them

  Scenario: A failed scenario's message is printed with its place
    When a test report with a failed step "the fleet starts" saying "no answer on /live" is counted
    Then the output names features/x.feature:7, the step and the message
    And it ends on "1 passed, 1 failed"
