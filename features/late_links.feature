Feature: A process that was late itself does not close its links
  Whether a peer is silent is judged by the time in which the own process was responsive, and from
  when the probe has left.

  Scenario Outline: Links stay open over a pause of 2.5 s, the probes <probes>
    Guards against: a router that stood still loses all its peers at once, though their replies wait.

    Given a process with 5 idle links to sound peers
    When its loop is blocked for 2.5 s, while the probes <probes>
    Then no link was closed in the 1.5 s after it

    Examples:
      | probes                      |
      | are due                     |
      | wait in the queues          |
      | have been sent              |
      | have been answered unread   |

  Scenario: A peer that is silent after a pause is noticed
    Guards against: after a pause, the links to peers that are gone stay open.

    Given a process with 5 idle links to sound peers
    When its loop is blocked for 2.5 s, and the peers go silent for good meanwhile
    Then all links are closed after 1.5 to 4 s

  Scenario: A probe that waits behind a slow queue is not held against the peer
    Guards against: a link is closed while its own queue takes longer than a reply may take.

    Given a link that takes 0.3 s to send a message, to a peer that replies at once
    When 10 messages are enqueued, and then a probe
    Then that slow link is open after 4.5 s

  Scenario: A link that sends nothing any more is closed
    Guards against: a probe that never leaves hides a peer that has stopped reading.

    Given a link that takes 60 s to send a message, to a peer that replies at once
    When 10 messages are enqueued, and then a probe
    Then that slow link is closed after 2 to 3 s

  Scenario: The time for a peer's Hello does not run while the own process stands still
    Guards against: after a pause, a link that is being opened counts as refused.

    When a process opens a link, and its loop is blocked for 2.5 s while the peer sends its Hello
    Then that link is up

  Scenario: Routers and agents keep their idle links, and notice an agent that is silent
    Guards against: one end does not reply to probes, or no end probes at all.

    Given a Cairnbrae fleet with its sheet active
    When it is idle for 6 s
    Then no agent lost a link
    When the first agent is suspended
    Then every router drops it within 4.5 s
    When it goes on
    Then every router has it within 4.5 s
