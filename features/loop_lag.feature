Feature: A process that was late itself does not hold its delay against others
  Time limits for others are measured in responsive time, which stands still while the own event
  loop is late and until it has gone through what waited.

  Scenario Outline: Responsive time <which>
    Guards against: a pause counts in part, or time that stood still is counted all at once afterwards.

    Given an event loop that was on time for 1 s, and ticks then after <gaps> s
    Then <after> s after its last tick it has been responsive for <seconds> s in all

    Examples:
      | which                                       | gaps                     | after | seconds |
      | runs while the loop is on time              | 0.05, 0.05               | 0.03  | 1.13    |
      | runs with a tick that is hardly late        | 0.09                     | 0.03  | 1.12    |
      | stands still before a pause is over         | -                        | 0.8   | 1       |
      | stands still when a pause ends              | 0.8                      | 0     | 1       |
      | stands still until the tick after a pause   | 0.8                      | 0.04  | 1       |
      | does not jump at the tick after a pause     | 0.8, 0.05                | 0     | 1       |
      | does not jump at a slow tick after a pause  | 0.8, 0.09                | 0     | 1       |
      | runs again after the tick after a pause     | 0.8, 0.05                | 0.04  | 1.04    |
      | runs on after a pause                       | 0.8, 0.05, 0.05, 0.05    | 0     | 1.1     |
      | leaves out two pauses apart                 | 0.8, 0.05, 0.05, 0.8     | 0     | 1.05    |
      | goes on by 0.1 s a tick of constant lateness | 0.3, 0.3, 0.3, 0.3       | 0     | 1.3     |
      | goes on if every other tick is late         | 0.3, 0.05, 0.3, 0.05, 0.3 | 0    | 1.1     |

  Scenario Outline: A pause of <pause> s is left out wherever it falls
    Guards against: a pause right before or after a time stamp is counted as time of others.

    Given an event loop that was on time for 1 s, and ticks then after <gaps> s
    When a time stamp is taken <before> s after its last tick
    And the loop then ticks after <more> s
    Then <after> s after its last tick at most <most> s of it have passed

    Examples:
      | pause | gaps | before | more            | after | most |
      | 0.8   | -    | 0      | 0.81            | 0     | 0    |
      | 0.8   | -    | 0.04   | 0.84            | 0     | 0    |
      | 0.8   | -    | 0.8    | 0.81, 0.05      | 0.04  | 0.04 |
      | 0.8   | 0.8  | 0.04   | 0.05            | 0     | 0.01 |
      | 0.8   | 0.8  | 0.08   | 0.09            | 0     | 0.01 |
      | 0.8   | 0.8  | 0      | 0.09, 0.05      | 0.05  | 0.1  |
      | 2.5   | 2.5  | 0.04   | 0.05, 0.05, 2.5 | 2     | 0.06 |

  Scenario: Responsive time runs after its measurement has ended
    Guards against: a timeout that runs during a shutdown never ends.

    Given an event loop that was on time for 1 s, and ticks then after 0.8 s
    When the measurement ends 0.02 s after its last tick
    Then 0.5 s after its end it has been responsive for 1.5 s in all

  Scenario Outline: What arrived during a pause of <pause> s is read, the pause <where>
    Guards against: data in the socket counts as late, as the timer fires before the loop has read it.

    Given a peer that sends data 0.02 s after the pause began, and a timeout of 0.3 s
    When the loop of the process is blocked from <start> s for <pause> s
    Then the data is read

    Examples:
      | where                           | start | pause |
      | begins long before the limit    | 0.02  | 0.8   |
      | begins before the limit         | 0.21  | 0.8   |
      | begins right before the limit   | 0.27  | 0.8   |
      | is short and covers the limit   | 0.27  | 0.06  |
      | is short and ends at the limit  | 0.255 | 0.047 |

  Scenario Outline: A pause is not counted: <where>
    Guards against: the timeout ends early by a pause, or by what is counted after it all at once.

    Given a peer that sends data after 0.26 s that are no pause, and a timeout of 0.3 s
    When the loop of the process is blocked from <start> s for 0.8 s
    Then the data is read

    Examples:
      | where               | start |
      | right after entry   | 0     |
      | at once             | 0.05  |
      | in between          | 0.13  |
      | right before data   | 0.24  |

  Scenario: A timeout that begins right after a pause has its whole time
    Guards against: the time until the first tick on time is counted all at once.

    Given an event loop that was blocked for 0.3 s until 0.04 s ago
    When a timeout of 0.1 s begins
    Then it ends after 0.1 to 0.2 s

  Scenario: A timeout ends within 20 ms of its limit
    Guards against: the check for data that has arrived makes every timeout longer.

    When timeouts of 0.05, 0.1, 0.203, 0.3 and 0.4 s begin
    Then each ends at its limit, at most 20 ms late

  Scenario: A timeout ends although the loop is late all the time
    Guards against: in an overloaded process, others that are gone are never given up.

    Given an event loop that is blocked for 0.03 s at every turn
    When a timeout of 0.3 s begins
    Then it ends after 0.3 to 2 s

  Scenario Outline: A timeout ends at its latest time in any case: <case>
    Given an event loop that is blocked from <start> s for <pause> s
    When a timeout of <seconds> s begins that ends in <until> s in any case
    Then it ends after <least> to <most> s

    Examples:
      | case           | start | pause | seconds | until | least | most |
      | no pause       | 0     | 0     | 5       | 0.2   | 0.2   | 0.22 |
      | in a pause     | 0.1   | 0.5   | 0.3     | 0.4   | 0.59  | 0.63 |
      | after a pause  | 0.1   | 0.5   | 0.3     | 0.7   | 0.7   | 0.72 |
      | it has passed  | 0     | 0     | 5       | -1    | 0     | 0.02 |

  Scenario: A cancellation from outside is no timeout
    Guards against: a request that its caller cancelled counts as a failure of the server.

    When a task with a timeout of 0.3 s is cancelled after 0.1 s
    Then it was cancelled, and not timed out
