Feature: A gateway that was late does not hold its own delay against other gateways

  Scenario: No customer overspends although a gateway stood still before the store was restored
    Guards against: a gateway that stood still for 7 s took a living one for departed, and its tokens were granted twice.

    When a gateway stands still while it reads the pools, and the store comes back from a copy without grants of a living one, seeds 1 to 5
    Then no customer spent more tokens than it has paid for
    And all tokens that are left can be granted within 1 s of the return of the other gateway

  Scenario: Time in which a gateway stood still does not show that another one has departed
    Guards against: the link of the other one closed meanwhile, and the pools were read at once afterwards.

    When a gateway stands still while its link to another one closes, and the store is restored just after that, seeds 1 to 5
    Then the gateway does not take the other one for departed

  Scenario Outline: A gateway whose event loop was held up gets the answers to its questions: <question>
    Guards against: answers that came while the gateway itself was late counted as missing, and another gateway as silent.

    Given a platform with 2 model engines and 0 plain servers
    And a second gateway
    When the event loop is held up for 0.8 s while the first gateway asks for <question>
    Then it is answered

    Examples:
      | question                           |
      | a permit                           |
      | a loan                             |
      | a change of a pool                 |
      | tokens that the other one has left |
      | tokens that the other one acquires |
      | the origin of a stream at a hub    |
      | a stream that nobody knows         |
      | the backend servers in the store   |
      | tokens from the store              |
      | a higher bound in the store        |

  Scenario Outline: A hub that stood still for <still> s when a report was <age> s old has <counted> its member's load
    Guards against: reports that lay unread in its sockets counted as missing, and the load of its members as none.

    When a hub stands still for <still> s, <age> s after a member reported its load
    Then it has <counted> that load

    Examples:
      | age | still | counted |
      | 1   | 7     | kept    |
      | 9   | 1     | dropped |

  Scenario: A permit that comes late is not used
    Guards against: the wait for an answer goes on while the gateway is late, but a permit is for the time at which it was issued.

    Given a platform with 2 model engines and 0 plain servers
    And a second gateway
    When the event loop is held up for 0.8 s while the first gateway acquires a permit to send a request
    Then it sends none, and asks again within 0.1 s, as nobody is suspected

  Scenario: A gateway that does not answer is silent all the same
    Given a platform with 2 model engines and 0 plain servers
    And a second gateway
    When the first gateway asks for a permit, and the other one does not answer for 0.5 s
    Then it is not answered, and the other one is suspected
