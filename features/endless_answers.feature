Feature: Backend servers whose answers have no end
  What faulty servers send together must not exhaust the memory of a gateway, on which the requests of
  others depend.

  Background:
    Given a platform with 2 model engines and 2 plain servers
    And a gateway process with 150 MB of memory, bodies up to 1000000 bytes and 200 connections

  # Each answer was kept up to its own bound, and nothing bounded their sum: the process ran out of memory.
  Scenario Outline: 60 requests to <path> at once, answered without an end in the <part>
    Given the next 200 responses of the <kind> are: endless <part>
    When 60 callers send requests to <path> at the same time
    Then the process lives, with a peak of at most 150 MB and at most 260 descriptors
    And none of them got a complete response
    When the servers are sound again
    Then an ordinary request is answered

    Examples:
      | path    | kind          | part    |
      | /look/1 | plain servers | body    |
      | /look/1 | plain servers | pieces  |
      | /look/1 | plain servers | head    |
      | /look/1 | plain servers | size    |
      | /book/1 | plain servers | body    |
      | /look/1 | plain servers | failure |
      | /chat/1 | model engines | event   |
      | /chat/1 | model engines | pieces  |

  Scenario: A faulty server costs its own requests, not those of a sound one
    Given the next 200 responses of the plain servers are: endless body
    When 60 callers send requests to /look/1 at the same time, while 20 others stream /chat/1
    Then all of the others got a complete response

  Scenario: Answers give way by server, the largest first
    Given an account of 100 bytes of answers with
      | attempt | server | size |
      | 1       | a      | 60   |
      | 2       | b      | 30   |
      | 3       | b      | 45   |
    Then the answers 3 give way

  Scenario: A single answer within the total does not give way
    Given an account of 100 bytes of answers with
      | attempt | server | size |
      | 1       | a      | 100  |
    Then the answers none give way
