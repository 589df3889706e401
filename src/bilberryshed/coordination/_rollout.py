"""Selection of the sheet version that a process applies."""

from dataclasses import dataclass

from bilberryshed.state import Sheet


@dataclass(slots=True, frozen=True)
class ActiveSheet:
    """A sheet with its version and with its encoded form, which is sent to peers."""

    version: int
    digest: str
    content: bytes
    sheet: Sheet


class Rollout:
    """Tracks the highest sheet version; an older version never replaces a newer one."""

    __slots__ = ("current", "accepted_version")

    def __init__(self) -> None:
        self.current: ActiveSheet | None = None
        self.accepted_version = 0

    @property
    def version(self) -> int:
        """Active version of this process, 0 for none."""
        return self.current.version if self.current else 0

    @property
    def is_stale(self) -> bool:
        """Whether a version above the active one is known to be accepted."""
        return self.accepted_version > self.version

    def record_version(self, version: int) -> bool:
        """Record that a version was accepted.

        :returns: whether its content has yet to be fetched
        """
        self.accepted_version = max(self.accepted_version, version)
        return version > self.version

    def apply(self, candidate: ActiveSheet) -> bool:
        """Activate a sheet if it is newer than the active one.

        :returns: whether it was activated
        """
        self.record_version(candidate.version)
        if candidate.version <= self.version:
            return False
        self.current = candidate
        return True
