Feature: Responses of model engines to an agent
  A response may have neither a length nor chunks; then it ends with its connection, and only its last event tells
  whether it is whole.

  Scenario Outline: A response without length or chunks that ends <where>
    When an engine sends a response without length or chunks that ends <where>
    Then the attempt is <result>

    Examples:
      | where                 | result      |
      | after its last event  | completed   |
      | within its last event | interrupted |
      | within another event  | interrupted |
      | between two events    | interrupted |
      | with a reset          | interrupted |

  Scenario: An earlier rejection that is sent again is not taken for the response to a later attempt
    Guards against: a response that names no request was believed on a connection that was used before.

    When an engine answers two attempts, and sends a rejection again before the next response on a connection
    Then the attempt is completed

  Scenario: An event that is too long is not kept
    Guards against: the bytes of an event without end were kept until the attempt's deadline.

    When an engine sends a response without length or chunks that ends after 2 MB that are no event
    Then the attempt is interrupted
    And the reason is "engine sent an event of more than 1000000 bytes"
