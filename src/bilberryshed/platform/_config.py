"""Decodes the operator's config into a route table."""

import json
from collections.abc import Callable, Generator
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from bilberryshed.platform import _fields as fields
from bilberryshed.protocol import Finding
from bilberryshed.state import (
    CallerLimits,
    Route,
    RoutedCustomer,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MS_PER_SECOND = 1000
STEP_ITEMS = 50  # routes, services or customers that are decoded in one step

Item = TypeVar("Item")


def decode_table(data: bytes) -> Generator[int | None, None, Result[RouteTable, Finding]]:
    """Decode a config in short steps, so that the event loop can run between them.

    Each step yields the version that the config states, ``None`` if it states none.

    :returns: the table, or what is wrong with the config and where
    """
    try:
        config = fields.json_object(json.loads(data), "config")
        return Success((yield from _table(config)))
    except (ValueError, RecursionError) as error:
        return Failure(Finding("config", "config", str(error)))


def _table(config: dict[str, Any]) -> Generator[int | None, None, RouteTable]:
    version = config.get("version")
    stated = version if type(version) is int else None
    yield stated
    services = yield from _items(config.get("services"), "services", _service, stated)
    routes = yield from _items(config.get("routeTable"), "routeTable", _route, stated)
    customers = yield from _items(config.get("tenants", []), "tenants", _customer, stated)
    services_by_name = {service.name: service for service in services}
    for route in routes:
        for share in route.shares:
            if share.service not in services_by_name:
                raise fields.FieldError(f"route {route.name!r} has no service {share.service!r}")
    return RouteTable(
        version=fields.integer(config, "version", "config"),
        routes=tuple(routes),
        services=services_by_name,
        customers={customer.name: customer for customer in customers},
        requires_keys=bool(config.get("tenants")),
        limits=_limits(fields.json_object(config.get("limits", {}), "limits")),
    )


def _items(
    value: Any, name: str, decode: Callable[[dict[str, Any], str], Item], version: int | None
) -> Generator[int | None, None, list[Item]]:
    """Decode the objects of an array."""
    items: list[Item] = []
    for i, item in enumerate(fields.json_array(value, name)):
        location = f"{name}[{i}]"
        items.append(decode(fields.json_object(item, location), location))
        if len(items) % STEP_ITEMS == 0:
            yield version
    return items


def _route(item: dict[str, Any], location: str) -> Route:
    kind = fields.string(item, "kind", location)
    if kind not in ROUTE_KINDS:
        raise fields.FieldError(f"{location}.kind is {kind!r}, none of {', '.join(ROUTE_KINDS)}")
    timeout = fields.number(item, "timeoutMs", location)
    return Route(
        name=str(item.get("name", location)),
        host=fields.string(item, "host", location),
        prefix=fields.string(item, "pathPrefix", location),
        kind=ROUTE_KINDS[kind],
        shares=_shares(item, location),
        attempts=max(1, fields.integer(item, "maxAttempts", location, 1)),
        timeout=timeout / MS_PER_SECOND,
        latency_target=fields.number(item, "targetLatencyMs", location, timeout) / MS_PER_SECOND,
        priority=fields.integer(item, "priority", location, 5),
        anonymous=fields.boolean(item, "anonymous", location),
        resumable=fields.boolean(item, "resumable", location),
        regions=_regions(item),
    )


def _shares(item: dict[str, Any], location: str) -> tuple[ServiceShare, ...]:
    """Decode the services of a route: one, or several with weights."""
    split = item.get("trafficSplit")
    if not split:
        return (ServiceShare(fields.string(item, "service", location), 1.0),)
    shares = []
    for i, part in enumerate(fields.json_array(split, f"{location}.trafficSplit")):
        share_location = f"{location}.trafficSplit[{i}]"
        entry = fields.json_object(part, share_location)
        name = fields.string(entry, "service", share_location)
        shares.append(ServiceShare(name, fields.number(entry, "weight", share_location)))
    return tuple(shares)


def _service(item: dict[str, Any], location: str) -> RoutedService:
    # "backend" describes the model engines of a service; plain services lack the field.
    engine = item.get("backend")
    details = fields.json_object(engine, f"{location}.backend") if engine else {}
    return RoutedService(
        name=fields.string(item, "name", location),
        health_path=str(item.get("healthPath", "")),
        max_connections=fields.integer(item, "maxConnections", location, 100),
        is_model=bool(engine),
        slots=fields.integer(details, "slots", location, 0),
        cache_tokens=fields.integer(details, "kvCapacityTokens", location, 0),
        # "stride" is the number of tokens in one event.
        tokens_per_event=max(1, fields.integer(details, "stride", location, 1)),
        cold_time=fields.number(item, "coldStartS", location, 0),
        cold_rate=fields.number(item, "coldPerS", location, 0),
    )


def _regions(item: dict[str, Any]) -> frozenset[str] | None:
    """Decode the home regions of a route or customer; an invalid list allows no region."""
    regions = item.get("allowedRegions")
    if regions is None or regions == []:
        return None
    if not isinstance(regions, list) or not all(isinstance(item, str) for item in regions):
        return frozenset()
    return frozenset(regions)


def _customer(item: dict[str, Any], location: str) -> RoutedCustomer:
    keys = fields.json_array(item.get("apiKeys", []), f"{location}.apiKeys")
    has_priority = item.get("priority") is not None
    # "prepaid" is the cumulative total that the customer paid for, not the remaining balance.
    has_total = item.get("prepaid") is not None
    return RoutedCustomer(
        name=fields.string(item, "name", location),
        keys=tuple(str(key) for key in keys),
        priority=fields.integer(item, "priority", location) if has_priority else None,
        prepaid=int(fields.number(item, "prepaid", location)) if has_total else None,
        regions=_regions(item),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    defaults, location = CallerLimits(), "limits"
    return CallerLimits(
        header_bytes=fields.integer(item, "maxHeaderBytes", location, defaults.header_bytes),
        body_bytes=fields.integer(item, "maxBodyBytes", location, defaults.body_bytes),
        header_timeout=_seconds(item, "headerTimeoutMs", defaults.header_timeout),
        idle_timeout=_seconds(item, "idleTimeoutMs", defaults.idle_timeout),
    )


def _seconds(item: dict[str, Any], name: str, default: float) -> float:
    return fields.number(item, name, "limits", default * MS_PER_SECOND) / MS_PER_SECOND
