"""In-memory table service and object store of the platform stand-in."""

from dataclasses import dataclass
from typing import Any

from sortedcontainers import SortedDict

Value = dict[str, Any]
PutTuple = tuple[str, str, int, Value | None]


@dataclass(slots=True, frozen=True)
class TablesCopy:
    """All rows and versions at one time, by table and key."""

    rows: dict[tuple[str, str], Value]
    versions: dict[tuple[str, str], int]


class MemoryTables:
    """Rows with versions; a version is not reused for a key, except after a restore."""

    __slots__ = ("rows", "versions", "reads", "writes")

    def __init__(self) -> None:
        self.rows: SortedDict = SortedDict()
        self.versions: dict[tuple[str, str], int] = {}
        self.reads = 0
        self.writes = 0

    def copy(self) -> TablesCopy:
        """Return a copy of all rows, for :meth:`restore`."""
        return TablesCopy(dict(self.rows), dict(self.versions))

    def restore(self, copy: TablesCopy) -> None:
        """Come back from a copy: later writes are lost, and versions are given out again."""
        self.rows = SortedDict(copy.rows)
        self.versions = dict(copy.versions)

    def read(self, refs: list[tuple[str, str]]) -> list[tuple[str, str, int, Value]]:
        """Read rows atomically; an absent row has version 0."""
        self.reads += 1
        return [self._row((table, key)) for table, key in refs]

    def write(self, puts: list[PutTuple]) -> bool:
        """Write all rows, or none if the version of one does not match; ``None`` deletes a row."""
        self.writes += 1
        for table, key, version, _ in puts:
            if self._row((table, key))[2] != version:
                return False
        for table, key, _, value in puts:
            self._put((table, key), value)
        return True

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[tuple[str, str, int, Value]]:
        """Read rows with a key prefix in the order of their keys, beginning after a key."""
        self.reads += 1
        found: list[tuple[str, str, int, Value]] = []
        start = (table, max(prefix, after))
        for ref in self.rows.irange(start):
            if ref[0] != table or not ref[1].startswith(prefix) or len(found) >= limit:
                break
            if ref[1] > after:
                found.append(self._row(ref))
        return found

    def _row(self, ref: tuple[str, str]) -> tuple[str, str, int, Value]:
        if ref not in self.rows:
            return (*ref, 0, {})
        return (*ref, self.versions[ref], dict(self.rows[ref]))

    def _put(self, ref: tuple[str, str], value: Value | None) -> None:
        self.versions[ref] = self.versions.get(ref, 0) + 1
        if value is None:
            self.rows.pop(ref, None)
        else:
            self.rows[ref] = dict(value)


class MemoryObjects:
    """Immutable objects by name."""

    __slots__ = ("objects", "reads", "writes")

    def __init__(self) -> None:
        self.objects: SortedDict = SortedDict()
        self.reads = 0
        self.writes = 0

    def put_if_absent(self, name: str, data: bytes) -> bool:
        """Create an object unless one with the name exists."""
        self.writes += 1
        if name in self.objects:
            return False
        self.objects[name] = data
        return True

    def get(self, name: str) -> bytes | None:
        """Read an object; ``None`` if it does not exist."""
        self.reads += 1
        return self.objects.get(name)

    def names(self, prefix: str, after: str, limit: int) -> list[str]:
        """List names with a prefix in order, beginning after a name."""
        self.reads += 1
        found: list[str] = []
        for name in self.objects.irange(max(prefix, after)):
            if not name.startswith(prefix) or len(found) >= limit:
                break
            if name > after:
                found.append(name)
        return found
