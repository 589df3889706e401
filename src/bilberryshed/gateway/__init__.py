"""The gateway: forwards callers' requests to backend servers by a route table."""

from bilberryshed.gateway._context import GatewayPorts
from bilberryshed.gateway._dialect import (
    BackendAnswer,
    CallerRequest,
    Dialect,
    Dispatch,
    Fault,
    Prompt,
)
from bilberryshed.gateway._gateway import Gateway

__all__ = [
    "BackendAnswer",
    "CallerRequest",
    "Dialect",
    "Dispatch",
    "Fault",
    "Gateway",
    "GatewayPorts",
    "Prompt",
]
