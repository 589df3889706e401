Feature: Requests with home regions go only to servers there
  Zone quay is in region north, pier in south; any other zone is in no known region.

  Scenario Outline: A server in <zone>, a route with <route> and a customer with <customer>
    Guards against: a request leaves its home regions because a list or a zone is not known.

    Given a platform with 1 model engines and 1 plain servers
    And homes of the route <route> and of the customer <customer>, and the only plain server in zone "<zone>"
    Then a plain request is answered <status>, refused with cause "<cause>"

    Examples:
      | zone  | route     | customer | status | cause |
      | quay  | north     | none     | 200    | none  |
      | pier  | north     | none     | 503    | homes |
      | quay  | none      | south    | 503    | homes |
      | quay  | north     | south    | 503    | homes |
      | other | north     | none     | 503    | homes |
      | quay  | "north"   | none     | 503    | homes |
      | quay  | unknown   | none     | 503    | homes |
      | other | none      | none     | 200    | none  |
