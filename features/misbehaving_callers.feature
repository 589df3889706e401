Feature: Callers that misbehave
  A crowd of callers that the gateway cannot control must not end its process, exhaust its memory or
  its descriptors, or keep it from serving others.

  Background:
    Given a platform with 1 model engines and 2 plain servers
    And a gateway process with 100 MB of memory, bodies up to 1000000 bytes and 200 connections

  Scenario Outline: <crowd>, at the <address>
    When 60 callers send <crowd> to the <address>
    Then the process lives, with a peak of at most 100 MB and at most 260 descriptors
    And an ordinary request is answered

    Examples: Routed path
      | crowd                                | address     |
      | nearly whole bodies in one piece     | routed path |
      | nearly whole bodies in small pieces  | routed path |
      | nearly whole bodies in chunks        | routed path |
      | bodies far over the limit            | routed path |
      | chunked bodies far over the limit    | routed path |
      | many short header fields             | routed path |
      | many requests ahead                  | routed path |
      | bodies slowly                        | routed path |
      | requests for responses read slowly   | routed path |
      | half a head                          | routed path |

    Examples: Path without a route
      | crowd                                | address              |
      | nearly whole bodies in one piece     | path without a route |
      | nearly whole bodies in small pieces  | path without a route |
      | nearly whole bodies in chunks        | path without a route |
      | bodies far over the limit            | path without a route |
      | chunked bodies far over the limit    | path without a route |
      | many short header fields             | path without a route |
      | many requests ahead                  | path without a route |
      | bodies slowly                        | path without a route |
      | half a head                          | path without a route |

    Examples: Readiness address
      | crowd                                | address           |
      | nearly whole bodies in one piece     | readiness address |
      | nearly whole bodies in small pieces  | readiness address |
      | nearly whole bodies in chunks        | readiness address |
      | bodies far over the limit            | readiness address |
      | chunked bodies far over the limit    | readiness address |
      | many short header fields             | readiness address |
      | many requests ahead                  | readiness address |
      | bodies slowly                        | readiness address |
      | half a head                          | readiness address |

  Scenario Outline: More connections than allowed, at the <address>
    When 400 callers send half a head to the <address>
    Then the process lives, with a peak of at most 100 MB and at most 260 descriptors
    And an ordinary request is answered

    Examples:
      | address           |
      | routed path       |
      | readiness address |

  Scenario: A caller can read a refusal that is sent before its body has been read
    When a caller sends a whole body of 900000 bytes to the path without a route
    Then it reads a response with status 404 and Connection: close

  Scenario: Slow bodies do not shut ordinary callers out at the bound on connections
    When 200 callers send small bodies byte by byte to the routed path
    Then an ordinary request is answered

  Scenario: Fresh connections do not shut the readiness probe out
    When 32 connections to the readiness address have just been opened
    Then the readiness probe is answered

  Scenario Outline: A caller reads one response to <head>
    When a caller sends <head> to the routed path
    Then it reads only a response with status <status>

    Examples:
      | head                               | status |
      | a length of 5000 digits            | 413    |
      | HEAD with a body over the limit    | 413    |
      | Expect with a body over the limit  | 413    |
      | a malformed chunk without a route  | 404    |

  Scenario: A single request of the largest size is served, also at a slow rate
    When a caller takes 4 s to send a whole body of 1000000 bytes to the routed path
    Then it reads a response with status 200
