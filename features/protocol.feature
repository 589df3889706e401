Feature: Messages and responses arrive complete or not at all

  Scenario: Every message survives encoding
    Then random messages of every class decode to themselves

  Scenario: The decoder handles arbitrary bytes
    Then random bytes and damaged messages decode or raise FrameError

  Scenario Outline: Frames of a response: <frames>
    When the frames arrive: <frames>
    Then the frames form a <outcome> response

    Examples:
      | frames               | outcome  |
      | 0, 1, 2, end         | complete |
      | end of nothing       | complete |
      | 0, 1, 1, 2, end      | complete |
      | 0, 1, 0, 2, end      | complete |
      | 0, 2, end            | damaged  |
      | 0, 1, end            | damaged  |
      | 1, 0, 2, end         | damaged  |
      | 0, 1, 2, other's end | damaged  |
      | 0, other's 1, 2, end | damaged  |
      | 0, changed 1, 2, end | damaged  |

  Scenario Outline: Usage is allocated to the reservations in their order
    When <used> tokens are used of reservations <reservations>
    Then the charges are <charges>

    Examples:
      | used | reservations | charges |
      | 0    | 10, 20       | none    |
      | 5    | 10, 20       | 5       |
      | 10   | 10, 20       | 10      |
      | 25   | 10, 20       | 10, 15  |
      | 30   | 10, 20       | 10, 20  |
      | 31   | 10, 20       | refused |
