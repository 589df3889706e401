"""Where requests may be sent: evacuated zones, home regions and cold backend servers."""

from bilberryshed.coordination.places._cold_coordinators import CoordinatorHistory
from bilberryshed.coordination.places._cold_servers import (
    UNREADABLE,
    ColdServers,
    cold_rate,
    is_protected,
    parse_cold_time,
    prefer_warm,
)
from bilberryshed.coordination.places._evacuations import Evacuations, TableStamp, evacuated_zone
from bilberryshed.coordination.places._homes import (
    home_regions,
    is_allowed,
    places_without_known_region,
)

__all__ = [
    "UNREADABLE",
    "ColdServers",
    "CoordinatorHistory",
    "Evacuations",
    "TableStamp",
    "cold_rate",
    "evacuated_zone",
    "home_regions",
    "places_without_known_region",
    "is_allowed",
    "is_protected",
    "parse_cold_time",
    "prefer_warm",
]
