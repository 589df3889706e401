Feature: A server that has started or recovered gets a growing share of the load
  Servers that return are replayed in simulated time with 4 gateways and 20 servers, for each strategy; see
  docs/design/pace.md for the table.

  Scenario Outline: <scenario>
    When the return "<scenario>" is replayed with 5 seeds
    Then pacing takes at most half the time of the clock alone until the server carries its share

    Examples: a server that returns is neither left idle nor flooded
      | scenario          |
      | zone back at once |
      | one of twenty     |
      | rolling release   |
      | recovers half     |
      | crash on return   |

  Scenario Outline: Late answers, <scenario>
    When the return "<scenario>" is replayed with 5 seeds
    Then pacing has no more late answers than the constant rate

    Examples: the load that a paced server does not get overloads no other
      | scenario          |
      | zone back at once |
      | rolling release   |

    @known_red
    Examples: more late answers of 1,000 than with the constant rate, see docs/design/pace.md
      | scenario        |
      | one of twenty   |
      | recovers half   |
      | crash on return |

  Scenario Outline: <strategy> has more late answers in a rolling release
    When the return "rolling release" is replayed with 5 seeds
    Then pacing has at most a half of the late answers of <strategy>

    Examples:
      | strategy      |
      | at once       |
      | clock alone   |
      | constant rate |

  Scenario Outline: A server is paced after <events>
    When a gateway with pacing learns: <events>
    Then it paces <paced>

    Examples: servers s-1 and s-2; what a gateway finds at its own start is not paced
      | events                       | paced |
      | known s-1 s-2                | none  |
      | known s-1; known s-1 s-2     | s-2   |
      | known s-1 s-2; restart s-2   | s-2   |
      | known s-1 s-2; refused s-1   | s-1   |
      | known s-1 s-2; failed s-1    | s-1   |
      | known s-1; restart s-1       | s-1   |
      | known s-1; restart s-1; gone | none  |

  Scenario: Requests are sent although all servers of a service are paced and full
    When a gateway with pacing learns: known s-1 s-2; restart s-1; restart s-2
    Then 40 requests that begin at once are all sent, and about as many to each server

  Scenario: A paced server gets its window only, while another one has room
    When a gateway with pacing learns: known s-1 s-2; restart s-2
    Then of 6 requests that begin at once, 1 is sent to s-2

  Scenario: A server that restarts is paced, and then serves as before
    Given a platform with 1 model engines and 3 plain servers
    And 2 gateways that pace
    When plain server 1 restarts and 90 plain requests a second reach 2 gateways for 3 s
    Then all plain requests were served, and no gateway paces any more
    And plain server 1 got at most 4 in the first 0.3 s, and at least 20 in the last second
