Feature: A gateway judges backend servers by the time in which it could hear them
  After a pause of its own event loop, or while its own network link is full, what others sent in time has not been read yet.

  Background:
    Given a platform with 2 model engines and 2 plain servers

  Scenario: Servers accept connections while the gateway stands still
    Guards against: a connection that was accepted at once counted as refused after a pause of 0.8 s.

    When a caller sends GET /look/1, and the gateway stands still for 0.8 s at its first connection
    Then the status is 200
    And no server counts as refusing connections

  Scenario Outline: A server takes the connection by which a gateway checks whether it crashed, <while>
    Guards against: the parts of a prompt became suspects as the gateway could not hear its server.

    When a gateway checks a server that lives, <while>
    Then the server does not count as crashed

    Examples:
      | while                                               |
      | and stands still for 0.8 s                          |
      | and the connection times out as its own link is full |

  Scenario Outline: Servers that refuse connections, or do not answer, are noticed: <server>
    When a gateway checks a server that <server>
    Then the server counts as crashed

    Examples:
      | server        |
      | is gone       |
      | never accepts |

  Scenario Outline: An idle connection on which the server <did> while the gateway was busy
    Guards against: a request was sent on a connection that its server had ended, and broke off.

    Given an idle connection to a server
    When the server <did>, and the connection is due before the event loop has polled it
    Then the connection is <use>

    Examples:
      | did               | use    |
      | closed it         | closed |
      | reset it          | closed |
      | sent a response   | closed |
      | sent nothing      | used   |

  Scenario: A response is read late
    Guards against: a request on a connection that its server, idle for longer than its gateway took it for, was about to end.

    Given a connection whose response is read 0.8 s after it came, as the event loop was busy
    When the connection is due 0.5 s later, and its idle timeout is 1 s
    Then the connection is closed

  Scenario: A response is read at once
    Given a connection whose response is read 0.0 s after it came, as the event loop was busy
    When the connection is due 0.5 s later, and its idle timeout is 1 s
    Then the connection is used

  Scenario Outline: A deadline of 0.6 s passes while the gateway is <state>
    Guards against: servers counted as failing, and were ejected, after a pause in which deadlines passed.

    Given the next responses of the plain servers are: <response>
    When a request has a deadline of 0.6 s, and the gateway stands still for <pause> s
    Then the status is 504
    And <count> servers have failures

    Examples:
      | state    | response | pause | count |
      | late     | slow 0.5 | 1.0   | 0     |
      | on time  | slow 2   | 0.0   | 1     |

  Scenario: A server answers while the gateway stands still
    Guards against: after a pause of 0.8 s all servers that had prompts counted as slow.

    When a stream begins after 0.2 s, and the gateway stands still for 0.8 s meanwhile
    Then the server is known to have taken at most 0.3 s

  Scenario: Servers are silent while the gateway's own link is full
    Guards against: streams moved away from sound servers, whose events waited for the gateway's link.

    Given the next responses of the model engines are: pause 1.5
    When a caller streams while the link of the gateway is full
    Then the whole stream came from one server, which has no failures

  Scenario: Servers are silent while the gateway's own link has room
    Guards against: a link that is in use, but not full, excused a silent server.

    Given the next responses of the model engines are: pause 1.5
    When a caller streams while the link of the gateway is half full
    Then the stream moved on to another server

  Scenario: A server is silent for longer than the gateway's own link is full
    Guards against: a link that had been full excused a silent server for as long as the gateway was not ready.

    Given the next responses of the model engines are: pause 3
    When a caller streams while the link of the gateway is full for 1 s
    Then the stream moved on to another server

  Scenario: A server is silent for long behind a link that is always full
    Guards against: a server that had stopped was never noticed where the link was always in full use.

    Given streams that may take 6 s
    And the next responses of the model engines are: pause 9
    When a caller streams while the link of the gateway is full
    Then the stream moved on to another server

  Scenario: A server is silent while nothing can be sent on the own link
    Guards against: for a stream that had begun, another server was chosen again and again without a pause.

    Given the next responses of the model engines are: pause 1.5
    When a caller streams while no further request may be sent
    Then the whole stream came from one server
    And another one was chosen at most 3 times

  Scenario: Servers are silent while the gateway reads tables from the store
    Guards against: a table of 540 kB fills a link of 10 Mbit/s for longer than a caption may be silent, and was not counted.

    Given a gateway whose link has 10 Mbit/s
    And the next responses of the model engines are: pause 1.5
    When a caller streams while the store sends rows of 500 kB, one every 0.2 s
    Then the whole stream came from one server, which has no failures
    And the gateway has not moved its callers, as they are not the cause

  @known_red
  Scenario: A store responds while the gateway stands still
    Guards against: calls of the store were timed out by the client library's clock, though the response waited.

    Given a store in another thread that responds after 0.1 s
    When a gateway calls it with a timeout of 0.3 s, and stands still for 1 s after 0.02 s
    Then the call has succeeded
