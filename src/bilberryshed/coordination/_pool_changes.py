"""Changes of a customer's pool that many routers ask for at the same time.

Rows of the store are changed by transactions that fail if the row has changed since it was read. If
every router writes for itself, then after a common restart most transactions fail. So the routers
send what they need to one coordinator for each customer, which applies all of it at once.
"""

from collections.abc import Iterable

from bilberryshed.coordination._prepaid import PoolRow
from bilberryshed.coordination._rendezvous import owner
from bilberryshed.protocol import PoolChange


def apply_changes(
    row: PoolRow, version: int, prepaid: int, changes: Iterable[PoolChange]
) -> PoolRow:
    """Return the row with all changes: what is released first, then grants in the order given.

    :param version: version of the row
    :param prepaid: tokens paid for in all
    """
    for change in sorted(changes, key=lambda change: change.used is None and change.take > 0):
        row = _apply(row, version, prepaid, change)
    return row


def _apply(row: PoolRow, version: int, prepaid: int, change: PoolChange) -> PoolRow:
    granted = row.holders.get(change.boot, 0)
    if change.used is not None:
        return row.close_holder(change.boot, change.used) if change.boot in row.holders else row
    if change.take < 0:
        return (
            row.with_holder(change.boot, granted + change.take)
            if change.version == version
            else row
        )
    take = min(change.take, row.free(prepaid))
    return row.with_holder(change.boot, granted + take) if take > 0 else row


def coordinator(customer: str, candidates: Iterable[str]) -> str | None:
    """Return the router that changes a customer's pool for all others.

    :param candidates: routers that reach the store and go on
    """
    return owner(f"pool {customer}", candidates)
