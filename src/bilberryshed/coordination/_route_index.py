"""Lookup of the route, the customer and the service of a request."""

from dataclasses import replace
from typing import Self

from bilberryshed.state import Route, RoutedCustomer, RouteTable


class RouteIndex:
    """A route table indexed by host and by key."""

    __slots__ = ("table", "by_host", "by_key")

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.by_key: dict[str, RoutedCustomer] = {
            key: customer for customer in table.customers.values() for key in customer.keys
        }

    def routes_only(self) -> Self:
        """Return an index of the same routes without the customers, which takes less memory."""
        return type(self)(replace(self.table, customers={}))

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that matches the path.

        :param host: value of the Host header, with or without a port
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def customer(self, key: str) -> RoutedCustomer | None:
        """Return the customer that holds a key."""
        return self.by_key.get(key)

    def service(self, route: Route, draw: float) -> str:
        """Choose the service of a request by the weights of the route's traffic split.

        :param draw: number in [0, 1), see :func:`split_point`
        """
        total = sum(share.weight for share in route.shares)
        remaining = draw * total
        for share in route.shares:
            remaining -= share.weight
            if remaining < 0 and share.weight > 0:
                return share.service
        return route.shares[-1].service
