"""Steps for routes and customers with home regions."""

from dataclasses import replace

from behave import given, then
from evacuation_steps import given_zone
from gateway_steps import put_config, run
from gateway_support import build_config

REGIONS = {"quay": "north", "pier": "south"}


def regions(text):
    """Return the value of a field; a text in quotes is no list."""
    if text.startswith('"'):
        return text.strip('"')
    return None if text == "none" else [text]


@given(
    "homes of the route {route} and of the customer {customer}, and the only plain server in zone "
    '"{zone}"'
)
def given_homes(context, route, customer, zone):
    gateway = context.harness.gateways["gate-1"].context
    gateway.settings = replace(gateway.settings, regions=REGIONS)
    config = build_config()
    for item in config["routeTable"]:
        item["allowedRegions"] = regions(route)
    config["tenants"][0]["allowedRegions"] = regions(customer)
    put_config(context, routeTable=config["routeTable"], tenants=config["tenants"])
    given_zone(context, 1, zone)


@then('a plain request is answered {status:d}, refused with cause "{cause}"')
def then_answered(context, status, cause):
    response = run(context, context.harness.call("/look/x", method="GET"))
    assert response.status == status, response
    if status == 503:
        responses = context.harness.gateways["gate-1"].metrics.responses
        assert responses.labels(503, cause)._value.get() == 1
        assert not context.harness.backends["i-desk-1"].received
