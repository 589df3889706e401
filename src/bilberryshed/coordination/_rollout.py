"""Which sheet version a process serves from."""

from dataclasses import dataclass

from bilberryshed.state import Sheet


@dataclass(slots=True, frozen=True)
class ActiveSheet:
    """A sheet with its version and its encoded form, as peers are given it."""

    version: int
    digest: str
    content: bytes
    sheet: Sheet


class Rollout:
    """Keeps the highest version ever seen; an older one never replaces it."""

    __slots__ = ("current", "known_version")

    def __init__(self) -> None:
        self.current: ActiveSheet | None = None
        self.known_version = 0

    @property
    def version(self) -> int:
        """Version in force here, 0 for none."""
        return self.current.version if self.current else 0

    @property
    def is_stale(self) -> bool:
        """Whether a higher version is known to be accepted than is in force here."""
        return self.known_version > self.version

    def record_version(self, version: int) -> bool:
        """Note that a version was accepted.

        :returns: whether its content is still to be fetched
        """
        self.known_version = max(self.known_version, version)
        return version > self.version

    def apply(self, candidate: ActiveSheet) -> bool:
        """Put a sheet in force if it is newer.

        :returns: whether it is in force now and was not before
        """
        self.record_version(candidate.version)
        if candidate.version <= self.version:
            return False
        self.current = candidate
        return True
