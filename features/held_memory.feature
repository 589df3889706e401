Feature: The account of bytes held for callers
  Decides which callers give way when too many bytes are held.

  Scenario: Any sequence of changes keeps the account exact and within its total
    Then for any changes, the sum is exact, and without the victims it is within the total or only whole requests

  Scenario: Victims are chosen by kind, key and size
    Given an account of 100 bytes with
      | connection | kind     | size | key |
      | 1          | WHOLE    | 60   | yes |
      | 2          | PARTIAL  | 30   | yes |
      | 3          | PARTIAL  | 40   | yes |
      | 4          | PARTIAL  | 10   | no  |
      | 5          | RESPONSE | 5    | yes |
    Then the victims are 5, 4, 3

  Scenario: A caller that has held a body for long gives way to one that sends as large a body faster
    Given an account of 100 bytes with
      | connection | kind    | size | key | age |
      | 1          | PARTIAL | 60   | yes | 1   |
      | 2          | PARTIAL | 55   | yes | 9   |
    Then the victims are 2

  Scenario: The head of a request without a body is counted
    Given a limiter of callers
    When request A with 10 header fields and no body arrives
    Then at least 4000 bytes are held

  Scenario: The end of a request does not release a later one on its connection
    Given a limiter of callers
    When request A with 10 header fields and no body arrives
    And request B with 10 header fields and no body arrives
    And request A is released
    Then at least 4000 bytes are held

  Scenario: A body that arrives in any pieces is returned whole, and then no longer held
    Then for any pieces, a body buffer has their size, returns them in order, and is empty

  Scenario Outline: With <descriptors> descriptors, callers may open <connections> connections
    Given a limiter of callers
    Then with <descriptors> descriptors, callers may open <connections> connections

    Examples:
      | descriptors | connections |
      | 1256        | 500         |
      | 256         | 64          |
      | unlimited   | 1220        |

  Scenario: Without a free descriptor, a connection to a backend server counts as not opened
    Then opening a connection to a backend server without a free descriptor is a ConnectError
