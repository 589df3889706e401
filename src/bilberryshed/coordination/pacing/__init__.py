"""Pace of backend servers that have started or recovered: how much of the load they get."""

from bilberryshed.coordination.pacing._pacing import PaceChange, Pacing
from bilberryshed.coordination.pacing._server_pace import ServerPace

__all__ = ["PaceChange", "Pacing", "ServerPace"]
