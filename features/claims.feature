Feature: A non-idempotent call runs at most once
  The faults of the store are described at FaultyTables in support.py.

  Scenario Outline: Inserting a claim while the store fails: <faults>
    When attempt a1 claims key k1 and the store calls result in: <faults>
    Then the result is <result>
    And the call may be dispatched only if the claim of a1 is stored

    Examples: one fault
      | faults              | result        |
      | write ok            | ClaimAcquired |
      | write lost          | ClaimAcquired |
      | write vanished      | ClaimAcquired |
      | write delayed       | ClaimAcquired |
      | write down, read ok | ClaimAcquired |

    Examples: the store stays unavailable
      | faults                                          | result           |
      | write down, read down, read down, read down     | ClaimFailed      |
      | write lost, read down, read down, read down     | ClaimUnconfirmed |
      | write vanished, read down, read down, read down | ClaimUnconfirmed |

  Scenario Outline: A second attempt claims a key with an existing claim: <state>
    Given attempt a1 has claimed key k1 and the claim is <state>
    When attempt a2 claims key k1 and the store calls result in: write ok
    Then the result is <result>

    Examples:
      | state    | result        |
      | claimed  | ClaimHeld     |
      | done     | ClaimHeld     |
      | released | ClaimAcquired |

  Scenario Outline: Two attempts race while the store fails for the second: <faults>
    Given attempt a1 has claimed key k1 and the claim is claimed
    When attempt a2 claims key k1 and the store calls result in: <faults>
    Then the result is <result>

    Examples:
      | faults                | result    |
      | write lost            | ClaimHeld |
      | write vanished        | ClaimHeld |
      | write delayed         | ClaimHeld |
      | write lost, read down | ClaimHeld |

  Scenario Outline: An agent starts an attempt at most once: <events>
    When an agent handles: <events>
    Then the attempt started <starts> times

    Examples:
      | events                         | starts |
      | dispatch                       | 1      |
      | dispatch, dispatch             | 1      |
      | dispatch, end, dispatch        | 1      |
      | query, dispatch                | 0      |
      | drain, dispatch                | 0      |
      | drain, dispatch, dispatch      | 0      |
      | revoke, dispatch               | 0      |
      | full, dispatch, free, dispatch | 0      |
      | query, expire, dispatch        | 0      |
      | dispatch, end, expire, dispatch| 1      |

  Scenario Outline: An agent reports the state of an attempt: <events>
    When an agent handles: <events>
    Then the agent reports <state>

    Examples:
      | events        | state     |
      | query         | never_ran |
      | dispatch      | running   |
      | dispatch, end | recorded  |
      | dispatch, fail| failed    |
      | drain, dispatch | never_ran |
