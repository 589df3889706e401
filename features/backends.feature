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

  # MIXED: a response that stopped within its head was a complete one without a body.
  Scenario Outline: A plain service's response that stops after "<text>" of its head
    When a plain service sends a response that stops after "<text>" of its head
    Then the attempt is interrupted

    Examples:
      | text                                              |
      | HTTP/1.1 200 OK\r\n                               |
      | HTTP/1.1 200 OK\r\nContent-Ty                     |
      | HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n   |
      | HTTP/1.1 200 OK\r\nContent-Length: 1              |
      | HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r       |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n  |

  # MIXED: a part of a response without a length was a complete one, though the request was still being sent.
  Scenario Outline: A plain service's early part of a response, in the middle of an upload of <size> bytes
    When a plain service sends a part of a response without a length and ends its direction, in an upload of <size> bytes
    Then the attempt is interrupted

    Examples: the smaller one fits into the connection's buffers, the other one does not
      | size     |
      | 6000000  |
      | 16000000 |

  # A response without an end was kept until the agent had no memory left.
  Scenario: A plain service's response without an end is not kept
    When a plain service sends 20 MB without a length
    Then the attempt is interrupted
    And the reason is "the answer has more than 8000000 bytes"

  # MIXED: a response whose status does not exist was a complete one.
  Scenario Outline: A plain service's response with the status <status>
    When a plain service sends a response that stops after "HTTP/1.1 <status> X\r\nContent-Length: 0\r\n\r\n" of its head
    Then the attempt is interrupted

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: A plain service's response that stops after a complete head without a length: <text>
    When a plain service sends a response that stops after "<text>" of its head
    Then the attempt is completed

    Examples:
      | text                      |
      | HTTP/1.1 200 OK\r\n\r\n   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Check: 7\r\n\r\n |

  # A segment of the ledger that was read as empty would be taken for a damaged one.
  Scenario: An object of which only a part of the response's head arrives is not an empty object
    When an object is read, and the response stops after "HTTP/1.1 200 OK\r\nContent-Length: 1" of its head
    Then the read has failed
