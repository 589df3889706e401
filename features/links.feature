Feature: Links carry messages between processes that know each other

  Scenario Outline: A link comes up only if both sides agree: <case>
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
      | TLS met without it   | a certificate     | nothing           | down  |
      | plain met with TLS   | nothing           | its CA            | down  |

  Scenario: Messages arrive in order
    Given a listener with nothing
    When a process connects with nothing
    And it sends 500 messages
    Then they arrive in order

  Scenario Outline: A peer that sends <bytes> loses its link and nobody else does
    Given a listener with nothing
    When a process connects with nothing
    And another process says hello and sends <bytes>
    Then the other link is closed and the first is up

    Examples:
      | bytes              |
      | bytes that are not CBOR |
      | an unknown message |
      | a message with a field of the wrong type |

  Scenario: A link comes back after the listener restarts
    Given a listener with nothing
    When a process connects with nothing
    And the listener restarts
    Then a new link is there within 3 seconds

  Scenario: No secret appears in logs
    Then the log of a process with secret hush-hush does not contain it
