Feature: A gateway on the users' platform
  A gateway serves callers with stand-ins for the platform's store and backend servers. The faults
  of backend servers are described at the head of bilberryshed_standins/_routed_backend.py.

  Background:
    Given a platform with 2 model engines and 2 plain servers

  Scenario Outline: A request for <path> with <key>
    When a caller sends <method> <path> with <key>
    Then the status is <status>
    And <executed> servers executed the request

    Examples:
      | method | path      | key         | status | executed |
      | POST   | /book/1   | its key     | 200    | 1        |
      | GET    | /look/1   | its key     | 200    | 1        |
      | GET    | /look/1   | another key | 401    | 0        |
      | GET    | /look/1   | no key      | 401    | 0        |
      | GET    | /open/1   | no key      | 200    | 1        |
      | GET    | /nothing/ | its key     | 404    | 0        |

  Scenario: The route with the longest matching prefix is chosen
    Given a route "/look/deep/" to service "model"
    When a caller sends GET /look/deep/1 with its key
    Then a model engine executed the request

  Scenario: Headers that a backend server receives
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1 with the headers X-Tenant: other; Kv-From: 1.2.3.4:5/6; X-Pin-Ms: 100; X-Length-Hint: 9
    Then the backend server received x-tenant: harbour
    And the backend server received x-length-hint: 9
    And the backend server received its own id as x-target-instance
    And the backend server received none of: x-key, kv-from, x-pin-ms
    And the backend server received a deadline of at most 2000 ms

  Scenario Outline: A plain request when the backend server responds with: <fault>
    Given the next responses of the plain servers are: <fault>
    When a caller sends <method> <path> with its key
    Then the status is <status>
    And <executed> servers executed the request

    Examples: an idempotent request
      | fault        | method | path    | status | executed |
      | full         | GET    | /look/1 | 200    | 1        |
      | other        | GET    | /look/1 | 200    | 1        |
      | full, full   | GET    | /look/1 | 503    | 0        |
      | reset        | GET    | /look/1 | 200    | 2        |
      | reset, reset | GET    | /look/1 | 502    | 2        |
      | cut 1        | GET    | /look/1 | 200    | 2        |
      | garbage      | GET    | /look/1 | 200    | 2        |
      | unsigned     | GET    | /look/1 | 200    | 2        |
      | error        | GET    | /look/1 | 200    | 2        |
      | error, error | GET    | /look/1 | 500    | 2        |
      | hang         | GET    | /look/1 | 200    | 2        |
      | unframed     | GET    | /look/1 | 200    | 1        |
      | foreign      | GET    | /look/1 | 200    | 1        |
      | reset, full  | GET    | /look/1 | 502    | 1        |
      | unframed reset | GET  | /look/1 | 200    | 2        |
      | full cut     | GET    | /look/1 | 200    | 1        |

    Examples: a non-idempotent request
      | fault        | method | path    | status | executed |
      | full         | POST   | /book/1 | 200    | 1        |
      | full cut     | POST   | /book/1 | 200    | 1        |
      | other        | POST   | /book/1 | 200    | 1        |
      | full, full   | POST   | /book/1 | 503    | 0        |
      | reset        | POST   | /book/1 | 502    | 1        |
      | cut 1        | POST   | /book/1 | 502    | 1        |
      | garbage      | POST   | /book/1 | 502    | 1        |
      | unsigned     | POST   | /book/1 | 502    | 1        |
      | error        | POST   | /book/1 | 500    | 1        |
      | hang         | POST   | /book/1 | 504    | 1        |
      | foreign      | POST   | /book/1 | 200    | 1        |
      | unframed     | POST   | /book/1 | 200    | 1        |
      | unframed reset | POST | /book/1 | 502    | 1        |

  Scenario: A rejection that names no request is no proof on a connection that was used before
    Guards against: a copy of an earlier rejection told that a booking had not run, which ran.

    Given a platform with 1 model engines and 1 plain servers
    And the next responses of the plain servers are: ok, stray
    When a caller slowly sends 2 times POST /book/1
    Then they were answered 200, 200
    And 2 servers executed the request

  Scenario: A server that rejects without naming the request is believed on new connections
    Given a platform with 1 model engines and 1 plain servers
    And the next responses of the plain servers are: unnamed full, ok, unnamed full, unnamed full
    When a caller slowly sends 4 times POST /book/1
    Then they were answered 503, 200, 503, 503

  Scenario: A copy of a rejection that comes after it is not read
    Given a platform with 1 model engines and 1 plain servers
    And the next responses of the plain servers are: unnamed full twice, ok, unnamed full twice, ok
    When a caller slowly sends 4 times POST /book/1
    Then they were answered 503, 200, 503, 200
    And 2 servers executed the request

  Scenario Outline: A response without end in its <part> is broken off, and the next server responds
    Given the next responses of the plain servers are: endless <part>
    When a caller sends GET /look/1 with its key
    Then the status is 200
    And at most <bytes> bytes of it were sent
    And the response took less than 1.5 s

    Examples: a head of 64 KiB or a body of 8 MB is accepted; the rest is in buffers of the connection
      | part   | bytes    |
      | status | 12000000 |
      | head   | 12000000 |
      | size   | 12000000 |
      | body   | 20000000 |

  Scenario Outline: An event without end on a stream, in its <part>
    Given the next responses of the model engines are: endless <part>
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 200
    And the caller received events 1 to 5 once each, and a complete response
    And at most 12000000 bytes of it were sent

    Examples:
      | part |
      | body |
      | size |

  Scenario Outline: While a response without end arrives in small pieces, others are served: <response>
    Guards against: all parts that had arrived at once were handled before anything else had its turn.

    Given the next responses of the <kind> servers are: <response>
    When requests to <path> run into this while others to <other path> go on
    Then each of the others was served within 1 s
    And the event loop never stood still for over 0.5 s

    Examples:
      | kind  | response        | path    | other path |
      | model | endless pieces  | /chat/1 | /look/1    |
      | model | endless pieces  | /once/1 | /look/1    |
      | plain | endless pieces  | /look/1 | /chat/1    |
      | plain | endless interim | /look/1 | /chat/1    |

  Scenario: An unexpected second response on a persistent connection is discarded
    Given the next responses of the plain servers are: extra, extra
    When a caller sends 6 requests GET /look/1 with its key
    Then every response belongs to its request

  Scenario Outline: A stream with the fault <fault> on a resumable route
    Given the next responses of the model engines are: <fault>
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 200
    And the caller received events 1 to 5 once each, and a complete response
    And <executed> servers executed the request

    Examples:
      | fault | executed |
      | none  | 1        |
      | cut 0 | 2        |
      | cut 1 | 2        |
      | cut 4 | 2        |
      | reset | 2        |
      | trickle | 2      |
      | unframed | 1     |
      | unframed cut 2 | 2 |

  Scenario Outline: A stream with the fault <fault> on a route that is not resumable
    Given the next responses of the model engines are: <fault>
    When a caller sends a prompt of 30 tokens for 20 output tokens to /once/1
    Then the caller's response is <outcome>
    And <executed> servers executed the request

    Examples:
      | fault    | outcome                     | executed |
      | cut 3    | truncated after event 3     | 1        |
      | reset    | 502                         | 1        |
      | unsigned | 502                         | 1        |
      | full     | complete with events 1 to 5 | 1        |
      | unframed | complete with events 1 to 5 | 1        |
      | unframed cut 3 | truncated after event 3 | 1      |

  Scenario Outline: A malformed request: <defect>
    When a caller sends a malformed request: <defect>
    Then the status is 400
    And 0 servers executed the request

    Examples:
      | defect                              |
      | two body lengths                    |
      | no attempt id                       |
      | two attempt ids                     |
      | a deadline that is not a number     |
      | token counts that are not numbers   |
      | a chunk size that is not a number   |
      | a space before a header's colon     |

  Scenario: A body over the size limit is refused with a response
    When a caller sends a body of 10001 bytes to /book/1
    Then the status is 413
    And 0 servers executed the request

  Scenario Outline: An answer whose status is <status>
    Guards against: an answer with a status that HTTP does not have reached the caller.

    Given the next responses of the plain servers are: status <status>
    When a caller sends POST /book/1 with its key
    Then the status is 502

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |
      | 1000   |

  Scenario Outline: <count> interim responses (1xx) before an answer
    Guards against: interim responses without end kept the loop from other requests.

    Given the next responses of the plain servers are: interim <count>
    When a caller sends POST /book/1 with its key
    Then the status is <status>

    Examples:
      | count | status |
      | 1     | 200    |
      | 20    | 200    |
      | 2000  | 502    |

  Scenario Outline: A part of an answer to a long upload that is still being sent, with <framing>, then <end>
    Guards against: an answer without a length was taken for whole, though its channel had ended before the upload had.

    Given a platform with 1 model engines and 1 plain servers
    And requests may have bodies of up to 4000000 bytes
    And a caller has sent <earlier> requests to /book/1
    And the next responses of the plain servers are: early part <framing> <end>
    When a caller sends a body of 3900000 bytes to /book/1
    Then the status is 502

    Examples: on a new channel, and on one that has carried a request
      | earlier | framing | end   |
      | 0       | length  | reset |
      | 0       | chunks  | reset |
      | 0       | neither | reset |
      | 0       | neither | close |
      | 0       | neither | shut  |
      | 1       | neither | reset |
      | 1       | neither | close |
      | 1       | neither | shut  |

  Scenario: A long upload that was rejected early with a whole answer
    Given requests may have bodies of up to 4000000 bytes
    And the next responses of the plain servers are: early
    When a caller sends a body of 3900000 bytes to /book/1
    Then the status is 413

  Scenario: A caller that disconnects frees its engine
    Given the model engines send one event every 0.3 s
    When a caller streams /chat/1 and disconnects after the first event
    Then the engine's connection is closed within 0.8 s

  Scenario: A prompt that costs more than was paid
    When a caller sends a prompt of 999000 tokens for 2000 output tokens to /chat/1
    Then the status is 402
    And 0 servers executed the request

  Scenario: A prompt without a prompt prefix is served
    When a caller sends a prompt without a prompt prefix to /chat/1
    Then the status is 200

  Scenario: A prepaid total is exhausted and raised
    Given the customer has paid for 100 tokens
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    And a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 200
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 402
    Given the customer has paid for 200 tokens
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the status is 200

  # RECOVER: prompts were refused as used up, after others had been charged that brought their callers nothing.
  Scenario Outline: A prompt that brings its caller nothing is not charged: <fault>
    Given the customer has paid for 100 tokens
    And the next responses of the model engines are: <fault>, <fault>
    When a caller sends 2 prompts of 30 tokens for 20 output tokens to /once/1 and waits up to 0.6 s
    Then none of them has brought its caller any event
    When 2 prompts of 30 tokens for 20 output tokens are sent to /once/1 one after the other
    Then the statuses are 200, 200

    Examples:
      | fault      |
      | reset      |
      | error      |
      | garbage    |
      | hang       |
      | endless head |

  Scenario: A prompt is charged once an event has reached its caller, whatever happens then
    Given the customer has paid for 100 tokens
    And the next responses of the model engines are: cut 2, cut 2
    When 3 prompts of 30 tokens for 20 output tokens are sent to /once/1 one after the other
    Then the statuses are 200, 200, 402

  # ORDER, MIXED: a stream that had broken off ended as if it were complete, or with the text of an error in it.
  Scenario Outline: A stream that broke off is not complete when the next engine's response is <rest>
    Given the next responses of the model engines are: cut 2, <rest>
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the caller received events 1 to 2 once each, and an incomplete response

    Examples:
      | rest      |
      | empty     |
      | no events |
      | error     |
      | full      |
      | reset     |
      | half head |

  Scenario Outline: The text of an error that an engine wrote into its stream does not reach the caller, on <path>
    Given the next responses of the model engines are: error text 2, cut 0
    When a caller sends a prompt of 30 tokens for 20 output tokens to <path>
    Then the caller received events 1 to 2 once each, and an incomplete response

    Examples:
      | path    |
      | /chat/1 |
      | /once/1 |

  Scenario: A stream into which an engine wrote the text of an error goes on at another engine
    Given the next responses of the model engines are: error text 2
    When a caller sends a prompt of 30 tokens for 20 output tokens to /chat/1
    Then the caller received events 1 to 5 once each, and a complete response

  # MIXED, ORDER: an engine that stopped in the middle of its head could leave a 200 with an empty body.
  Scenario Outline: A head that stops in the middle, <fault>, before a sound server, for <method> <path>
    Given the next responses of the <servers> are: <fault>
    When a caller sends <method> <path> with its key
    Then the status is <status>
    And the caller's response is not an empty 200

    Examples:
      | fault           | servers       | method | path    | status |
      | half head       | plain servers | GET    | /look/1 | 200    |
      | half head reset | plain servers | GET    | /look/1 | 200    |
      | half head       | plain servers | POST   | /book/1 | 502    |
      | half head reset | plain servers | POST   | /book/1 | 502    |
      | half head       | model engines | POST   | /chat/1 | 200    |
      | half head reset | model engines | POST   | /chat/1 | 200    |
      | half head       | model engines | POST   | /once/1 | 502    |

  # LOST: requests that an engine worked on were sent to another one late in the grace, and cut at its end.
  Scenario Outline: A planned stop lets a slow server finish, with the stop <moment> the request <request>
    Given requests may take 9 s
    And the next responses of the <servers> are: slow 2.6, slow 2.6
    When a caller sends <request>, and the gateway is stopped <moment> it
    Then the status is 200

    Examples:
      | request      | servers       | moment |
      | GET /look/1  | plain servers | after  |
      | GET /look/1  | plain servers | before |
      | POST /chat/1 | model engines | after  |
      | POST /chat/1 | model engines | before |

  Scenario Outline: A request that is not answered by the end of a planned stop is told so: <request>
    Given requests may take 9 s
    And the next responses of the <servers> are: hang, hang
    When a caller sends <request>, and the gateway is stopped after it
    Then the status is 504

    Examples:
      | request      | servers       |
      | GET /look/1  | plain servers |
      | POST /book/1 | plain servers |
      | POST /chat/1 | model engines |

  Scenario Outline: Invalid server entries of other writers are ignored: <entry>
    Given another writer has stored a server entry with: <entry>
    When a caller sends GET /look/1 with its key
    Then the status is 200

    Examples:
      | entry                        |
      | invalid JSON                 |
      | no address                   |
      | a host name as address       |
      | an unknown state             |
      | a list as value              |
      | an IPv6 address              |
      | a line break in its zone     |
      | an id with a line break      |

  Scenario: An invalid config leaves the last valid one active
    Given the operator writes an invalid config
    When a caller sends GET /look/1 with its key
    Then the status is 200

  Scenario: A route that the operator adds is active within two seconds
    Given a route "/fresh/" to service "desk"
    Then GET /fresh/1 returns 200 within 2 s

  Scenario: A key that the operator revokes is refused within two seconds
    Given the customer's key is replaced
    Then GET /look/1 returns 401 within 2 s

  Scenario: The gateway reloads all rows after the store truncates its history
    Given the store truncates its history and a route "/later/" is added
    Then GET /later/1 returns 200 within 2 s

  Scenario: A draining backend server receives no new requests
    Given plain server 1 is draining
    When 1 s have passed
    And a caller sends 8 requests GET /look/1 with its key
    Then plain server 1 executed none of them

  Scenario: A request without any backend server is refused immediately
    Given the entries of all plain servers are removed
    When 1 s have passed
    And a caller sends GET /look/1 with its key
    Then the status is 503
    And the response has a Retry-After header
    And the response took less than 0.2 s

  Scenario: A request that crashes backend servers is blocked
    Given the next responses of the model engines are: reset, reset, reset, reset
    When a caller sends the same prompt 5 times to /once/1
    Then the statuses are 502, 502, 502, 503, 503
    And 3 servers executed the request

  Scenario: A planned stop interrupts no request
    Given the model engines send one event every 0.3 s
    When a caller streams /chat/1 and the gateway is stopped
    Then the caller received events 1 to 5 once each, and a complete response
    And the gateway has returned its tokens to the pool

  Scenario: A gateway that starts without access to the store gets its state from a peer
    Given the store lists the gateways and refuses connections of a second gateway
    Then the second gateway serves GET /look/1 within 3 s

  Scenario: Gateways that reach the store are not sent the backend servers by their peers
    Given a second gateway
    Then no gateway has been sent the backend servers by a peer

  Scenario: Two gateways share the remaining tokens
    Given a second gateway
    And the customer has paid for 1000 tokens
    When 20 prompts of 30 tokens for 20 output tokens are sent to both gateways in turn
    Then 20 of them return 200
    And each of them has 5 events and is complete
    When 1 prompts of 30 tokens for 20 output tokens are sent to both gateways in turn
    Then 0 of them return 200

  Scenario: Four gateways of a zone use one hub, and a stop returns what its requests did not use
    Given the customer has paid for 10000 tokens
    And four gateways in one zone
    When 24 prompts of 30 tokens for 100 output tokens are sent to the four gateways in turn
    Then 24 of them return 200
    And only the hub holds tokens
    When a gateway that is not the hub stops just after a prompt
    Then 1250 tokens are counted as used by all together within 2 s

  Scenario: A hub that dies is replaced, and the pool funds the next one
    Given the customer has paid for 100000 tokens
    And four gateways in one zone
    When 8 prompts of 30 tokens for 20 output tokens are sent to the four gateways in turn
    And the pool has at least 10000 tokens that no gateway holds
    And the hub is killed and 8 prompts of 30 tokens for 20 output tokens reach the others
    Then 8 of them return 200

  Scenario: Tokens that a peer holds and cannot transfer yet are not spent
    Given a second gateway
    And the customer has paid for 1000 tokens
    And the first gateway holds all tokens and has not recorded its bounds
    When 1 prompts of 30 tokens for 20 output tokens reach the second gateway
    Then 1 of them return 503

  Scenario: Gateways without access to the store transfer tokens to each other
    Given a second gateway
    And the customer has paid for 100000 tokens
    When 8 prompts of 30 tokens for 20 output tokens are sent to both gateways in turn
    And both gateways have recorded new spending bounds
    And the store stops responding and 80 prompts of 60 tokens for 40 output tokens reach the second gateway in 4 s
    Then at least 80 of them return 200

  Scenario: A stopping gateway refuses late requests on persistent connections, and drops none
    Given the model engines send one event every 0.3 s
    When a caller keeps a connection open, the gateway stops, and 2.9 s later the caller streams /chat/1
    Then the status is 503
    And the response has a Retry-After header
    And 0 model engines executed the request
