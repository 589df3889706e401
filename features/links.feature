Feature: Links carry messages between authenticated processes

  Scenario Outline: A link is established only if the security of both ends matches: <case>
    Given a listener with <listener>
    When a process connects with <caller>
    Then the link is <state>

    Examples:
      | case                 | listener          | caller            | state |
      | no security          | nothing           | nothing           | up    |
      | the same secret      | secret s          | secret s          | up    |
      | another secret       | secret s          | secret t          | down  |
      | no secret            | secret s          | nothing           | down  |
      | TLS with its CA      | a certificate     | its CA            | up    |
      | TLS with another CA  | a certificate     | another CA        | down  |
      | TLS listener only    | a certificate     | nothing           | down  |
      | TLS caller only      | nothing           | its CA            | down  |

  Scenario: Messages arrive in order
    Given a listener with nothing
    When a process connects with nothing
    And it sends 500 messages
    Then they arrive in order

  Scenario Outline: A peer that sends <bytes> is disconnected and no other peer is
    Given a listener with nothing
    When a process connects with nothing
    And another process sends a hello and then <bytes>
    Then the other link is closed and the first is up

    Examples:
      | bytes              |
      | bytes that are not CBOR |
      | an unknown message |
      | a message with a field of the wrong type |

  Scenario: A link is re-established after the listener restarts
    Given a listener with nothing
    When a process connects with nothing
    And the listener restarts
    Then a new link is established within 3 seconds

  Scenario: No secret appears in logs
    Then the log of a process with secret hush-hush does not contain it
