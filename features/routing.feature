Feature: Attempts go to agents that can serve them

  Background:
    Given agents
      | name | models | slots | running | draining | healthy |
      | a1   | m@1    | 4     | 0       | no       | yes     |
      | a2   | m@1    | 4     | 3       | no       | yes     |
      | a3   | m@2    | 4     | 0       | no       | yes     |
      | a4   | m@1    | 4     | 0       | yes      | yes     |
      | a5   | m@1    | 4     | 0       | no       | no      |

  Scenario Outline: Policy <policy> never picks one that cannot serve
    When policy <policy> chooses 200 times for m@1
    Then only a1, a2 were chosen

    Examples:
      | policy            |
      | random            |
      | round_robin       |
      | least_connections |
      | two_choices       |
      | affinity          |

  Scenario: A prompt goes where its prefix is cached
    When policy affinity chooses for a prompt and it ends
    And policy affinity chooses for the same prompt 10 times, each ended before the next
    Then all went to the same agent

  Scenario: A cached prefix does not make a hot spot
    Given a2 runs nothing
    When policy affinity chooses for the same prompt 8 times, none ended
    Then a1, a2 were both chosen

  Scenario: Nothing is chosen when all are full
    When policy affinity chooses 16 times for m@1, none ended
    Then the next choice is nobody

  Scenario: A failing backend server is ejected and returns
    When a1 fails 3 times in a row
    Then a1 is not chosen for 5 seconds and then chosen again

  Scenario: At most half of the candidates are ejected
    When a1, a2 fail 3 times in a row
    Then the next choice is not nobody

  Scenario: Owners change little when a member leaves
    When 1000 keys are owned by 10 members and one leaves
    Then only keys of the member that left change their owner

  Scenario Outline: A missing entry of the lagging list counts as gone only without a link
    Given the list once had router r2 with its link <link>
    When the list no longer has r2
    Then r2 is <verdict>

    Examples:
      | link | verdict |
      | up   | kept    |
      | down | gone    |

  Scenario: Settings know every registered policy
    Then the policies of settings and the registered ones are the same

  Scenario Outline: Waiting requests get their turn: <arrivals>
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

  Scenario: A flooding customer is bounded and the others still wait their turn
    When 60 requests of A and 1 of B arrive at a queue that lets 50 of a customer wait
    Then 10 of A were turned away and B is served second
