Feature: A gateway whose network link is full moves its callers
  Callers are hashed onto gateways and keep their connections, so that one customer can fill the link of one gateway. Such a
  gateway gives up readiness for a time; at most a quarter of its zone does so at once, and each for at most 30 s of a minute.

  Scenario Outline: A link that is used <course>
    Decisions only. Guards against late decisions after a steep rise, and against absences without need.

    When the link of a gateway is used <course>
    Then the gateway gives up readiness <decision>

    Examples: use as a share of the capacity
      | course                                | decision                 |
      | 0.6 for 60 s                          | never                    |
      | 0.2 for 9 s, 1.0 for 0.2 s, 0.2 for 9 s | never                  |
      | 0.2 for 9 s, 0.8 for 9 s              | from 10.0 s to 11.6 s    |
      | 0.2 for 9 s, 1.2 for 9 s              | from 9.2 s to 9.7 s      |
      | 0.2 for 9 s, 1.0 for 9 s              | from 9.2 s to 9.9 s      |

  Scenario Outline: A gateway that is away while its link is used <use>
    Guards against a return while the link is still in use, and against an absence without a bound.

    When the link of a gateway is used 1.2 for 1 s, <use> for 59 s
    Then the gateway is away for <seconds> s at first, and 30.0 s at most in all

    Examples:
      | use | seconds |
      | 0.1 | 4.0     |
      | 0.5 | 30.0    |

  Scenario: The second absence is longer than the first
    When the link of a gateway is used 1.2 for 1 s, 0.0 for 4 s, 1.2 for 2 s, 0.0 for 9 s
    Then the gateway is away for 4.0 s, and then for 6.0 s, by what is allowed in a minute

  Scenario Outline: Of <count> gateways in a zone, <away> are away
    Guards against too many gateways without readiness at the same time.

    When a gateway with use 0.8 knows of <count> gateways in its zone, of which <away> are away
    Then by the quota of its zone it <may> be away

    Examples: the number of others that are away, their use, and the age of their notices
      | count | away                     | may     |
      | 1     | 0                        | may not |
      | 3     | 0                        | may not |
      | 4     | 0                        | may     |
      | 4     | 1 with 0.5 for 1 s       | may not |
      | 4     | 1 with 0.5 for 5 s       | may     |
      | 8     | 1 with 0.9 for 1 s       | may     |
      | 8     | 2 with 0.9 for 4.9 s     | may not |

  Scenario Outline: Two gateways of a zone of four gave up readiness at the same time, the other with use <use>
    When a gateway that is away with use 0.8 hears that another is, with use <use>
    Then by the quota of its zone it <may> be away

    Examples: among equals, the name decides
      | use | may     |
      | 0.9 | may not |
      | 0.7 | may     |
      | 0.8 | may     |

  Scenario: A customer with ten times the requests of its peers
    A replay of 120 s with 8 gateways: from 10 s on, one customer's requests need 1.2 times the capacity of the gateway to
    which it is hashed; they go to the others, in equal parts, from 2 s after it gave up readiness until it is ready again.

    When one customer of 8 gateways needs 1.2 times the capacity of a link
    Then its gateway first gives up readiness within 0.8 s
    And at most 2 gateways are away at the same time, and each for at most 30.0 s of a minute
    And links are above their capacity for fewer seconds than without

  Scenario Outline: A request for which <wait> s of bytes wait to be sent
    When a request with a target of 0.4 s and 2 s left, <kind>, finds that bytes wait for <wait> s and <peers> room
    Then by its wait for the link it is <outcome>

    Examples: a quarter of the target is 0.1 s, of the rest 0.5 s
      | wait | kind   | peers       | outcome  |
      | 0.0  | plain  | others have | admitted |
      | 0.09 | plain  | others have | admitted |
      | 0.11 | plain  | others have | refused  |
      | 0.49 | urgent | others have | admitted |
      | 0.51 | urgent | others have | refused  |
      | 1.9  | plain  | none has    | admitted |
      | 2.1  | urgent | none has    | refused  |

  Scenario: One of four gateways is full
    Guards against gateways that act on their own: the second one that is full has to stay ready.

    Given a platform with 2 model engines and 2 plain servers
    And 4 gateways in one zone
    When the link of gateway 1 is full
    Then gateway 1 is not ready, and answers with Connection: close
    And the other gateways know that it is away
    When the link of gateway 2 is full
    Then gateway 2 is ready, and answers without Connection: close

  Scenario Outline: Connections to backend servers time out while the link of the gateway is <state>
    Guards against servers that get no requests because of the gateway's own link.

    Given a platform with 2 model engines and 2 plain servers
    When connections to backend servers time out while the link of the gateway is <state>
    Then <count> plain servers count as refusing connections

    Examples:
      | state    | count |
      | full     | 0     |
      | not full | 2     |

  Scenario: A gateway process with a link of 0.5 Mbit/s
    Guards against requests that reach a backend server after it has left, as they waited in the link.

    Given a platform with 2 model engines and 2 plain servers
    And a gateway process with a link of 0.5 Mbit/s and link_wait_ratio 0.25
    When a caller sends 40 requests of 9,000 bytes
    Then some are served, and the others were not run
    And the gateway process is ready
    When the process is sent SIGTERM
    Then it ends with code 0
    And its log has a line of key=value pairs for each of: link_wait, refused

  Scenario: A gateway process with a link of 0.5 Mbit/s and without the limit
    Given a platform with 2 model engines and 2 plain servers
    And a gateway process with a link of 0.5 Mbit/s and link_wait_ratio 0
    When a caller sends 40 requests of 9,000 bytes
    Then all of these requests are served
    And the gateway process is ready
