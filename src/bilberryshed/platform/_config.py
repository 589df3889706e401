"""Decodes the operator's config into a route table."""

import json
from typing import Any

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

KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
SECOND = 1000  # milliseconds


def decode_table(data: bytes) -> Result[RouteTable, Finding]:
    """Decode a config, or say what is wrong with it and where."""
    try:
        config = fields.table(json.loads(data), "config")
        return Success(_table(config))
    except (ValueError, RecursionError) as error:
        return Failure(Finding("config", "config", str(error)))


def _table(config: dict[str, Any]) -> RouteTable:
    services = [
        _service(fields.table(item, f"services[{i}]"), f"services[{i}]")
        for i, item in enumerate(fields.items(config.get("services"), "services"))
    ]
    routes = [
        _route(fields.table(item, f"routeTable[{i}]"), f"routeTable[{i}]")
        for i, item in enumerate(fields.items(config.get("routeTable"), "routeTable"))
    ]
    customers = [
        _customer(fields.table(item, f"tenants[{i}]"), f"tenants[{i}]")
        for i, item in enumerate(fields.items(config.get("tenants", []), "tenants"))
    ]
    by_name = {service.name: service for service in services}
    for route in routes:
        for share in route.shares:
            if share.service not in by_name:
                raise fields.FieldError(f"route {route.name!r} has no service {share.service!r}")
    return RouteTable(
        version=fields.whole(config, "version", "config"),
        routes=tuple(routes),
        services=by_name,
        customers={customer.name: customer for customer in customers},
        requires_keys=bool(config.get("tenants")),
        limits=_limits(fields.table(config.get("limits", {}), "limits")),
    )


def _route(item: dict[str, Any], place: str) -> Route:
    kind = fields.text(item, "kind", place)
    if kind not in KINDS:
        raise fields.FieldError(f"{place}.kind is {kind!r}, none of {', '.join(KINDS)}")
    timeout = fields.number(item, "timeoutMs", place)
    return Route(
        name=str(item.get("name", place)),
        host=fields.text(item, "host", place),
        prefix=fields.text(item, "pathPrefix", place),
        kind=KINDS[kind],
        shares=_shares(item, place),
        attempts=max(1, fields.whole(item, "maxAttempts", place, 1)),
        timeout=timeout / SECOND,
        latency_target=fields.number(item, "targetLatencyMs", place, timeout) / SECOND,
        priority=fields.whole(item, "priority", place, 5),
        anonymous=fields.flag(item, "anonymous", place),
        resumable=fields.flag(item, "resumable", place),
    )


def _shares(item: dict[str, Any], place: str) -> tuple[ServiceShare, ...]:
    """Read the services of a route: one, or several with weights."""
    split = item.get("trafficSplit")
    if not split:
        return (ServiceShare(fields.text(item, "service", place), 1.0),)
    shares = []
    for i, part in enumerate(fields.items(split, f"{place}.trafficSplit")):
        where = f"{place}.trafficSplit[{i}]"
        entry = fields.table(part, where)
        name = fields.text(entry, "service", where)
        shares.append(ServiceShare(name, fields.number(entry, "weight", where)))
    return tuple(shares)


def _service(item: dict[str, Any], place: str) -> RoutedService:
    # "backend" describes the model engines of a service; plain services have none.
    engine = item.get("backend")
    details = fields.table(engine, f"{place}.backend") if engine else {}
    return RoutedService(
        name=fields.text(item, "name", place),
        health_path=str(item.get("healthPath", "")),
        max_connections=fields.whole(item, "maxConnections", place, 100),
        is_model=bool(engine),
        slots=fields.whole(details, "slots", place, 0),
        cache_tokens=fields.whole(details, "kvCapacityTokens", place, 0),
        # "stride" is the number of tokens in one event.
        tokens_per_event=max(1, fields.whole(details, "stride", place, 1)),
    )


def _customer(item: dict[str, Any], place: str) -> RoutedCustomer:
    keys = fields.items(item.get("apiKeys", []), f"{place}.apiKeys")
    has_priority = item.get("priority") is not None
    # "prepaid" is the running total that the customer may use, not what is left of it.
    has_total = item.get("prepaid") is not None
    return RoutedCustomer(
        name=fields.text(item, "name", place),
        keys=tuple(str(key) for key in keys),
        priority=fields.whole(item, "priority", place) if has_priority else None,
        prepaid=int(fields.number(item, "prepaid", place)) if has_total else None,
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    base, place = CallerLimits(), "limits"
    return CallerLimits(
        header_bytes=fields.whole(item, "maxHeaderBytes", place, base.header_bytes),
        body_bytes=fields.whole(item, "maxBodyBytes", place, base.body_bytes),
        header_timeout=_seconds(item, "headerTimeoutMs", base.header_timeout),
        idle_timeout=_seconds(item, "idleTimeoutMs", base.idle_timeout),
    )


def _seconds(item: dict[str, Any], name: str, default: float) -> float:
    return fields.number(item, name, "limits", default * SECOND) / SECOND
