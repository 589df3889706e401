Feature: A gateway that was late does not hold its own delay against other gateways

  Scenario: No customer overspends although a gateway stood still before the store was restored
    Guards against: a gateway that stood still for 7 s took a living one for departed, and its tokens were granted twice.

    When a gateway stands still while it reads the pools, and the store comes back from a copy without grants of a living one, seeds 1 to 5
    Then no customer spent more tokens than it has paid for
    And all tokens that are left can be granted within 1 s of the return of the other gateway

  Scenario: Time in which a gateway stood still does not show that another one has departed
    Guards against: the link of the other one closed meanwhile, and the pools were read at once afterwards.

    When a gateway stands still while its link to another one closes, and the store is restored just after that, seeds 1 to 5
    Then the gateway does not take the other one for departed
