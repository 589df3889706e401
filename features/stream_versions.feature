Feature: A stream goes on only at the software version that began it
  What two versions of a model engine write does not fit together, and engines do not check it. A
  caller whose stream broke off names the request that brought its first event.

  Scenario Outline: A stream that breaks off within one answer, at engines of <versions>
    Given a platform with model engines of the versions <versions>
    When 8 streams break off after 2 events each, and the gateway may send each to 2 engines
    Then each answer has events of one version
    And <complete> of the answers are complete

    Examples:
      | versions       | complete |
      | v1, v2         | 0        |
      | v1, v1, v2, v2 | 8        |

  Scenario: A stream that breaks off before its first event begins anew at any version
    Given a platform with model engines of the versions v1, v2
    When 4 streams break off before their first event, and the gateway may send each to 2 engines
    Then each answer has events of one version
    And 4 of the answers are complete

  Scenario Outline: Callers take streams up again at <where>
    Given a platform with model engines of the versions v1, v1, v2, v2
    And a second gateway that is linked to the first
    When the first gateway begins 16 streams that break off after 2 events
    And <what happens>
    And their callers take them up again at <where>
    Then no stream has events of two versions
    And at least <least> of the take-ups go on

    Examples:
      | where              | what happens                       | least |
      | the first gateway  | 1 s passes                         | 16    |
      | the second gateway | 0.1 s passes                       | 16    |
      | the second gateway | the first gateway is killed        | 12    |
      | both gateways      | all gateways are killed and return | 12    |

  Scenario Outline: Engines of another version join while <a gateway> is out of step with the others
    Guards against: a list of servers that was read before a stream began told which version began it.

    Given a platform with model engines of the versions v1, v1, v1, v1
    And a second gateway that is linked to the first
    When the second gateway <is out of step>
    And 2 engines of version v2 replace two others
    And the first gateway begins 24 streams that break off after 2 events
    And the first gateway is killed <delay> s later
    And their callers take them up again at the second gateway
    Then no stream has events of two versions
    And at least <least> of the take-ups go on

    Examples: a gateway that stood still reads the store at once; one that is turned away cannot
      | a gateway                              | is out of step            | delay | least |
      | a gateway that stood still             | reads no servers for 3 s  | 0.5   | 20    |
      | a gateway that the store turned away   | does not reach the store  | 0.5   | 0     |

  Scenario: A gateway that the store turns away asks one that reaches it who began a stream
    Given a platform with model engines of the versions v1, v1, v2, v2
    And a second gateway that is linked to the first
    And a third gateway
    When the second gateway does not reach the store
    And the first gateway begins 16 streams that break off after 2 events
    And the first gateway is killed 0.5 s later
    And their callers take them up again at the second gateway
    Then no stream has events of two versions
    And at least 12 of the take-ups go on

  Scenario Outline: Engines of another version join, and then <a gateway> does not respond
    Guards against: a gateway that did not respond counted as one that does not know the stream.

    Given a platform with model engines of the versions v1, v1
    And <count> gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And <a gateway> neither responds to the others nor reports its streams
    And it begins 16 streams that break off after 2 events
    And their callers take them up again at <where>
    Then no stream has events of two versions

    Examples: gateways of a zone are their own hubs up to three of them
      | a gateway | count | where                 |
      | a hub     | 2     | another gateway       |
      | a hub     | 3     | another gateway       |
      | a member  | 6     | another member        |
      | a member  | 6     | a hub                 |
      | a hub     | 6     | a member              |

  Scenario: A gateway that does not reach the store asks a hub, while the one that began streams is silent
    Given a platform with model engines of the versions v1, v1
    And 3 gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And a hub neither responds to the others nor reports its streams
    And it begins 16 streams that break off after 2 events
    And another gateway does not reach the store
    And their callers take them up again at another gateway
    Then no stream has events of two versions

  Scenario: A member that responds has not reported its streams to its hub yet
    Guards against: only hubs were asked, so that a stream which its gateway knew was not taken up.

    Given a platform with model engines of the versions v1, v1
    And 6 gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And a member reports no streams
    And it begins 16 streams that break off after 2 events
    And their callers take them up again at another member
    Then no stream has events of two versions
    And at least 16 of the take-ups go on

  Scenario Outline: The store loses rows in a drill after engines of another version joined, <who> killed
    Guards against: versions that a new process listed counted as not in service before it started.

    Given a platform with model engines of the versions v1, v1
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When a copy of the store is made
    And 2 engines of version v2 join
    And the first gateway begins 16 streams that break off after 2 events
    And the store comes back from the copy, with <who> killed meanwhile
    And their callers take them up again at <where>
    Then no stream has events of two versions

    Examples:
      | who                   | where              |
      | all gateways          | both gateways      |
      | the first gateway     | the second gateway |

  Scenario: The store loses rows in a drill after a version has come back, and all gateways are killed
    Given a platform with model engines of the versions v2, v2
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When a copy of the store is made
    And 2 engines of version v1 join
    And the first gateway begins 16 streams that break off after 2 events
    And the engines of version v2 leave but for one
    And the store comes back from the copy, with all gateways killed meanwhile
    And their callers take them up again at both gateways
    Then no stream has events of two versions

  Scenario Outline: All engines are of one version in a drill of the store, <who> killed
    Given a platform with model engines of the versions v1, v1
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When a copy of the store is made
    And the first gateway begins 16 streams that break off after 2 events
    And the store comes back from the copy, with <who> killed meanwhile
    And 1.5 s passes
    And their callers take them up again at <where>
    Then at least 16 of the take-ups go on

    Examples:
      | who                   | where              |
      | all gateways          | both gateways      |
      | the first gateway     | the second gateway |
      | no gateway            | both gateways      |

  Scenario Outline: Streams that the copy lists go on after a drill, <who> killed
    Given a platform with model engines of the versions v1, v1
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And the first gateway begins 16 streams that break off after 2 events
    And 0.5 s passes
    And a copy of the store is made
    And the store comes back from the copy, with <who> killed meanwhile
    And their callers take them up again at <where>
    Then no stream has events of two versions
    And at least 16 of the take-ups go on

    Examples:
      | who                   | where              |
      | all gateways          | both gateways      |
      | the first gateway     | the second gateway |

  Scenario: Gateways that live through a drill write again which versions began their streams
    Guards against: what living gateways knew was written once, and lost with the store's rows.

    Given a platform with model engines of the versions v1, v1
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When a copy of the store is made
    And 2 engines of version v2 join
    And the first gateway begins 16 streams that break off after 2 events
    And 0.5 s passes
    And the store comes back from the copy, with no gateway killed meanwhile
    And 1.5 s passes
    And all gateways are killed and return
    And their callers take them up again at both gateways
    Then no stream has events of two versions
    And at least 16 of the take-ups go on

  Scenario: A gateway that starts again keeps the rows of the streams that its predecessor stored last
    Guards against: a new process wrote its rows over those that its predecessor had just written.

    Given a platform with model engines of the versions v1, v1
    And a customer that does not pay in advance
    And 2 gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And the first gateway begins 16 streams that break off after 2 events
    And 0.5 s passes
    And all gateways are killed and return
    And the first gateway begins 40 other streams, one row each
    And their callers take them up again at the second gateway
    Then no stream has events of two versions
    And at least 16 of the take-ups go on

  Scenario: Streams of one version before all gateways were killed go on beside a later version
    Given a platform with model engines of the versions v1, v1
    And 2 gateways that are linked
    When the first gateway begins 16 streams that break off after 2 events
    And all gateways are killed and return
    And 1.5 s passes
    And 2 engines of version v2 join
    And their callers take them up again at both gateways
    Then no stream has events of two versions
    And at least 16 of the take-ups go on

  Scenario: An engine starts again under its id with another version, and a stream breaks off elsewhere
    Given a platform with model engines of the versions v1, v1
    When the gateway reads no servers for 3 s
    And a stream of the first engine breaks off after the other one came back as version v2
    Then each answer has events of one version

  Scenario: The version that began streams has left when all gateways are killed
    Given a platform with model engines of the versions v1, v1
    And a second gateway that is linked to the first
    When the first gateway begins 12 streams that break off after 2 events
    And engines of version v2 replace all others, all gateways are killed and return
    And their callers take them up again at both gateways
    Then no stream has events of two versions

  Scenario: All engines are of one version when all gateways are killed
    Given a platform with model engines of the versions v1, v1
    And a second gateway that is linked to the first
    When the first gateway begins 12 streams that break off after 2 events
    And all gateways are killed and return
    And their callers take them up again at both gateways
    Then at least 12 of the take-ups go on

  Scenario: The engine that began a stream starts again under its id with another version
    Given a platform with model engines of the versions v1
    When the first gateway begins 4 streams that break off after 2 events
    And the engine starts again as version v2
    And their callers take them up again at the first gateway
    Then no stream has events of two versions
    And none of the take-ups go on

  Scenario Outline: A take-up that does not name the request that it resumes, at engines of <versions>
    Given a platform with model engines of the versions <versions>
    When the first gateway begins 2 streams that break off after 2 events
    And their callers take them up again without naming these requests
    Then the take-ups have the status <status>

    Examples:
      | versions | status |
      | v1, v1   | 200    |

      Examples: the version of the stream is not known
      | versions | status |
      | v1, v2   | 503    |

  Scenario Outline: Versions that can have begun a stream up to <until> s
    Given a service that had version v1 from 1 s to 50 s, and has v2 since 48 s
    Then the versions that can have begun a stream up to <until> s are <versions>

    Examples: a stream may be taken up 40 s after its first event
      | until | versions |
      | 47    | v1       |
      | 48    | v1, v2   |
      | 90    | v1, v2   |
      | 91    | v2       |

  Scenario Outline: Versions that can have begun a stream up to <until> s, after rows were lost
    Guards against: a version that the copy did not list counted as new.

    Given a service that had version v1 from 1 s to 50 s, and has v2 since 48 s
    When the store comes back in another epoch at 60 s, and v3 is listed
    Then the versions that can have begun a stream up to <until> s are <versions>

    Examples: v1 may have been listed again in the time that was lost
      | until | versions   |
      | 40    | v1, v2, v3 |
      | 90    | v1, v2, v3 |
      | 101   | v2, v3     |

  Scenario: Streams that a server began just before its entry showed a restart are forgotten
    Given a server that began a stream 5 s ago and one 2 s ago
    When its entry shows another version
    Then the origin of the first stream is known, and that of the second is not

  Scenario: Of two observers, the longer span of a version counts
    Given a service that had version v1 from 1 s to 50 s, and has v2 since 48 s
    When another gateway has seen v1 from 3 s on, and no v2
    Then the versions that can have begun a stream up to 100 s are v1, v2

  Scenario Outline: Streams of a route that is split between services are taken up again, <change>
    Guards against: which service had begun a stream was known to its gateway only, and lost with it.

    Given a platform with model engines of the versions v1, v1
    And a route that is split between them and 2 engines of another service, which write v9
    And a second gateway that is linked to the first
    When the first gateway begins 20 streams of the split route that break off after 2 events
    And <change>
    And the first gateway is killed
    And their callers take them up again at the second gateway
    Then no stream has events of two versions
    And at least <least> of the take-ups go on

    Examples: a stream of which two tables say different things is not taken up
      | change                                  | least |
      | 0.1 s passes                            | 20    |
      | the operator swaps the services' shares | 8     |

  Scenario Outline: The services that may have begun a stream, of a gateway that <knows>, are <services>
    Given a route that is split between a and b, in a gateway that <knows>
    Then request r-1 that took its first event up to 40 s ago went to <services>

    Examples: r-1 falls to a by shares of 90 and 10, and to b by shares of 0 and 100
      | knows                                                          | services |
      | started 50 s ago                                               | a        |
      | started 10 s ago                                               | a, b     |
      | started 10 s ago with all others                               | a        |
      | started 50 s ago and had shares of 0 and 100 until 20 s ago    | a, b     |
      | started 90 s ago and had shares of 0 and 100 until 41 s ago    | a        |

  Scenario Outline: Streams go on although another writer has left an entry with <version> as version
    Guards against: one odd entry counted as a version in service, and kept the versions from being stored.

    Given a platform with model engines of the versions v1, v1
    And a second gateway that is linked to the first
    When another writer leaves an entry with <version> as version
    And the first gateway begins 8 streams that break off after 2 events
    And the first gateway is killed
    And their callers take them up again at the second gateway
    Then at least 8 of the take-ups go on

    Examples:
      | version            |
      | 100 000 characters |
      | a lone surrogate   |
      | a line break       |
      | a list             |
      | null               |

  Scenario: Streams that may be of a version that their gateway recorded wrongly are not taken up elsewhere
    Guards against: a gateway that had forgotten a doubtful stream counted as one that never knew it.

    Given a platform with model engines of the versions v1, v1
    And 2 gateways that are linked, and were all restarted
    When the first engine has started again as version v2, which its entry does not show yet
    And the first gateway begins 8 streams at the first engine that break off after 2 events
    And its entry shows version v2
    And their callers take them up again at the second gateway
    Then no stream has events of two versions

  Scenario Outline: Streams that were reported with a version that their gateway then doubts, with <count> gateways
    Guards against: a row or a hub still named the version that the gateway itself had forgotten.

    Given a platform with model engines of the versions v1, v1
    And <count> gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And the first engine has started again as version v2, which its entry does not show yet
    And the first gateway begins 8 streams at the first engine that break off after 2 events
    And 0.5 s passes
    And its entry shows version v2
    And 0.5 s passes
    And their callers take them up again at <where>
    Then no stream has events of two versions

    Examples: with rows, and with a hub
      | count | where           |
      | 2     | another gateway |
      | 6     | a hub           |
      | 6     | another member  |

  Scenario: Streams that are taken up a second time, after the gateway that took them up was killed
    Given a platform with model engines of the versions v1, v1
    And 3 gateways that are linked, and were all restarted
    When 2 engines of version v2 join
    And the first gateway begins 16 streams that break off after 2 events
    And the first gateway is killed 0.5 s later
    And their callers take them up again at gate-2, and they break off after one event more
    And gate-2 is killed 0.5 s later
    And their callers take them up again at gate-3
    Then no stream has events of two versions
    And at least 14 of the take-ups go on

  Scenario Outline: What proves the origin of a stream: <evidence>
    Given a service that had version v1 from 1 s to 300 s, and has v2 since 100 s
    Then a stream that is taken up at 110 s is of <version>, if <evidence>

    Examples:
      | evidence                                              | version |
      | a row lists v2                                        | v2      |
      | a hub knows v1 and the store does not respond         | v1      |
      | all others deny it and a gateway ended at 99 s        | v1      |
      | all others deny it and a gateway ended at 101 s       | unknown |
      | one gateway is silent and a gateway ended at 99 s     | unknown |
      | all others deny it and the store does not respond     | unknown |

  Scenario: A take-up that names two requests is refused
    Given a platform with model engines of the versions v1
    When a caller takes a stream up and names two requests
    Then the caller gets 400
