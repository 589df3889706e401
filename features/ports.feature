Feature: The platform's ports fulfil their contracts
  The HTTP adapters are tested against the stand-in, which injects the faults.

  Background:
    Given a platform stand-in over HTTP

  Scenario: Rows are written together or not at all
    When rows a and b are written at version 0
    And rows a and c are written at versions 1 and 7
    Then the second write is refused and row a has its first value

  Scenario: A version is never reused
    When row a is written, deleted and written again
    Then row a has version 3

  Scenario: Scans are ordered, bounded and can be continued
    When rows k1 to k9 are written
    Then scanning 4 rows after k2 returns k3, k4, k5, k6

  Scenario: An object is created once
    When object o is created twice with different bytes
    Then the second creation is refused and the object has its first bytes

  Scenario: Reading a missing object returns none
    Then reading object nothing returns none

  Scenario: Object names are listed in order
    When objects x/2, x/1 and y/1 are created
    Then the names with prefix x/ are x/1, x/2

  Scenario Outline: A failed call reports whether its effect is ambiguous: <fault>
    Given the fault <fault> is injected for <path>
    When <call> is attempted
    Then the call fails, its outcome is <ambiguity>, and it took effect: <effect>

    Examples:
      | fault       | path          | call     | ambiguity | effect |
      | down        | /tables/write | a write  | certain   | no     |
      | lose_answer | /tables/write | a write  | ambiguous | yes    |
      | pause       | /tables/write | a write  | ambiguous | yes    |
      | down        | /objects      | a put    | certain   | no     |
      | lose_answer | /objects      | a put    | ambiguous | yes    |
      | lose_answer | /tables/read  | a read   | certain   | no     |

  Scenario: A call to a stopped platform certainly has no effect
    Given the platform is stopped
    When a write is attempted
    Then the call fails, its outcome is certain, and it took effect: no

  Scenario: Changes of the VM list appear after its lag
    Given the VM list lags by 0.3 seconds
    When VM v1 is reported as leaving
    Then the list shows v1 as leaving only after the lag
