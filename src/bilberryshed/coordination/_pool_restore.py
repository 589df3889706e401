"""Pools of prepaid tokens in a store that came back from a copy.

The copy lacks the latest grants, returns and closed accounts. Every router that runs still knows
its own grants and the pools as it read them last, and confirms them in the store. Until all routers
have, no token of the pool is granted. A router that died meanwhile may have used grants that nobody
knows of; the tokens that could have been granted to it are then withheld for good.

Decisions only: what a row becomes when one router confirms its grant, when the time for that is
over, and when all routers have confirmed theirs.
"""

from dataclasses import asdict, dataclass, replace
from typing import Any

from bilberryshed.coordination._prepaid import PoolRow
from bilberryshed.protocol import PoolRestoration

CONFIRM_TIME = 4.0  # seconds after which a pool grants tokens that nobody can have been granted


@dataclass(slots=True, frozen=True)
class PoolReading:
    """A row as read from the store, and when.

    :param row: the row, empty if it is absent
    :param epoch: epoch of the store
    :param clock: clock of the store, in seconds
    :param is_complete: whether all rows from before this epoch are known, so that an absent row is
        a new pool and not a lost one
    """

    row: PoolRow
    epoch: int
    clock: float
    is_complete: bool


def confirm_grant(reading: PoolReading, known: PoolRow, boot: str, granted: int) -> PoolRow:
    """Return the row in which one router has confirmed its grant; it is unchanged if it has before.

    :param known: the row as this router knew it before, empty if it did not
    :param boot: boot id of this router's incarnation
    :param granted: tokens that were granted to it, less those that it has returned
    """
    row = reading.row
    if row.epoch != reading.epoch:
        row = _restore(reading, known)
    elif row.restoration and row.restoration.withheld is None:
        row = _merge(row, row.restoration, known)
    return _confirm(row, boot, granted)


def _restore(reading: PoolReading, known: PoolRow) -> PoolRow:
    """Start to restore a row from the newer one of the copy and of what a router knows."""
    base = known if known.stamp >= reading.row.stamp else reading.row
    if base.stamp == 0 and reading.is_complete:
        return PoolRow(epoch=reading.epoch)
    if reading.is_complete and base.epoch == 0:
        return replace(base, epoch=reading.epoch)
    closed = base.closed + base.withheld
    restoration = PoolRestoration(
        _open_epoch(base, reading.epoch),
        base.stamp,
        closed,
        reading.clock,
        tuple(sorted(base.holders)),
    )
    return PoolRow(closed, dict(base.holders), reading.epoch, base.revision, restoration)


def _open_epoch(row: PoolRow, epoch: int) -> int:
    """Return the epoch in which the restoration of a row began if it has not ended, else another.

    :param epoch: the epoch to return if there is none
    """
    restoration = row.restoration
    is_open = restoration is not None and restoration.withheld is None
    return min(epoch, restoration.epoch) if restoration and is_open else epoch


def _merge(row: PoolRow, restoration: PoolRestoration, known: PoolRow) -> PoolRow:
    """Replace what stems from an older row by a newer one that a router knows."""
    if known.epoch >= row.epoch or known.stamp <= restoration.base:
        return row
    closed = known.closed + known.withheld
    confirmed = {
        boot: tokens for boot, tokens in row.holders.items() if boot not in restoration.unconfirmed
    }
    unconfirmed = {boot: tokens for boot, tokens in known.holders.items() if boot not in confirmed}
    return replace(
        row,
        closed=row.closed + closed - restoration.base_closed,
        holders=unconfirmed | confirmed,
        restoration=replace(
            restoration,
            epoch=_open_epoch(known, restoration.epoch),
            base=known.stamp,
            base_closed=closed,
            unconfirmed=tuple(sorted(unconfirmed)),
        ),
    )


def _confirm(row: PoolRow, boot: str, granted: int) -> PoolRow:
    restoration, listed = row.restoration, row.holders.get(boot)
    if restoration and boot in restoration.unconfirmed:
        remaining = tuple(other for other in restoration.unconfirmed if other != boot)
        restoration = replace(restoration, unconfirmed=remaining)
    if granted == (listed or 0):
        return row if restoration == row.restoration else replace(row, restoration=restoration)
    if restoration and restoration.withheld is not None:
        withheld = max(0, restoration.withheld - granted + (listed or 0))
        restoration = replace(restoration, withheld=withheld)
    return replace(row.with_holder(boot, granted), restoration=restoration)


def end_confirmation(row: PoolRow, prepaid: int, clock: float, lost_epoch: int | None) -> PoolRow:
    """Return the row after a step towards the end of its restoration, unchanged if none is due.

    :param prepaid: total of the tokens paid for
    :param clock: clock of the store, in seconds
    :param lost_epoch: latest epoch before which grants of any router are lost, 0 for none;
        ``None`` if not all routers have confirmed their grants
    """
    restoration = row.restoration
    if restoration is None:
        return row
    if lost_epoch is not None and lost_epoch < restoration.epoch:
        return replace(row, restoration=None)
    if restoration.withheld is None and clock >= restoration.started_at + CONFIRM_TIME:
        withheld = max(0, row.free(prepaid, while_restoring=True))
        return replace(row, restoration=replace(restoration, withheld=withheld))
    return row


def can_be_closed(row: PoolRow, boot: str) -> bool:
    """Whether the account of an ended incarnation is known as well as it will ever be."""
    restoration = row.restoration
    is_listed = boot in row.holders
    if restoration is None or restoration.withheld is not None:
        return is_listed
    return is_listed and boot not in restoration.unconfirmed


def incarnation_vm(boot: str) -> str:
    """Return the name of the VM on which an incarnation runs."""
    return boot.rpartition(".")[0]


@dataclass(slots=True, frozen=True)
class RouterRecovery:
    """A router's entry in the store, which says up to which epoch its grants are known.

    :param epoch: epoch in which it last confirmed its grants
    :param lost_epoch: epoch before which an earlier process on its VM may have had grants that
        nobody confirmed, 0 for none
    :param has_left: whether it has closed its accounts and ended
    :param seen: VMs whose routers it had seen shortly before that epoch; they may have been granted
        tokens that the pools do not show
    """

    epoch: int = 0
    lost_epoch: int = 0
    has_left: bool = False
    seen: tuple[str, ...] = ()

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "RouterRecovery":
        """Parse the columns of a row; an absent row is a router that never confirmed any."""
        return cls(
            int(value.get("epoch", 0)),
            int(value.get("lost_epoch", 0)),
            bool(value.get("has_left", False)),
            tuple(str(vm) for vm in value.get("seen", ())),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)
