Feature: Decisions of the gateway
  Pure decisions, each with the load or fault that it answers.

  Scenario Outline: Retries that one of <routers> routers may make
    Given <requests> requests in the window
    Then <allowed> retries are allowed with a ratio of 0.2 and a slack of 50

    Examples:
      | requests | routers | allowed |
      | 0        | 1       | 40      |
      | 100      | 1       | 56      |
      | 0        | 4       | 10      |
      | 100      | 4       | 26      |
      | 0        | 25      | 1       |

  Scenario: Retries come back as the window slides
    Given 0 requests in the window
    When all retries are made and 10 s pass
    Then 40 retries are allowed with a ratio of 0.2 and a slack of 50

  Scenario: Prompts with the same shared parts go to one backend server
    Given 6 backend servers
    When 300 prompts of 40 conversations are placed one at a time
    Then each conversation is on one backend server
    And no backend server has more than 3 times its share

  Scenario: A hot conversation spreads before its backend server is full
    Given 6 backend servers
    When 60 prompts of 1 conversation of 9000 tokens run at once
    Then at least 4 backend servers run some of them

  Scenario: A hot conversation of small prompts stays together
    Given 6 backend servers
    When 4 prompts of 1 conversation of 900 tokens run at once
    Then at least 1 backend servers run some of them
    And at most 1 backend servers run some of them

  Scenario: Six routers place a burst of a hot conversation, told of each other
    Given 6 backend servers and 6 routers
    When 60 prompts of one conversation of 9000 tokens reach the routers in turn, loads told: each
    Then the most loaded backend server runs at most 16 of them

  Scenario: Routers that know nothing of each other fill one backend server
    Given 6 backend servers and 6 routers
    When 60 prompts of one conversation of 9000 tokens reach the routers in turn, loads told: never
    Then the most loaded backend server runs at least 20 of them

  Scenario Outline: Peers hear at once of <unread> tokens to be read after they heard of <told>
    Then that is news: <news>

    Examples:
      | told | unread | news |
      | 0    | 500    | no   |
      | 0    | 6000   | yes  |
      | 9000 | 12000  | no   |
      | 9000 | 0      | no   |
      | 9000 | 30000  | yes  |

  Scenario: Plain calls of two routers avoid backend servers that the other uses
    Given 3 backend servers and 2 routers
    When 12 plain calls reach the routers in turn, loads told: each
    Then the most loaded backend server runs at most 4 of them

  Scenario: Plain calls go to the backend server with the least work, then to the nearest
    Given 3 backend servers
    Then the first plain call goes to the one in its zone
    And the next two go to the other two

  Scenario Outline: A backend server that <does>
    Given 3 backend servers
    When the first one <does>
    Then it is chosen <now> at once and <later> after <wait> s

    Examples:
      | does                     | now   | later  | wait |
      | refuses a channel        | never | again  | 0.4  |
      | refuses 5 channels       | never | never  | 2    |
      | refuses 5 channels       | never | again  | 4.1  |
      | says that it is full     | never | again  | 0.2  |
      | fails 4 requests in turn | never | again  | 1.6  |
      | fails 1 request          | again | again  | 0    |
      | says that it leaves      | never | never  | 60   |
      | is alone and fails 9     | again | again  | 0    |

  Scenario Outline: A request whose runs broke <strikes> times in <seconds> s
    When a request's runs break <strikes> times over <seconds> s
    Then it is <standing>

    Examples:
      | strikes | seconds | standing  |
      | 2       | 1       | served    |
      | 3       | 1       | convicted |
      | 3       | 200     | served    |

  Scenario: A run that is heard of twice counts once, and an end clears
    When a run that broke is heard of 5 times
    Then it is served
    When it runs to its end and breaks 2 times
    Then it is served

  Scenario Outline: A stream in pieces: <pieces>
    When an event stream comes as <pieces>
    Then whole events are handed out up to id <last>, and <left> bytes are left

    Examples: a comma is a border of pieces, a slash the end of a line
      | pieces                            | last | left |
      | id: 1/data: a//                   | 1    | 0    |
      | id: 1/da,ta: a//id: 2/            | 1    | 6    |
      | id: 1/data: a/,/id: 2/data: b//   | 2    | 0    |
      | data: a//                         | none | 0    |
      | id: 7/data: id: 9//               | 7    | 0    |
      | id:                               | none | 3    |

  Scenario: A stream cut at every byte gives the same events
    Then a stream of 4 events cut at every byte gives events 1 to 4
