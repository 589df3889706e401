"""Admission control: whether a gateway takes a request now, given what it can carry itself."""

from bilberryshed.coordination.admission._link_admission import LinkAdmission, LinkRequest
from bilberryshed.coordination.admission._link_meter import LinkMeter
from bilberryshed.coordination.admission._link_readiness import LinkReadiness

__all__ = ["LinkAdmission", "LinkMeter", "LinkReadiness", "LinkRequest"]
