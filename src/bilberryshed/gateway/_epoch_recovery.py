"""Recovery of the gateways' records after the store was restored from a copy.

The store has one row for its current epoch and one for each gateway, which says in which epoch the
gateway last confirmed its grants. Only when all gateways have confirmed theirs in the current epoch
is it known which tokens of a pool are free. A gateway that had departed before, see
:class:`Departures`, has none to confirm.
"""

from collections.abc import Collection
from dataclasses import asdict, dataclass, replace
from typing import Any

from returns.result import Failure

from bilberryshed.coordination import CONFIRM_TIME, Departures, RouterRecovery
from bilberryshed.state import ClockedTableService, Put, RowRef
from bilberryshed.transport import logger

EPOCH_REF = RowRef("epochs", "current")
RECOVERY_TABLE = "recovered"
FIRST_START_TIME = 4.0  # seconds in which all gateways start for the first time, without traffic
MAX_GATEWAYS = 5_000  # rows read at most
MAX_CONFLICTS = 8  # consecutive write conflicts before an attempt is given up


@dataclass(slots=True, frozen=True)
class EpochRow:
    """The current epoch of the store, as the first gateway recorded it that noticed it.

    :param started_at: clock of the store at that time, in seconds
    :param is_first: whether no gateway had used the store before
    """

    epoch: int
    started_at: float
    is_first: bool

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "EpochRow":
        """Parse the columns of a row."""
        return cls(int(value["epoch"]), float(value["started_at"]), bool(value["is_first"]))

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)


