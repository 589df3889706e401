"""Changes of a customer's pool that many routers request at the same time.

Rows of the store are changed by transactions that fail if the row has changed since it was read. If
every router wrote its own changes, most transactions would fail after all routers restart together.
So the routers send their changes to one coordinator for each customer, which applies them in one
transaction.
"""

from collections.abc import Iterable

from bilberryshed.coordination._pool_restore import can_be_closed
from bilberryshed.coordination._prepaid import PoolRow
from bilberryshed.coordination._rendezvous import owner
from bilberryshed.protocol import PoolChange


def apply_changes(row: PoolRow, prepaid: int, changes: Iterable[PoolChange]) -> PoolRow:
    """Return the row with all changes: closed accounts and returns first, then grants in order.

    A late return of an incarnation that another change closes is dropped: its tokens were counted
    when the account was closed.

    :param prepaid: total of the tokens paid for
    """
    requested = tuple(changes)
    closed = {change.boot for change in requested if change.used is not None}
    for change in sorted(requested, key=lambda change: change.used is None and change.take > 0):
        if change.take >= 0 or change.boot not in closed:
            row = _apply(row, prepaid, change)
    return row


def _apply(row: PoolRow, prepaid: int, change: PoolChange) -> PoolRow:
    granted = row.holders.get(change.boot, 0)
    if change.used is not None:
        can_close = can_be_closed(row, change.boot)
        return row.close_holder(change.boot, change.used) if can_close else row
    if change.take < 0:
        is_current = change.stamp == row.stamp
        return row.with_holder(change.boot, granted + change.take) if is_current else row
    if row.restoration and change.boot in row.restoration.unconfirmed:
        return row
    take = min(change.take, row.free(prepaid))
    return row.with_holder(change.boot, granted + take) if take > 0 else row


def coordinator(customer: str, candidates: Iterable[str]) -> str | None:
    """Return the router that changes a customer's pool on behalf of all others.

    :param candidates: routers that can reach the store and are not draining
    """
    return owner(f"pool {customer}", candidates)
