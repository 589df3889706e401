Feature: A whole fleet answers its callers
  The Cairnbrae fleet runs as separate processes; its scenarios share it.

  Background:
    Given the shared Cairnbrae fleet with its sheet in force

  Scenario: A streamed answer is whole and billed once
    When highland-council asks the drivers service for a streamed answer with key s1
    Then the answer is the whole, own one
    And after a moment key s1 has one bill

  Scenario: A whole answer is billed once, and a retry gets the same one without a second bill
    When highland-council asks the drivers service for a whole answer with key w1
    And the same request is sent again to every router
    Then every answer is the same whole, own one
    And after a moment key w1 has one bill

  Scenario: Models are listed for the customer
    When glenbrae-estate lists the models
    Then only brae-small@5 is listed

  Scenario: A booking runs once, however often it is sent
    When highland-council books a visit with key b1 at every router, twice
    Then every booking has the same number
    And the booking of key b1 ran once
    And after a moment key b1 has one bill

  Scenario: A plain call is passed on and billed
    When highland-council gets /services/accounts/lane/7
    Then the call is answered with status 200

  Scenario Outline: Bad input is refused with its reason: <case>
    When a request is sent that has <case>
    Then it is refused with status <status>, code <code>, saying "<text>"
    And the refusal says not_run

    Examples:
      | case                           | status | code                     | text                      |
      | a body that is not JSON        | 400    | bad_request              | body is not JSON          |
      | a body that is a list          | 400    | bad_request              | not a JSON object         |
      | no bearer key                  | 401    | unauthenticated          | bearer key                |
      | an unknown bearer key          | 401    | unauthenticated          | bearer key                |
      | an unknown model               | 404    | unknown_model            | there is no model         |
      | a forbidden model              | 403    | forbidden                | may not use model         |
      | a forbidden service            | 403    | forbidden                | may not use service       |
      | an unknown service             | 404    | unknown_service          | there is no service       |
      | an unknown budget              | 404    | unknown_budget           | no budget                 |
      | no max_tokens                  | 400    | bad_request              | 'max_tokens' is missing   |
      | negative max_tokens            | 400    | bad_request              | 'max_tokens' is -5        |
      | max_tokens that is text        | 400    | bad_request              | 'max_tokens' is 'many'    |
      | no messages                    | 400    | bad_request              | 'messages' must be        |
      | a message without content      | 400    | bad_request              | messages[0].content       |
      | a booking without a key        | 400    | idempotency_key_required | Idempotency-Key           |
      | a key used for another request | 422    | idempotency_key_reused   | another request           |
      | more tokens than were paid     | 402    | budget_exhausted         | has less than             |
      | a path that does not exist     | 400    | bad_request              | there is no POST          |

  Scenario: An oversized body is refused
    When a request with a body of 3 MB is sent
    Then it is refused with status 413, code body_too_large, saying "3000000 bytes"
    And the refusal says not_run

  Scenario: A body beyond all measure is cut off
    When a request with a body of 9 MB is sent
    Then it is refused without an answer from a model

  Scenario: Nothing was spent on refused requests
    Then after a moment glenbrae-estate has no bills

  Scenario: A second sheet is in force on every router within 4 seconds
    When a sheet that raises moray-council's budget is submitted on the accepted version
    Then every router has it in force within 4 seconds
    And an audit has no findings

  Scenario: A caller without a key who leaves pays for what was generated
    When moray-council leaves in the middle of a long answer without a key
    Then after a moment its last bill is for less than the whole answer

  Scenario: A caller with a key who leaves gets the whole answer later and pays once
    When moray-council leaves in the middle of a long answer with key l1
    And it asks again with key l1
    Then the answer is the whole, own one
    And after a moment key l1 has one bill
    And the bill of key l1 is for the whole answer
