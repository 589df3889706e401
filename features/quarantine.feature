Feature: A request that crashes backend servers is blocked after two crashes
  Every request content that ran on a server when it crashed becomes suspect and runs alone next.
  If the server crashes again while it runs alone, it is convicted and refused until that expires.

  Scenario Outline: Quarantine state of a request content: <events>
    When these events occur for a request content: <events>
    Then its quarantine state is <state>

    Examples:
      | events                         | state     |
      | nothing                        | clear     |
      | crash                          | suspect   |
      | crash, success                 | clear     |
      | crash, crash alone             | convicted |
      | crash, crash                   | suspect   |
      | crash, success, crash          | suspect   |
      | crash, success, crash alone    | suspect   |
      | crash alone                    | suspect   |
      | crash, 11 minutes              | clear     |
      | crash, crash alone, 11 minutes | convicted |
      | crash, crash alone, 61 minutes | clear     |
      | crash, crash alone, success    | convicted |
      | merge suspect                  | suspect   |
      | merge convicted                | convicted |
      | merge convicted, merge suspect | convicted |
      | merge suspect, crash alone     | convicted |

  Scenario Outline: Parts of prompts after <events>
    A crash ends the runs of the prompts that are named; no two of them are alike, but for those marked
    "same". Parts that are joined by + are blocked only together.

    When these events occur for prompts: <events>
    Then the blocked parts are <blocked>

    Examples: two crashes are not enough; what no answer has cleared is blocked together
      | events                                                               | blocked |
      | crash aa/bad; crash aa/bad                                           | none    |
      | crash aa/bad; crash aa/bad; crash aa/bad                             | aa+bad  |
      | crash bad/bb; crash bad/bb; crash bad/bb; answer bb                  | bad     |
      | crash aa/bad; crash bb/bad; crash bad/cc                             | bad     |
      | crash aa/bad; crash aa/bad; crash aa/bad; crash bad                  | bad     |
      | crash bad; crash bad; 61 s; crash bad                                | none    |

    Examples: prompts that only shared the backend server
      | events                                                               | blocked |
      | crash aa/bad, aa/ok; answer aa/ok; crash aa/bad, aa/ok; crash aa/bad, aa/ok | bad |
      | crash aa/ok, bad; crash bad; crash aa/ok, bad; answer aa/ok; crash aa/ok, bad | bad |
      | crash aa/ok; answer aa/ok; crash aa/ok; answer aa/ok; crash aa/ok    | none    |
      | crash aa/ok; crash aa/ok; crash aa/ok; answer aa/ok                  | none    |
      | crash bad, no; crash bad, no; crash bad, no; crash no                | no      |
      | crash bad; crash no; crash bad; crash no; crash bad; crash no        | bad, no |

    Examples: an answer that was begun before the crash, and requests that are repeated
      | events                                                               | blocked |
      | crash bad; crash bad; crash bad; early answer bad                    | bad     |
      | crash same aa/bad; crash same aa/bad; crash same aa/bad              | none    |

    Examples: a block that expires lets one request through, and is doubled or lifted
      | events                                                               | blocked |
      | crash bad; crash bad; crash bad; 299 s                               | bad     |
      | crash bad; crash bad; crash bad; 301 s                               | none    |
      | crash bad; crash bad; crash bad; 301 s; probe bad                    | bad     |
      | crash bad; crash bad; crash bad; 301 s; probe bad; crash bad; 599 s  | bad     |
      | crash bad; crash bad; crash bad; 301 s; probe bad; crash bad; 601 s  | none    |
      | crash bad; crash bad; crash bad; 301 s; probe bad; answer bad        | none    |
      | crash bad; crash bad; crash bad; 301 s; probe bad; 31 s              | none    |

    Examples: parts that were answered before may have crashed by coincidence; the next request decides
      | events                                                               | blocked |
      | answer aa; crash aa; crash aa; crash aa                              | aa      |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s                       | none    |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa             | aa      |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa; answer aa  | none    |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa; 4 s        | none    |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa; crash aa; 299 s | aa |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa; crash aa; 301 s | none |
      | answer aa; crash aa; crash aa; crash aa; 0.5 s; probe aa; late crash aa; 4 s | none |
      | answer aa; crash aa; crash aa; crash aa; 0.1 s; told probe aa; crash aa; 299 s | aa |
      | answer aa; crash aa; crash aa; crash aa; told aa; 0.5 s              | none    |
      | answer aa; crash aa; crash aa; crash aa; 1 s; crash aa; 0.5 s        | none    |
      | answer aa; crash aa/bad; crash aa/bad; crash aa/bad; 299 s           | aa+bad  |
      | answer aa; 61 s; crash aa; crash aa; crash aa; 299 s                 | aa      |

    Examples: a router that starts learns the same, and adds its own
      | events                                                               | blocked |
      | crash aa/bad; crash aa/bad; crash aa/bad; restart                    | aa+bad  |
      | crash aa/bad; crash aa/bad; crash aa/bad; restart; answer aa         | bad     |
      | crash aa/bad; crash aa/bad; restart; crash aa/bad                    | aa+bad  |
      | crash bad; crash bad; crash bad; 200 s; restart; 101 s; probe bad; crash bad; 599 s | bad |

  Scenario: A block that names neither a content nor parts blocks nothing
    When a router receives a block that names nothing
    Then its quarantine state is clear

  Scenario: Routers let a request through one after the other once a block has expired
    Given 5 routers that block the same part
    Then they let a request through 0, 1, 2, 3 and 4 s after the block has expired

  Scenario: A crashing request crashes two engines and fails no other request
    Given a Cairnbrae fleet with its sheet active
    When callers send 120 requests at 40 per second and a crashing request is sent half-way
    Then every caller received its own complete response
    And the crashing request was refused and 2 engines crashed
    When the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed
    When every router is killed and restarted
    And the crashing request is sent again to every router
    Then it is refused as quarantined and not run, and 2 engines crashed

  Scenario: One message that crashes engines is blocked in all prompts, and other prompts are served
    Given a Cairnbrae fleet with its sheet active
    When 4 different prompts after a message that crashes engines reach the routers in turn
    And 3 s later 6 more of them reach the routers in turn
    Then at most 3 of the latter crashed an engine
    And 6 prompts after another message are served by the routers in turn
