"""Parts that two versions of a route table have in common."""

from collections.abc import Generator
from dataclasses import replace

from bilberryshed.state import RoutedCustomer, RouteTable

STEP_ITEMS = 100  # routes or customers that are compared in one step


def share_unchanged_parts(
    table: RouteTable, before: RouteTable
) -> Generator[None, None, RouteTable]:
    """Return a table whose unchanged routes and customers are the objects of an earlier one.

    Replaced tables stay in memory for a while. Without common objects, many configs in quick
    succession would make each run of the garbage collector long.
    """
    known = {route.name: route for route in before.routes}
    yield
    routes = []
    for route in table.routes:
        earlier = known.get(route.name)
        routes.append(earlier if earlier is not None and earlier == route else route)
        if len(routes) % STEP_ITEMS == 0:
            yield
    customers: dict[str, RoutedCustomer] = {}
    for name, customer in table.customers.items():
        same = before.customers.get(name)
        customers[name] = same if same is not None and same == customer else customer
        if len(customers) % STEP_ITEMS == 0:
            yield
    return replace(table, routes=tuple(routes), customers=customers)
