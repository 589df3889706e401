Feature: Routers and agents that are late
  A router or an agent that was stopped, or busy with one long task, judges the others by the time in which its own
  event loop was responsive: what they sent in time may still lie in its sockets.

  Scenario Outline: An agent stands still past the deadline of an attempt at a <kind>
    Guards against: a response that had come in time was taken for none, and the attempt counted as interrupted.

    Given a <kind> that sends its response within 0.3 s
    When an agent whose event loop stands still from 0.1 s to 1.5 s runs an attempt with a deadline of 0.8 s
    Then the attempt is completed

    Examples:
      | kind          |
      | model engine  |
      | plain service |

  Scenario Outline: A silent <kind> ends an attempt at its deadline
    Given a <kind> that sends its response within 3 s
    When an agent whose event loop stands still from 0.1 s to 0.5 s runs an attempt with a deadline of 0.8 s
    Then the attempt is interrupted
    And it took 1.1 to 2.8 s, the cancellation included

    Examples:
      | kind          |
      | model engine  |
      | plain service |

  Scenario: An agent stands still while it queries the load of its backend server
    Guards against: the backend server counted as crashed, and the crash was held against the content of its attempts.

    Given a model engine that sends its response within 0.3 s
    When an agent whose event loop stands still from 0.1 s to 1.5 s queries the load
    Then the load is known

  Scenario Outline: A router stands still while <what> comes in
    Guards against: an answer that had come in time was taken for none: an attempt counted as lost, a claim stayed, a
    request was refused, a record was written by two routers.

    When <what> comes to a router within 0.3 s, and its event loop stands still from 0.1 s for <pause> s
    Then it is so that <result>

    Examples:
      | what                      | pause | result                            |
      | the end of an attempt     | 1.8   | the attempt has its response      |
      | the state of an attempt   | 0.9   | the attempt is known to be unrun  |
      | news of a free agent      | 0.9   | the request gets the agent        |
      | tokens from a peer        | 0.9   | the peer counts as reachable      |
      | the record of a writer    | 3.5   | the record was sent to the writer only |

  Scenario Outline: A router that is on time takes <what> for missing after <limit> s
    When <what> does not come to a router
    Then it is given up after <limit> s

    Examples:
      | what                    | limit |
      | the end of an attempt   | 1.3   |
      | the state of an attempt | 0.5   |
      | news of a free agent    | 0.5   |
      | tokens from a peer      | 0.5   |

  Scenario Outline: An order that was sent <before> s ago, of which the router stood still for <still> s
    Guards against: an order whose result lay in the router's sockets was sent again.

    When a router looks at an order that it sent <before> s ago, and stood still for <still> s of them
    Then the order is <state>

    Examples:
      | before | still | state     |
      | 119    | 0     | in flight |
      | 121    | 0     | failed    |
      | 200    | 190   | in flight |

  Scenario Outline: A holder of grants that counts as gone: <passes>
    Guards against: a live router was revoked by a VM list or a link that was out of date, and could not come back.

    Given a grant of a holder
    When passes find at these responsive times that the holder is: <passes>
    Then the holder is <outcome>

    Examples:
      | passes                            | outcome     |
      | 0 gone                            | not revoked |
      | 0 gone, 4.9 gone                  | not revoked |
      | 0 gone, 5 gone                    | revoked     |
      | 0 gone, 3 live, 5 gone            | not revoked |
      | 0 restarted, 3 live, 8 live       | not revoked |
      | 0 restarted, 5 restarted          | revoked     |

  Scenario Outline: A router reclaims twice, 6 responsive seconds apart, and <state>
    Guards against: a router that had started while this one stood still held grants, was not in the list that was
    read before, and was revoked.

    When a router whose VM list lacks a holder reclaims at 0 and 6 responsive seconds, and <state>
    Then it has revoked <revoked>

    Examples:
      | state                      | revoked    |
      | the list has it by then    | nobody     |
      | the list is unavailable    | nobody     |
      | nothing changes            | the holder |

  Scenario: A router that stands still between two passes does not revoke
    When a router whose VM list lacks a holder reclaims at 0 and 0.1 responsive seconds, and nothing changes
    Then it has revoked nobody

  Scenario Outline: Agents and routers are stopped while a booking runs that takes 4.7 of its 5 s: <processes>
    Guards against: the caller was told that the outcome of a booking that had run was unknown.

    Given a Cairnbrae fleet with its sheet active
    When highland-council books a visit that takes 4.7 s, and <processes> are stopped from 4.4 s to <end> s
    Then the booking is answered
    And the booking of key late ran 1 times
    And eventually key late has one bill

    Examples:
      | processes                | end  |
      | a-s1 and a-s2            | 5.5  |
      | r-inverness-1 and r-wick-1 | 6.2 |
