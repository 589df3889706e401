Feature: Decisions of the gateway
  Decisions without I/O, each under the load or fault that it handles.

  Scenario Outline: Retries allowed to one of <routers> routers
    A router uses only 80 % of its share of the retries, as it estimates the shares of its peers.

    Given <requests> requests in the window
    Then <allowed> retries are allowed with a ratio of 0.2 and a slack of 50

    Examples:
      | requests | routers | allowed |
      | 0        | 1       | 40      |
      | 100      | 1       | 56      |
      | 0        | 4       | 10      |
      | 100      | 4       | 26      |
      | 0        | 25      | 1       |

  Scenario: Retries are allowed again as the window slides
    Given 0 requests in the window
    When all allowed retries are made and 10 s pass
    Then 40 retries are allowed with a ratio of 0.2 and a slack of 50

  Scenario: Prompts with the same shared prefix go to one backend server
    Given 6 backend servers
    When 300 prompts of 40 conversations are placed one at a time
    Then each conversation is on one backend server
    And no backend server has more than 3 times the average number of conversations

  Scenario: A hot conversation is spread before its backend server is full
    Given 6 backend servers
    When 60 prompts of 1 conversation of 9000 tokens run concurrently
    Then at least 4 backend servers run some of them

  Scenario: A hot conversation of small prompts stays on one backend server
    Given 6 backend servers
    When 4 prompts of 1 conversation of 900 tokens run concurrently
    Then at least 1 backend servers run some of them
    And at most 1 backend servers run some of them

  Scenario: Six routers that exchange load notices spread a burst of a hot conversation
    Given 6 backend servers and 6 routers
    When 60 prompts of one conversation of 9000 tokens reach the routers in turn, load notices sent: always
    Then the most loaded backend server has at most 16 of them in flight

  Scenario: Routers that exchange no load notices overload one backend server
    Given 6 backend servers and 6 routers
    When 60 prompts of one conversation of 9000 tokens reach the routers in turn, load notices sent: never
    Then the most loaded backend server has at least 20 of them in flight

  Scenario Outline: A backend server at whose address another one responded gets no more prompts
    Given 2 backend servers
    When another server responds at the address of i-1, and its entry has sequence <sequence> then
    Then i-1 gets new requests: <used>

    Examples: only a live server renews its entry
      | sequence | used |
      | 1        | no   |
      | 2        | yes  |

  Scenario Outline: A load of <unread> tokens awaiting prefill after <reported> were reported
    Then the change is reported immediately: <urgent>

    Examples:
      | reported | unread | urgent |
      | 0        | 500    | no     |
      | 0        | 6000   | yes    |
      | 9000     | 12000  | no     |
      | 9000     | 0      | no     |
      | 9000     | 30000  | yes    |

  Scenario: Plain requests of two routers avoid backend servers that the other router uses
    Given 3 backend servers and 2 routers
    When 12 plain requests reach the routers in turn, load notices sent: always
    Then the most loaded backend server has at most 4 of them in flight

  Scenario: Plain requests go to the least loaded backend server, then to the nearest
    Given 3 backend servers
    Then the first plain request goes to the backend server in its zone
    And the next two plain requests go to the other two backend servers

  Scenario Outline: A backend server that <event>
    Given 3 backend servers
    When the first backend server <event>
    Then it is <now> immediately and <later> after <wait> s

    Examples:
      | event                         | now     | later   | wait |
      | refuses a connection          | avoided | chosen  | 0.4  |
      | refuses 5 connections         | avoided | avoided | 2    |
      | refuses 5 connections         | avoided | chosen  | 4.1  |
      | reports that it is full       | avoided | chosen  | 0.2  |
      | fails 4 consecutive requests  | avoided | chosen  | 1.6  |
      | fails 1 request               | chosen  | chosen  | 0    |
      | reports that it is draining   | avoided | avoided | 60   |
      | is alone and fails 9 requests | chosen  | chosen  | 0    |

  Scenario Outline: A request that crashed <crashes> backend servers within <seconds> s
    When <crashes> attempts of a request crash within <seconds> s
    Then requests with its fingerprint are <crash_state>

    Examples:
      | crashes | seconds | crash_state |
      | 2       | 1       | served      |
      | 3       | 1       | blocked     |
      | 3       | 200     | served      |

  Scenario: A crash that is reported repeatedly counts once, and a completion clears crashes
    When one crashed attempt is reported 5 times
    Then requests with its fingerprint are served
    When the request completes and then crashes 2 times
    Then requests with its fingerprint are served

  Scenario Outline: A stream in the chunks <chunks>
    When an event stream arrives in the chunks <chunks>
    Then complete events are returned up to id <last>, and <buffered> bytes stay buffered

    Examples: a comma separates chunks, a slash is a line end
      | chunks                            | last | buffered |
      | id: 1/data: a//                   | 1    | 0        |
      | id: 1/da,ta: a//id: 2/            | 1    | 6        |
      | id: 1/data: a/,/id: 2/data: b//   | 2    | 0        |
      | data: a//                         | none | 0        |
      | id: 7/data: id: 9//               | 7    | 0        |
      | id:                               | none | 3        |

  Scenario: An event that never ends, in small pieces, is buffered in time proportional to its bytes
    Guards against: each piece had the whole buffer copied and searched anew.

    Then 1000000 bytes that are no event, in pieces of 8 bytes, are buffered in less than 3 s

  Scenario: A stream split at any byte yields the same events
    Then a stream of 4 events split at any byte yields events 1 to 4
