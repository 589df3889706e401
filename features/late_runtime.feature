Feature: Routers and agents that are late
  A router or an agent that was stopped, or busy with one long task, judges the others by the time in which its own
  event loop was responsive: what they sent in time may still lie in its sockets.

  Scenario Outline: An agent stands still past the deadline of an attempt at a <kind>
    Guards against: a response that had come in time was taken for none, and the attempt counted as interrupted.

    Given a <kind> that sends its response within 0.3 s
    When an agent whose event loop stands still from 0.1 s to 1.5 s runs an attempt with a deadline of 0.8 s
    Then the attempt is completed

    Examples:
      | kind          |
      | model engine  |
      | plain service |

  Scenario Outline: A silent <kind> ends an attempt at its deadline
    Given a <kind> that sends its response within 3 s
    When an agent whose event loop stands still from 0.1 s to 0.5 s runs an attempt with a deadline of 0.8 s
    Then the attempt is interrupted
    And it took 1.1 to 2.8 s, the cancellation included

    Examples:
      | kind          |
      | model engine  |
      | plain service |

  Scenario: An agent stands still while it queries the load of its backend server
    Guards against: the backend server counted as crashed, and the crash was held against the content of its attempts.

    Given a model engine that sends its response within 0.3 s
    When an agent whose event loop stands still from 0.1 s to 1.5 s queries the load
    Then the load is known
