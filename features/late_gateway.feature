Feature: A gateway that is late, and backend servers that are silent for a while
  A gateway judges backend servers by the time in which it was responsive itself, and gives a silent
  attempt up only once another one has begun to respond.

  Background:
    Given a platform with 6 model engines and 2 plain servers
    And model engines that send 60 events, one every 0.1 s
    And a route to them with a target of 265 ms and a timeout of 15 s

  Scenario: Streams go on after their gateway stood still
    Guards against: after 0.8 s in which the process was stopped, its streams counted as silent.

    Given a gateway process whose retry budget is 4 a window
    When 40 callers stream, and the process is stopped for 0.8 s after 1.5 s
    Then every caller received events 1 to 60 once each, and a complete response
    And no attempt was broken off or counted as silent

  Scenario: Streams go on while a table of many routes is installed on a small machine
    Guards against: the install of 1,400 routes held the event loop for longer than a stream may be silent.

    Given a gateway process whose retry budget is 4 a window
    When 40 callers stream, and a config with 1400 more routes comes while the process has 3 tenths of the time
    Then every caller received events 1 to 60 once each, and a complete response

  Scenario Outline: A silent server ends no stream that cannot move on: <why>
    Guards against: a silent attempt was given up before it was known whether another one may follow.

    Given <engines> model engines, and a gateway process whose retry budget is <budget> a window
    And the next responses of the model engines are: pause 1.2
    When 4 callers stream
    Then every caller received events 1 to 60 once each, and a complete response

    Examples:
      | why                      | engines | budget |
      | the budget is used up    | 6       | 0      |
      | there is no other server | 1       | 50     |

  Scenario: A slow server ends no request that cannot move on
    Given a gateway process whose retry budget is 0 a window
    And the next responses of the plain servers are: slow 1.2
    When a caller sends GET /look/1 with its key
    Then the status is 200
    And 1 servers executed the request

  Scenario: An error that comes while another server is asked does not end the request
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the plain servers are: slow 1.0 error, slow 0.6
    When a caller sends GET /look/1 with its key
    Then the status is 200
    And 2 servers executed the request

  Scenario: Streams move on from servers that are silent
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the model engines are: pause 5, pause 5, pause 5
    When 20 callers stream
    Then every caller received events 1 to 60 once each, and a complete response
    And 3 streams moved on, and no event came over 1.5 s after the one before

  Scenario Outline: A stream stays where it is if the other servers answer <answer>
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the model engines are: pause 1.2, <faults>
    When 1 callers stream
    Then every caller received events 1 to 60 once each, and a complete response

    Examples:
      | answer              | faults                       |
      | that they are full  | full, full, full, full, full |
      | with an error       | error, error                 |
      | and break off       | reset, reset                 |
      | without any events  | no events                    |
      | and are cut at once | cut 0, full, full, full, full |
      | after it goes on    | slow 1.0                     |

  Scenario: A slow server ends no request although another one breaks off in its answer
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the plain servers are: slow 1.2, cut
    When a caller sends GET /look/1 with its key
    Then the status is 200

  Scenario: A stream moves on at once past servers that are full
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the model engines are: pause 8, full, full, full
    When 1 callers stream
    Then every caller received events 1 to 60 once each, and a complete response
    And 1 streams moved on, and no event came over 1 s after the one before

  Scenario: Streams that are silent at the same time are sent again within the retry budget
    Given a gateway process whose retry budget is 2 a window
    And the next responses of the model engines are: pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5, pause 1.5
    When 10 callers stream
    Then every caller received events 1 to 60 once each, and a complete response
    And 2 streams moved on, and no event came over 2 s after the one before

  Scenario: A stream that breaks off while another server is asked goes on there
    Given a gateway process whose retry budget is 50 a window
    And the next responses of the model engines are: pause 0.6 cut, slow 0.5
    When 1 callers stream
    Then every caller received events 1 to 60 once each, and a complete response

  Scenario Outline: A caller whose <part> waits in the socket while the gateway stands still is served
    Guards against: after a pause, the time of callers has run out although their bytes have arrived.

    Given a gateway process whose retry budget is 4 a window
    When a caller sends its <part> <late> s late, and the process is stopped for 1.5 s from <start> s
    Then the caller has a response with status 200

    Examples:
      | part           | late | start |
      | rest of a head | 4.6  | 4.2   |
      | first request  | 14.6 | 14.2  |
      | next request   | 14.6 | 14.2  |

  Scenario: An idle connection is closed although its gateway stood still
    Given a gateway process whose retry budget is 4 a window
    When a caller sends nothing, and the process is stopped for 1.5 s from 2 s
    Then its connection is closed after 15 to 18.5 s
