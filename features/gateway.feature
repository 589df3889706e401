Feature: A gateway on the users' platform
  A gateway serves callers before stand-ins for the platform's store and backend servers.

  Background:
    Given a platform with 2 model engines and 2 plain servers

  Scenario Outline: A request for <path> with <key>
    When a caller calls <method> <path> with <key>
    Then the status is <status>
    And <ran> servers ran it

    Examples:
      | method | path      | key         | status | ran |
      | POST   | /book/1   | its key     | 200    | 1   |
      | GET    | /look/1   | its key     | 200    | 1   |
      | GET    | /look/1   | another key | 401    | 0   |
      | GET    | /look/1   | no key      | 401    | 0   |
      | GET    | /open/1   | no key      | 200    | 1   |
      | GET    | /nothing/ | its key     | 404    | 0   |

  Scenario: The longest prefix decides
    Given a route "/look/deep/" to service "model"
    When a caller calls GET /look/deep/1 with its key
    Then a model engine ran it

  Scenario: What a backend server gets
    When a caller adds to a prompt of 30 tokens for 20 to /chat/1 the headers X-Tenant: other; Kv-From: 1.2.3.4:5/6; X-Pin-Ms: 100; X-Length-Hint: 9
    Then the backend server got x-tenant: harbour
    And the backend server got x-length-hint: 9
    And the backend server got its own id as x-target-instance
    And the backend server got none of: x-key, kv-from, x-pin-ms
    And it was given at most 2000 ms

  Scenario Outline: A plain call when the backend server answers: <fault>
    Given the plain servers' next answers are: <fault>
    When a caller calls <method> <path> with its key
    Then the status is <status>
    And <ran> servers ran it

    Examples: a call that may be repeated
      | fault        | method | path    | status | ran |
      | full         | GET    | /look/1 | 200    | 1   |
      | other        | GET    | /look/1 | 200    | 1   |
      | full, full   | GET    | /look/1 | 503    | 0   |
      | reset        | GET    | /look/1 | 200    | 2   |
      | reset, reset | GET    | /look/1 | 502    | 2   |
      | cut 1        | GET    | /look/1 | 200    | 2   |
      | garbage      | GET    | /look/1 | 200    | 2   |
      | unsigned     | GET    | /look/1 | 200    | 2   |
      | error        | GET    | /look/1 | 200    | 2   |
      | error, error | GET    | /look/1 | 500    | 2   |
      | hang         | GET    | /look/1 | 200    | 2   |
      | unframed     | GET    | /look/1 | 200    | 1   |
      | foreign      | GET    | /look/1 | 200    | 1   |
      | reset, full  | GET    | /look/1 | 502    | 1   |

    Examples: a call that may not be repeated
      | fault        | method | path    | status | ran |
      | full         | POST   | /book/1 | 200    | 1   |
      | other        | POST   | /book/1 | 200    | 1   |
      | full, full   | POST   | /book/1 | 503    | 0   |
      | reset        | POST   | /book/1 | 502    | 1   |
      | cut 1        | POST   | /book/1 | 502    | 1   |
      | garbage      | POST   | /book/1 | 502    | 1   |
      | unsigned     | POST   | /book/1 | 502    | 1   |
      | error        | POST   | /book/1 | 500    | 1   |
      | hang         | POST   | /book/1 | 504    | 1   |
      | foreign      | POST   | /book/1 | 200    | 1   |

  Scenario: A second answer on a kept channel reaches nobody
    Given the plain servers' next answers are: extra, extra
    When a caller calls 6 times GET /look/1 with its key
    Then every answer is its own request's

  Scenario Outline: A stream that <fault> on a route that may be resumed
    Given the model engines' next answers are: <fault>
    When a caller prompts 30 tokens for 20 to /chat/1
    Then the status is 200
    And the caller has events 1 to 5 once each, and a whole answer
    And <ran> servers ran it

    Examples:
      | fault | ran |
      | none  | 1   |
      | cut 0 | 2   |
      | cut 1 | 2   |
      | cut 4 | 2   |
      | reset | 2   |

  Scenario Outline: A stream that <fault> on a route that may not be resumed
    Given the model engines' next answers are: <fault>
    When a caller prompts 30 tokens for 20 to /once/1
    Then the answer is <answer>
    And <ran> servers ran it

    Examples:
      | fault    | answer                  | ran |
      | cut 3    | broken off after 3      | 1   |
      | reset    | 502                     | 1   |
      | unsigned | 502                     | 1   |
      | full     | whole with events 1 to 5 | 1   |

  Scenario Outline: A malformed request: <what>
    When a caller sends raw: <what>
    Then the status is 400
    And 0 servers ran it

    Examples:
      | what                                |
      | both lengths                        |
      | no attempt id                       |
      | two attempt ids                     |
      | a deadline that is no number        |
      | tokens that are no numbers          |
      | a chunk size that is no number      |
      | a space before a header's colon     |

  Scenario: A body over the limit is refused in words
    When a caller sends a body of 10001 bytes to /book/1
    Then the status is 413
    And 0 servers ran it

  Scenario: A caller that leaves frees its engine
    Given the model engines take 0.3 s for each event
    When a caller streams /chat/1 and leaves after the first event
    Then the engine's channel is closed within 0.8 s

  Scenario: A prompt that costs more than was paid
    When a caller prompts 999000 tokens for 2000 to /chat/1
    Then the status is 402
    And 0 servers ran it

  Scenario: A prompt that names no parts is served
    When a caller prompts without parts to /chat/1
    Then the status is 200

  Scenario: A running total is used up and raised
    Given the customer has paid for 100 tokens
    When a caller prompts 30 tokens for 20 to /chat/1
    And a caller prompts 30 tokens for 20 to /chat/1
    Then the status is 200
    When a caller prompts 30 tokens for 20 to /chat/1
    Then the status is 402
    Given the customer has paid for 200 tokens
    When a caller prompts 30 tokens for 20 to /chat/1
    Then the status is 200

  Scenario Outline: Foreign or damaged entries: <entry>
    Given an entry of another writer: <entry>
    When a caller calls GET /look/1 with its key
    Then the status is 200

    Examples:
      | entry                        |
      | not JSON                     |
      | no address                   |
      | an address that is no number |
      | an unknown state             |
      | a list                       |

  Scenario: A config that cannot be read leaves the last good one in force
    Given the operator writes a config that is damaged
    When a caller calls GET /look/1 with its key
    Then the status is 200

  Scenario: A route that the operator adds is in force within two seconds
    Given a route "/fresh/" to service "desk"
    Then GET /fresh/1 answers 200 within 2 s

  Scenario: A key that the operator takes away is refused within two seconds
    Given the customer's key is replaced
    Then GET /look/1 answers 401 within 2 s

  Scenario: History that the store forgets is read anew
    Given the store forgets its history and a route "/later/" is added
    Then GET /later/1 answers 200 within 2 s

  Scenario: A backend server that drains gets no more work
    Given plain server 1 says that it drains
    When 1 s have passed
    And a caller calls 8 times GET /look/1 with its key
    Then plain server 1 ran none of them

  Scenario: No backend server at all is refused at once
    Given all plain servers' entries are gone
    When 1 s have passed
    And a caller calls GET /look/1 with its key
    Then the status is 503
    And it says when to come back
    And the answer took less than 0.2 s

  Scenario: A request that crashes backend servers is convicted
    Given the model engines' next answers are: reset, reset, reset, reset
    When a caller repeats a prompt 5 times to /once/1
    Then the statuses are 502, 502, 502, 503, 503
    And 3 servers ran it

  Scenario: A planned stop cuts nothing off
    Given the model engines take 0.3 s for each event
    When a caller streams /chat/1 and the gateway is told to stop
    Then the caller has events 1 to 5 once each, and a whole answer
    And the gateway has left the tokens to the pool

  Scenario: A gateway that starts while the store refuses it learns all from a peer
    Given the store has the gateways' list and refuses calls of a second gateway
    Then the second gateway serves GET /look/1 within 3 s

  Scenario: Two gateways share what is left
    Given a second gateway
    And the customer has paid for 1000 tokens
    When 20 prompts of 30 tokens for 20 go to both gateways in turn
    Then 20 of them are answered 200
    When 1 prompts of 30 tokens for 20 go to both gateways in turn
    Then 0 of them are answered 200

  Scenario: Tokens that a peer holds and cannot give yet are not spent
    Given a second gateway
    And the customer has paid for 1000 tokens
    And the first gateway holds all tokens and its bounds are not recorded
    When 1 prompts of 30 for 20 reach the second gateway
    Then 1 of them are answered 503

  Scenario: Gateways cut off from the store hand tokens to each other
    Given a second gateway
    And the customer has paid for 100000 tokens
    When 8 prompts of 30 tokens for 20 go to both gateways in turn
    And both gateways have recorded bounds since
    And the store falls silent and 80 prompts of 60 for 40 reach the second gateway in 4 s
    Then at least 80 of them are answered 200

  Scenario: A stopping gateway refuses late requests on kept channels, and cuts none off
    Given the model engines take 0.3 s for each event
    When a caller keeps a channel, the gateway stops, and 2.9 s later it streams /chat/1
    Then the status is 503
    And it says when to come back
    And 0 model engines ran it
