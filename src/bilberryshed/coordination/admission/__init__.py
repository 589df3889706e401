"""Admission control: whether a gateway takes a request now, given what it can carry itself."""

from bilberryshed.coordination.admission._link_admission import LinkDemand, longest_wait
from bilberryshed.coordination.admission._link_meter import ByteCounter, LinkMeter
from bilberryshed.coordination.admission._link_peers import LinkPeers, LinkState
from bilberryshed.coordination.admission._link_readiness import FULL_USE, ROOM_USE, LinkReadiness

__all__ = [
    "FULL_USE",
    "ROOM_USE",
    "ByteCounter",
    "LinkDemand",
    "LinkMeter",
    "LinkPeers",
    "LinkReadiness",
    "LinkState",
    "longest_wait",
]
