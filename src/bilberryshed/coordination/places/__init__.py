"""Where requests may be sent: evacuated zones and home regions."""

from bilberryshed.coordination.places._evacuations import Evacuations, TableStamp, evacuated_zone
from bilberryshed.coordination.places._homes import home_regions, homeless, is_at_home

__all__ = [
    "Evacuations",
    "TableStamp",
    "evacuated_zone",
    "home_regions",
    "homeless",
    "is_at_home",
]
