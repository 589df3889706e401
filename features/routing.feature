Feature: Attempts are routed to agents that can serve them

  Background:
    Given agents
      | name | models | slots | running | draining | healthy |
      | a1   | m@1    | 4     | 0       | no       | yes     |
      | a2   | m@1    | 4     | 3       | no       | yes     |
      | a3   | m@2    | 4     | 0       | no       | yes     |
      | a4   | m@1    | 4     | 0       | yes      | yes     |
      | a5   | m@1    | 4     | 0       | no       | no      |

  Scenario Outline: Policy <policy> never chooses an agent that cannot serve
    When policy <policy> chooses 200 times for m@1
    Then only a1, a2 were chosen

    Examples:
      | policy            |
      | random            |
      | round_robin       |
      | least_connections |
      | two_choices       |
      | affinity          |

  Scenario: A prompt is routed to the agent that caches its prefix
    When policy affinity chooses for a prompt and the attempt ends
    And policy affinity chooses for the same prompt 10 times, each attempt ending before the next
    Then all attempts were routed to the same agent

  Scenario: A cached prefix does not make a hot spot
    Given a2 is idle
    When policy affinity chooses for the same prompt 8 times with no attempt ending
    Then a1, a2 were both chosen

  Scenario: No agent is chosen when all are at capacity
    When policy affinity chooses 16 times for m@1 with no attempt ending
    Then no agent is chosen next

  Scenario: A failing backend server is ejected and returns
    When a1 fails 3 times in a row
    Then a1 is not chosen for 5 seconds and then chosen again

  Scenario: At most half of the candidates are ejected
    When a1, a2 fail 3 times in a row
    Then an agent is chosen next

  Scenario: Few keys change their owner when a member leaves
    When 1000 keys are owned by 10 members and one leaves
    Then only keys of the member that left change their owner

  Scenario Outline: A member missing from the lagging VM list is removed only if its link is down
    Given the VM list contained router r2 and its link is <link>
    When the VM list no longer contains r2
    Then r2 is <outcome>

    Examples:
      | link | outcome |
      | up   | kept    |
      | down | removed |

  Scenario: Settings accept every registered policy
    Then the policies of the settings equal the registered ones

  Scenario Outline: Order of queued requests: <arrivals>
    When requests arrive: <arrivals>
    Then after <seconds> seconds they are served in the order <order>

    Examples: by weight within a class
      | arrivals                           | seconds | order              |
      | A, A, A, B                         | 0       | A1, B1, A2, A3     |
      | A, A, A, A, B:2, B:2               | 0       | B1, A1, B2, A2, A3, A4 |

    Examples: by priority, with aging
      | arrivals            | seconds | order      |
      | A p2, B p0, C p1    | 0       | B1, C1, A1 |
      | A p2, B p0, C p1    | 3       | A1, B1, C1 |

  Scenario: The queue of a flooding customer is limited and other customers are still served in turn
    When 60 requests of A and 1 of B arrive at a queue limited to 50 per customer
    Then 10 of A were rejected and B is served second
