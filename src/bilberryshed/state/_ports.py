"""Ports: interfaces to the services of the platform."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from returns.result import Result, Success


@dataclass(slots=True, frozen=True)
class StoreError:
    """A call to the platform failed.

    :param ambiguous: whether a write may nevertheless have taken effect
    :param detail: description of the failure
    """

    ambiguous: bool
    detail: str


@dataclass(slots=True, frozen=True)
class RowRef:
    """Table and key of a row."""

    table: str
    key: str


@dataclass(slots=True, frozen=True)
class Row:
    """A row as read from its table.

    :param version: 0 if the row is absent, else increased by every write; not reused for a key
        within an epoch of the service
    :param value: columns, empty if absent
    """

    ref: RowRef
    version: int
    value: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Put:
    """Conditional write of one row, which fails if the version of the row has changed.

    :param version: version that the row must have, 0 for an absent row
    :param value: new columns; ``None`` deletes the row
    """

    ref: RowRef
    version: int
    value: dict[str, Any] | None


@dataclass(slots=True, frozen=True)
class FeedRow:
    """A row that another process writes, as stored.

    :param data: stored bytes; ``None`` if the row was deleted
    """

    key: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class ChangeBatch:
    """Rows of a table: either all of them or those that have changed.

    :param version: version after which to request the next changes
    :param epoch: epoch of the store in which they were read, see :class:`ClockedTableService`
    :param is_snapshot: whether these are all rows of the table, so that any other row is deleted
    """

    rows: tuple[FeedRow, ...]
    version: int
    epoch: int
    is_snapshot: bool


@dataclass(slots=True, frozen=True)
class Vm:
    """An entry of the platform's VM list.

    :param role: ``router`` or ``agent``
    :param link: ``IP:PORT`` of its link listener
    :param state: ``live``, ``leaving`` or ``gone``
    """

    name: str
    role: str
    zone: str
    link: str
    state: str


class TableService(ABC):
    """Transactional storage of rows; contract in ``features/ports.feature``."""

    @abstractmethod
    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        """Read several rows; the result has the order of ``refs``."""

    @abstractmethod
    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        """Write all rows atomically; ``False`` if a version did not match."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read up to ``limit`` rows in key order, of keys above ``after`` that have ``prefix``."""


class ClockedTableService(TableService):
    """A table service that reports the versions of written rows, its clock and its epoch.

    The epoch rises whenever the service is restored from a copy that lacks the latest writes.
    Versions and times of different epochs cannot be compared.
    """

    @property
    @abstractmethod
    def clock(self) -> float:
        """Monotonic time of the service in its latest response, in seconds; 0 before the first."""

    @property
    @abstractmethod
    def epoch(self) -> int:
        """Epoch of the service in its latest response, that of the last successful call."""

    @abstractmethod
    async def transact(self, puts: tuple[Put, ...]) -> Result[int | None, StoreError]:
        """Write all rows atomically; return their new version, ``None`` if one did not match."""

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        if not puts:
            return Success(True)
        new_version = await self.transact(puts)
        return new_version.map(lambda version: version is not None)


class ChangeFeed(ABC):
    """Subscription to tables that other processes write."""

    @abstractmethod
    async def snapshot(self, table: str) -> Result[ChangeBatch, StoreError]:
        """Read all rows of a table."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float) -> Result[ChangeBatch, StoreError]:
        """Read the changes after a version, or all rows if that part of the history is lost.

        :param wait: maximum seconds to wait for a change
        """


class ObjectStore(ABC):
    """Storage of immutable objects; contract in ``features/ports.feature``."""

    @abstractmethod
    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        """Create an object; ``False`` if the name exists already."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object; ``None`` if it does not exist."""

    @abstractmethod
    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        """List up to ``limit`` names that have ``prefix`` and follow ``after``, in order."""


class VmList(ABC):
    """The platform's list of VMs, which lags behind their actual state."""

    @abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Read the list."""


@dataclass(slots=True, frozen=True)
class Platform:
    """All ports to the platform."""

    tables: TableService
    objects: ObjectStore
    vm_list: VmList
