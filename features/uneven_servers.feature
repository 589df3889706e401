Feature: Requests are placed by the time until their first event
  Replays of the placement decisions, without a network.

  Scenario Outline: Gateways that choose among equal servers at the same time spread
    All of them chose the server with the lowest id, and it received every request.

    Given 24 gateways and the servers <servers>, all idle
    When each gateway places a plain request before it knows of the others
    Then no server receives more than <maximum> of them

    Examples:
      | servers             | maximum |
      | a,b,c,d,e,f         | 8       |
      | a,b,c,d,e,f,g,h,i,j | 6       |

  Scenario Outline: Learned speeds shorten the time until the first event: <pattern>
    Tokens alone send an engine of speed 0.7 as many prompts as one of speed 1.7.

    Given engines of the speeds <speeds>
    When the pattern "<pattern>" is replayed with and without learned speeds, 3 seeds each
    Then the mean time until the first event with them is at most <share> of that without

    Examples: a gain where speeds differ, no loss beyond noise where it cannot be had
      | pattern                     | speeds      | share |
      | steady                      | 0.7,0.7,1.7 | 0.93  |
      | hot key                     | 0.7,0.7,1.7 | 0.90  |
      | burst on a hot key          | 0.7,0.7,1.7 | 0.90  |
      | burst                       | 0.7,0.7,1.7 | 1.04  |
      | long prompts over short ones | 0.7,0.7,1.7 | 1.02  |
      | burst                       | 1.0         | 1.04  |

  Scenario Outline: The choice is by tokens while speeds are <knowledge>
    Random changes of an estimate must not move requests.

    Given <answers> answers of each of 3 servers at paces <paces> with deviations of <noise> percent
    Then 300 prompts under random loads go where their tokens alone send them: <same>

    Examples:
      | knowledge             | answers | paces       | noise | same |
      | not observed          | 0       | 1,1,1       | 0     | yes  |
      | seen too few times    | 5       | 1.4,1.4,0.6 | 0     | yes  |
      | equal but for noise   | 40      | 1,1,1       | 30    | yes  |
      | known less than apart | 40      | 1.1,1,1     | 80    | yes  |
      | known and different   | 40      | 1.4,1.4,0.6 | 10    | no   |

  Scenario: A server that was slow and is no longer observed counts as ordinary again
    It got few prompts then, and would not be seen to have recovered.

    Given 40 answers of each of 3 servers at paces 2,1,1 with deviations of 0 percent
    When only the others answer for 40 s
    Then the slow server counts as an ordinary one

  Scenario Outline: A hot prefix does not exceed the memory of its server: <case>
    A server crashes if the prompts and outputs that it holds exceed its memory.

    Given 2 gateways that report their load, and servers with memory for <capacity> tokens: a,b,c
    When <count> prompts of one prefix that hold <tokens> tokens each run at the gateways in turn
    Then the server with the most holds <most> tokens at most

    Examples:
      | case              | capacity | count | tokens | most  |
      | a prefix spreads  | 10000    | 9     | 3000   | 9000  |
      | two fit           | 2500     | 6     | 1000   | 2000  |
      | all are full      | 2500     | 7     | 1000   | 3000  |
      | no limit is known | 0        | 6     | 1000   | 6000  |

  Scenario: The first data of a stream is an observation of its server's speed
    Without it, a gateway would never learn.

    Given 5 answers of each of 3 servers at paces 1,1,1 with deviations of 0 percent
    When a stream of the first server begins 0.2 s after a prompt of 9000 tokens was sent there
    Then 6 answers of that server are known, and none of its prompt tokens is unread