class EpochRecovery:
    """This gateway's part in the recovery.

    :param name: name of this gateway
    :param departures: what this gateway has seen of the others
    :param current: the current epoch, ``None`` before it has been read
    :param own: this gateway's entry, ``None`` before it has been read
    :param lost_epoch: latest epoch before which grants of some gateway are lost, 0 for none
    :param awaited: gateways that had not confirmed their grants at the last look
    """

    __slots__ = ("tables", "name", "departures", "current", "own", "lost_epoch", "awaited")

    def __init__(self, tables: ClockedTableService, name: str, departures: Departures) -> None:
        self.tables = tables
        self.name = name
        self.departures = departures
        self.current: EpochRow | None = None
        self.own: RouterRecovery | None = None
        self.lost_epoch = 0
        self.awaited: set[str] = set()

    def is_complete(self) -> bool:
        """Whether the rows from before this epoch are known, so that an absent one is new."""
        if self.current is None or self.current.epoch != self.tables.epoch:
            return False
        is_over = self.tables.clock >= self.current.started_at + CONFIRM_TIME
        return self.current.is_first or is_over

    def is_confirmed(self) -> bool:
        """Whether this gateway has reported that its grants are confirmed in the current epoch."""
        return self.own is not None and self.own.epoch == self.tables.epoch

    def system_age(self) -> float | None:
        """Return the seconds since any gateway used the store first, ``None`` if it is not known.

        The gateways that started with that one are no older.
        """
        current = self.current
        if current is None or not current.is_first or current.epoch != self.tables.epoch:
            return None
        return max(0.0, self.tables.clock - current.started_at - FIRST_START_TIME)

    async def begin(self) -> bool:
        """Read the current epoch, or record it as the first gateway.

        :returns: whether it is known
        """
        for _ in range(MAX_CONFLICTS):
            done = await self._begin_once()
            if done is not None:
                return done
        return False

    async def _begin_once(self) -> bool | None:
        """Try once; ``None`` on a version conflict."""
        own_ref = RowRef(RECOVERY_TABLE, self.name)
        rows = await self.tables.read((EPOCH_REF, own_ref))
        if isinstance(rows, Failure):
            return False
        epoch_row, own_row = rows.unwrap()
        epoch = self.tables.epoch
        current = EpochRow.from_value(epoch_row.value) if epoch_row.version else None
        if current is None or current.epoch != epoch:
            is_first = current is None and self.current is None
            if is_first:
                others = await self.tables.scan(RECOVERY_TABLE, "", "", 1)
                if isinstance(others, Failure) or self.tables.epoch != epoch:
                    return False
                is_first = not others.unwrap()
            current = EpochRow(epoch, self.tables.clock, is_first)
            put = Put(EPOCH_REF, epoch_row.version, current.to_value())
            written = await self.tables.write((put,))
            if isinstance(written, Failure) or self.tables.epoch != epoch:
                return False
            if not written.unwrap():
                return None
            logger().warning("epoch_recorded", epoch=epoch, first=is_first)
        previous, self.current = self.current, current
        if self.own is None:
            self.own = self._after_start(RouterRecovery.from_value(own_row.value), current)
        elif previous is not None and previous.epoch != epoch and not self.own.epoch:
            # Restored before this process knew what its predecessor had.
            self.own = RouterRecovery(0, epoch)
        return True

    def _after_start(self, stored: RouterRecovery, current: EpochRow) -> RouterRecovery:
        """Return the entry of a process that has just started, from that of its predecessor."""
        is_known = stored.epoch == current.epoch or (current.is_first and not stored.epoch)
        if not is_known:
            logger().warning("predecessor_lost", epoch=current.epoch, confirmed=stored.epoch)
        return RouterRecovery(0, stored.lost_epoch if is_known else current.epoch)

    async def report(self) -> bool:
        """Record that this gateway's grants are confirmed in the current epoch.

        :returns: whether it is stored
        """
        if self.own is None:
            return False
        seen = tuple(sorted(self.departures.recently_seen()))
        return await self._write(RouterRecovery(self.tables.epoch, self.own.lost_epoch, seen=seen))

    async def leave(self) -> bool:
        """Record that this gateway has closed its accounts and has none to confirm any more.

        :returns: whether it is stored
        """
        if self.own is None:
            return False
        return await self._write(replace(self.own, has_left=True, seen=()))

    async def _write(self, entry: RouterRecovery) -> bool:
        """Write this gateway's entry.

        :returns: whether it is stored, in the epoch in which the call began
        """
        ref, epoch = RowRef(RECOVERY_TABLE, self.name), self.tables.epoch
        rows = await self.tables.read((ref,))
        if isinstance(rows, Failure):
            return False
        put = Put(ref, rows.unwrap()[0].version, entry.to_value())
        written = await self.tables.write((put,))
        if isinstance(written, Failure) or not written.unwrap() or self.tables.epoch != epoch:
            return False
        self.own = entry
        return True

    async def all_confirmed(self, required: Collection[str]) -> bool | None:
        """Whether all gateways have confirmed their grants in the current epoch, as far as known.

        It also updates ``lost_epoch``.

        :param required: names of gateways that must have confirmed them, unless they have departed
        :returns: ``None`` if the store did not respond
        """
        epoch = self.tables.epoch
        rows = await self.tables.scan(RECOVERY_TABLE, "", "", MAX_GATEWAYS)
        if isinstance(rows, Failure) or self.tables.epoch != epoch:
            return None
        entries = {row.ref.key: RouterRecovery.from_value(row.value) for row in rows.unwrap()}
        self.lost_epoch = max((entry.lost_epoch for entry in entries.values()), default=0)
        confirmed = {name: entry for name, entry in entries.items() if entry.epoch == epoch}
        seen = {name for entry in confirmed.values() for name in entry.seen}
        missing = (entries.keys() | set(required)) - confirmed.keys()
        awaited = {
            name
            for name in missing
            if name in seen or not self._has_departed(name, entries.get(name))
        }
        self._log_awaited(awaited)
        return not awaited

    def _log_awaited(self, awaited: set[str]) -> None:
        if awaited != self.awaited:
            logger().info(
                "confirmations_awaited", epoch=self.tables.epoch, gateways=",".join(sorted(awaited))
            )
        self.awaited = awaited

    def _has_departed(self, name: str, entry: RouterRecovery | None) -> bool:
        has_left = entry is not None and entry.has_left
        return has_left or self.departures.has_departed(name)
