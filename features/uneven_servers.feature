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
