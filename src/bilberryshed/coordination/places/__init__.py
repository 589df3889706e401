"""Backend servers that are cold, and the regions in which requests may be served."""

from bilberryshed.coordination.places._cold_coordinators import CoordinatorHistory
from bilberryshed.coordination.places._cold_servers import (
    UNREADABLE,
    ColdServers,
    cold_rate,
    is_protected,
    parse_cold_time,
    prefer_warm,
)

__all__ = [
    "UNREADABLE",
    "ColdServers",
    "CoordinatorHistory",
    "cold_rate",
    "is_protected",
    "parse_cold_time",
    "prefer_warm",
]
