Feature: A fleet of separate processes serves its callers
  The scenarios share one Cairnbrae fleet.

  Background:
    Given the shared Cairnbrae fleet with its sheet active

  Scenario: A streamed response is complete and billed once
    When highland-council requests a streamed completion from the drivers service with key s1
    Then the response is complete and has the expected text
    And eventually key s1 has one bill

  Scenario: A non-streamed response is billed once, and a retry returns it without a second bill
    When highland-council requests a non-streamed completion from the drivers service with key w1
    And the same request is sent again to every router
    Then every response is complete and has the expected text
    And eventually key w1 has one bill

  Scenario: Models are listed for the customer
    When glenbrae-estate lists the models
    Then only brae-small@5 is listed

  Scenario: A booking runs once, however often it is sent
    When highland-council books a visit with key b1 at every router, twice
    Then every booking has the same number
    And the booking of key b1 ran once
    And eventually key b1 has one bill

  Scenario: A plain call is forwarded and billed
    When highland-council gets /services/accounts/lane/7
    Then the response has status 200

  Scenario Outline: Invalid input is refused with its reason: <case>
    When a request is sent that has <case>
    Then it is refused with status <status>, code <code> and a message containing "<text>"
    And the refusal has outcome not_run

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
    Then it is refused with status 413, code body_too_large and a message containing "3000000 bytes"
    And the refusal has outcome not_run

  Scenario: A body far above the size limit is refused or its connection closed
    When a request with a body of 9 MB is sent
    Then it is refused before it reaches a model

  Scenario: Nothing was spent on refused requests
    Then eventually glenbrae-estate has no bills

  Scenario: A second sheet is active on every router within 4 seconds
    When a sheet that raises moray-council's budget is submitted on top of the accepted version
    Then it is active on every router within 4 seconds
    And an audit has no findings

  Scenario: A caller without a key who disconnects is billed for the generated part
    When moray-council disconnects during a long response without a key
    Then eventually its last bill is for less than the full response

  Scenario: A caller with a key who disconnects can request the full response later and is billed once
    When moray-council disconnects during a long response with key l1
    And it repeats the request with key l1
    Then the response is complete and has the expected text
    And eventually key l1 has one bill
    And the bill of key l1 is for the full response
