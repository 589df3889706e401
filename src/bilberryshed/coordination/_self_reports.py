"""What backend servers say of themselves in their responses: that they leave, or want no requests.

Such a report holds for the process that made it, whatever its entry in the store says, until it is
known to have started anew: its start time, address, service or version is another one, or its entry
has been gone for a while.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryshed.state import BackendServer

KEEP_TIME = 120.0  # seconds for which the report of a server without an entry is kept
UNKNOWN_START_KEEP_TIME = 10.0  # seconds, if entries do not tell when their servers started

_SECONDS = re.compile(r"[0-9]{1,15}(\.[0-9]{1,400})?")


def parse_seconds(text: str) -> float | None:
    """Return a number of seconds, ``None`` if the text is none."""
    return float(text) if _SECONDS.fullmatch(text.strip()) else None


def is_same_process(first: BackendServer, second: BackendServer) -> bool:
    """Whether two entries of one id are of the same process."""
    return (first.started_at_ms, first.address, first.service, first.version) == (
        second.started_at_ms,
        second.address,
        second.service,
        second.version,
    )


@dataclass(slots=True)
class SelfReport:
    """What one backend server has said of itself; times are monotonic, in seconds.

    :param server: its entry at that time
    :param is_leaving: whether it leaves
    :param quiet_until: time before which it wants no requests
    :param listed_at: time at which it was last known to have an entry
    """

    server: BackendServer
    is_leaving: bool = False
    quiet_until: float = float("-inf")
    listed_at: float = float("-inf")


class SelfReports:
    """The reports that one router has received, by id of the backend server."""

    __slots__ = ("reports",)

    def __init__(self) -> None:
        self.reports: dict[str, SelfReport] = {}

    def get(self, server: BackendServer) -> SelfReport:
        """Return what a backend server has said; nothing if another process has its id now."""
        report = self.reports.get(server.id)
        if report is None or not is_same_process(report.server, server):
            return SelfReport(server)
        return report

    def on_leaving(self, now: float, server: BackendServer) -> bool:
        """Record that a backend server says that it leaves.

        :returns: whether it had not said so before
        """
        report = self._report(now, server)
        is_new = not report.is_leaving
        report.is_leaving = True
        return is_new

    def on_quiet(self, now: float, server: BackendServer, seconds: float) -> bool:
        """Record that a backend server wants no requests for some seconds.

        :returns: whether it wanted some until now
        """
        report = self._report(now, server)
        is_new = report.quiet_until <= now
        report.quiet_until = max(report.quiet_until, now + seconds)
        return is_new

    def _report(self, now: float, server: BackendServer) -> SelfReport:
        report = self.get(server)
        report.listed_at = now
        self.reports[server.id] = report
        return report

    def prune(self, now: float, listed: Iterable[BackendServer]) -> None:
        """Forget the reports of processes that have ended, as far as that is known."""
        for server in listed:
            report = self.reports.get(server.id)
            if report is not None and is_same_process(report.server, server):
                report.listed_at = now
        for id_, report in list(self.reports.items()):
            is_start_known = report.server.started_at_ms > 0
            keep_time = KEEP_TIME if is_start_known else UNKNOWN_START_KEEP_TIME
            if now > max(report.listed_at, report.quiet_until) + keep_time:
                del self.reports[id_]
