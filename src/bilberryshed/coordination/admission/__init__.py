"""Admission control: whether a gateway takes a request now, given what it can carry itself."""

from bilberryshed.coordination.admission._link_meter import ByteCounter, LinkMeter
from bilberryshed.coordination.admission._link_peers import LinkPeers, LinkState
from bilberryshed.coordination.admission._link_readiness import LinkReadiness

__all__ = ["ByteCounter", "LinkMeter", "LinkPeers", "LinkReadiness", "LinkState"]
