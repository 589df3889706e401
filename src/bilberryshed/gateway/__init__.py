"""The gateway: forwards callers' requests to backend servers according to a route table."""

from bilberryshed.gateway._context import GatewayPorts
from bilberryshed.gateway._dialect import (
    BackendResponse,
    CallerRequest,
    Dialect,
    Dispatch,
    Prompt,
    RequestError,
)
from bilberryshed.gateway._gateway import Gateway

__all__ = [
    "BackendResponse",
    "CallerRequest",
    "Dialect",
    "Dispatch",
    "RequestError",
    "Gateway",
    "GatewayPorts",
    "Prompt",
]
