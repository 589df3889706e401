Feature: The soak test detects violated guarantees
  Gateway processes run under injected faults; callers and backend servers record observations.

  Scenario: A short soak
    When a soak of 8 s with seed 1 is run
    Then it has no findings
    And at least 100 of its requests returned 200

  Scenario Outline: The checker handles the case that <change>
    Given the observations of a soak without violations
    When the observations change so that <change>
    Then the checker reports: <finding>

    Examples:
      | change                                        | finding              |
      | nothing changes                               | nothing              |
      | a booking runs twice                          | ran 2 times          |
      | a lookup runs twice                           | nothing              |
      | a request refused with 503 is executed        | as not run, and ran  |
      | a request that was never sent is executed     | nobody sent it       |
      | a response belongs to another request         | got b                |
      | an event of a stream is missing               | got events           |
      | an event of a stream is repeated              | got events           |
      | a truncated stream appears complete           | a whole answer with  |
      | a truncated stream appears truncated          | nothing              |
      | a stream is taken up at the version that began it | nothing  |
      | a stream is taken up at another version | events of the versions |
      | more tokens are used than were paid for       | and paid for         |
      | a gateway serves an older configuration       | serves configuration |
      | a restarted gateway serves an older one       | nothing              |
      | a planned stop ends with an error             | ended with code      |
      | a planned stop is terminated by its signal    | ended with code      |
      | a stop precedes the start of serving          | nothing              |
      | a planned stop interrupts a request           | was cut off          |
      | a request reaches a drained backend server    | which had left       |
