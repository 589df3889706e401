"""Ports: what the fleet asks of the platform."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from returns.result import Result, Success


@dataclass(slots=True, frozen=True)
class StoreError:
    """A call to the platform did not return an answer.

    :param ambiguous: whether a write may nevertheless have taken effect
    :param detail: what was seen
    """

    ambiguous: bool
    detail: str


@dataclass(slots=True, frozen=True)
class RowRef:
    """Place of a row."""

    table: str
    key: str


@dataclass(slots=True, frozen=True)
class Row:
    """A row as read.

    :param version: 0 if the row is absent, else raised by every write; never reused for a key
    :param value: columns, empty if absent
    """

    ref: RowRef
    version: int
    value: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Put:
    """Write of one row on condition that its version is unchanged.

    :param version: version that the row must have
    :param value: new columns; ``None`` deletes the row
    """

    ref: RowRef
    version: int
    value: dict[str, Any] | None


@dataclass(slots=True, frozen=True)
class FeedRow:
    """A row that another writer keeps, as it stands in the store.

    :param data: its bytes; ``None`` if it was deleted
    """

    key: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class ChangeBatch:
    """Rows of a table, all or those that changed.

    :param version: where to go on from
    :param is_snapshot: whether these are all rows of the table; a row that is not there is gone
    """

    rows: tuple[FeedRow, ...]
    version: int
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
    """Transactional rows; contract in ``features/ports.feature``."""

    @abstractmethod
    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        """Read rows together, in the order of ``refs``."""

    @abstractmethod
    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        """Write all rows or none; ``False`` if a version did not match."""

    @abstractmethod
    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read up to ``limit`` rows whose key has ``prefix`` and is above ``after``, by key."""


class ClockedTableService(TableService):
    """A table service that tells the versions it gives and the time of its own steady clock."""

    @property
    @abstractmethod
    def clock(self) -> float:
        """Seconds on the service's steady clock in its newest answer, 0 before the first."""

    @abstractmethod
    async def transact(self, puts: tuple[Put, ...]) -> Result[int | None, StoreError]:
        """Write all rows or none; returns their new version, ``None`` if one did not match."""

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        if not puts:
            return Success(True)
        new_version = await self.transact(puts)
        return new_version.map(lambda version: version is not None)


class ChangeFeed(ABC):
    """Tables that others write and this process follows."""

    @abstractmethod
    async def snapshot(self, table: str) -> Result[ChangeBatch, StoreError]:
        """Read all rows of a table."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float) -> Result[ChangeBatch, StoreError]:
        """Read what has changed after a version; all rows if that history is lost.

        :param wait: seconds to wait for a change
        """


class ObjectStore(ABC):
    """Immutable objects; contract in ``features/ports.feature``."""

    @abstractmethod
    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        """Create an object; ``False`` if the name is taken."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object; ``None`` if there is none."""

    @abstractmethod
    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        """List up to ``limit`` names that have ``prefix`` and are above ``after``, in order."""


class VmList(ABC):
    """The platform's lagging list of VMs."""

    @abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Read the list."""


@dataclass(slots=True, frozen=True)
class Platform:
    """All ports to the platform."""

    tables: TableService
    objects: ObjectStore
    vm_list: VmList
