Feature: The soak finds broken promises
  Real gateway processes under faults from outside; callers and backend servers bear witness.

  Scenario: A short soak
    When a soak of 8 s with seed 1 is played
    Then it has no findings
    And at least 100 of its requests were answered

  Scenario Outline: The checker catches <broken>
    Given the observations of a sound soak
    When it turns out that <broken>
    Then the checker finds: <finding>

    Examples:
      | broken                                        | finding              |
      | nothing is wrong                              | nothing              |
      | a booking runs twice                          | ran 2 times          |
      | a lookup runs twice                           | nothing              |
      | a request that was refused with 503 ran       | as not run, and ran  |
      | a request that nobody sent runs               | nobody sent it       |
      | an answer is another request's                | got b                |
      | an event of a stream is missing               | got events           |
      | an event of a stream comes twice              | got events           |
      | a stream that broke off looks whole           | a whole answer with  |
      | a stream that broke off looks broken          | nothing              |
      | more tokens are used than were paid for       | and paid for         |
      | a gateway serves an older configuration       | serves configuration |
      | a gateway that starts anew serves an older one | nothing             |
      | a planned stop ends with an error             | ended with code      |
      | a planned stop is ended by its signal         | ended with code      |
      | a stop comes before the start                 | nothing              |
      | a planned stop cuts a request off             | was cut off          |
      | work reaches a backend server that has left   | which had left       |
