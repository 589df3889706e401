"""Home regions: the only ones whose backend servers may serve a route or a customer."""

from collections.abc import Iterator, Mapping

from bilberryshed.state import Route, RoutedCustomer, RouteTable


def home_regions(route: Route, customer: RoutedCustomer | None) -> frozenset[str] | None:
    """Return the regions that may serve a request, ``None`` for all."""
    regions = customer.regions if customer is not None else None
    if route.regions is None or regions is None:
        return regions if route.regions is None else route.regions
    return route.regions & regions


def is_allowed(zone: str, homes: frozenset[str] | None, regions: Mapping[str, str]) -> bool:
    """Whether a zone is in one of the home regions; a zone without a known region is in none.

    :param regions: region by zone
    """
    return homes is None or regions.get(zone) in homes


def places_without_known_region(table: RouteTable, regions: Mapping[str, str]) -> Iterator[str]:
    """Return the places in a table whose home regions include no known one.

    :param regions: region by zone
    """
    known = set(regions.values())
    for route in table.routes:
        if route.regions is not None and not route.regions & known:
            yield f"route {route.name}"
    for customer in table.customers.values():
        if customer.regions is not None and not customer.regions & known:
            yield f"customer {customer.name}"
