Feature: Messages and answers arrive whole or not at all

  Scenario: Every message survives encoding
    Then random messages of every class decode to themselves

  Scenario: No bytes crash the decoder
    Then random bytes and damaged messages decode or raise FrameError

  Scenario Outline: An answer's frames: <frames>
    When the frames arrive: <frames>
    Then the frames form <verdict> answer

    Examples:
      | frames               | verdict         |
      | 0, 1, 2, end         | a whole         |
      | end of nothing       | a whole         |
      | 0, 1, 1, 2, end      | a whole         |
      | 0, 1, 0, 2, end      | a whole         |
      | 0, 2, end            | a damaged       |
      | 0, 1, end            | a damaged       |
      | 1, 0, 2, end         | a damaged       |
      | 0, 1, 2, other's end | a damaged       |
      | 0, other's 1, 2, end | a damaged       |
      | 0, changed 1, 2, end | a damaged       |

  Scenario Outline: Usage is spread over the reserved parts
    When <used> tokens are used of parts <parts>
    Then the charges are <charges>

    Examples:
      | used | parts        | charges |
      | 0    | 10, 20       | none    |
      | 5    | 10, 20       | 5       |
      | 10   | 10, 20       | 10      |
      | 25   | 10, 20       | 10, 15  |
      | 30   | 10, 20       | 10, 20  |
      | 31   | 10, 20       | refused |
