"""Where requests may be sent: evacuated zones."""

from bilberryshed.coordination.places._evacuations import Evacuations, TableStamp, evacuated_zone

__all__ = ["Evacuations", "TableStamp", "evacuated_zone"]
