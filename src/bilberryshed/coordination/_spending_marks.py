"""Bounds on what a router uses, recorded by a witness before it is used.

When a router dies, what it was granted beyond its mark was certainly not used, and goes back to the
pool. The store is the first witness. While it cannot be reached, any peer that the last record in
the store names may be the witness instead. Whoever closes a dead router's account needs the store's
record and either the answers of all named peers, or the store's clock: for ``WITNESS_DELAY`` after
a record was composed, no peer is asked.
"""

from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination._prepaid import PrepaidBook

WITNESS_DELAY = 3.0  # seconds after composing a record for the store before peers are asked
CLOCK_MARGIN = 0.1  # seconds by which the two clocks may drift apart in that time
LEAD = 5.0  # seconds of demand that a mark is ahead of use
LEAST_LEAD = 10_000  # tokens that a mark is ahead of use at least
RENEW_SHARE = 0.6  # of the lead, below which a new mark is wanted
RENEW_TIME = 0.35  # seconds after which a record is composed anew, so that it proves more


@dataclass(slots=True, frozen=True)
class MarkRecord:
    """A router's marks as the store keeps them.

    :param marks: mark by customer
    :param composed_at: the store's clock, in seconds, as the router last saw it
    :param witnesses: lifetimes of peers that may know of higher marks
    """

    marks: dict[str, int] = field(default_factory=dict)
    composed_at: float = 0.0
    witnesses: tuple[str, ...] = ()

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "MarkRecord":
        """Read the columns of a row; an absent row is a router that used nothing."""
        return cls(
            {str(name): int(mark) for name, mark in value.get("marks", {}).items()},
            float(value.get("composed_at", 0.0)),
            tuple(str(boot) for boot in value.get("witnesses", ())),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return {
            "marks": self.marks,
            "composed_at": self.composed_at,
            "witnesses": list(self.witnesses),
        }

    def is_final(self, store_clock: float) -> bool:
        """Whether no peer can know of a higher mark, as the router died before it might ask.

        :param store_clock: the store's clock, in seconds, at a moment after the router's death
        """
        return store_clock - self.composed_at < WITNESS_DELAY - CLOCK_MARGIN


class SpendingMarks:
    """The marks of one router.

    :param book: its accounts

    ``witnesses`` holds the peers that every record which the store may keep by now names.
    """

    __slots__ = ("book", "composed_at", "recorded", "witnesses")

    def __init__(self, book: PrepaidBook) -> None:
        self.book = book
        self.composed_at = float("-inf")
        self.recorded = False
        self.witnesses: set[str] = set()

    def wanted(self, now: float, customer: str, need: int = 0) -> int:
        """Return the mark that a customer's demand asks for, never below the present one.

        :param need: tokens that a waiting request asks for
        """
        account = self.book.account(customer)
        lead = max(LEAST_LEAD, int(account.demand(now) * LEAD)) + need
        return max(account.mark, min(account.granted, account.used + lead))

    def due(self, now: float, store_up: bool) -> bool:
        """Whether a record is old, or some mark has too little lead with more to unlock.

        :param store_up: whether the store answers
        """
        if store_up and now >= self.composed_at + RENEW_TIME:
            return True
        for account in self.book.accounts.values():
            if account.granted <= account.mark:
                continue
            lead = max(LEAST_LEAD, int(account.demand(now) * LEAD))
            if account.mark - account.used < RENEW_SHARE * lead:
                return True
        return False

    def compose(self, now: float, needs: dict[str, int]) -> dict[str, int]:
        """Return new marks for all customers.

        :param needs: tokens that waiting requests ask for, by customer
        """
        names = self.book.accounts
        return {name: self.wanted(now, name, needs.get(name, 0)) for name in names}

    def for_store(
        self,
        now: float,
        store_clock: float,
        needs: dict[str, int],
        peers: tuple[str, ...],
    ) -> MarkRecord:
        """Compose a record for the store; from now on no peer is asked for a while.

        :param store_clock: the store's clock as last seen, in seconds
        :param peers: lifetimes of the linked peers
        """
        self.composed_at = now
        self.witnesses = self.witnesses & set(peers)
        return MarkRecord(self.compose(now, needs), store_clock, tuple(sorted(peers)))

    def on_stored(self, record: MarkRecord) -> None:
        """Note that the store keeps a record, which names the peers that may be asked."""
        self.recorded = True
        self.witnesses = set(record.witnesses)
        self.apply(record.marks)

    def may_ask_peer(self, now: float, peer: str) -> bool:
        """Whether a peer may be the witness now."""
        known = self.recorded and peer in self.witnesses
        return known and now >= self.composed_at + WITNESS_DELAY

    def apply(self, marks: dict[str, int]) -> None:
        """Take recorded marks into force."""
        for customer, mark in marks.items():
            account = self.book.account(customer)
            account.mark = max(account.mark, mark)


class Witness:
    """Marks of other routers that this one has recorded, by lifetime."""

    __slots__ = ("marks", "fenced")

    def __init__(self) -> None:
        self.marks: dict[str, dict[str, int]] = {}
        self.fenced: set[str] = set()

    def record(self, boot: str, marks: dict[str, int]) -> bool:
        """Record marks.

        :returns: ``False`` if the lifetime was declared dead
        """
        if boot in self.fenced:
            return False
        known = self.marks.setdefault(boot, {})
        for customer, mark in marks.items():
            known[customer] = max(known.get(customer, mark), mark)
        return True

    def fence(self, boot: str) -> dict[str, int]:
        """Refuse a dead lifetime from now on; return what was recorded of it."""
        self.fenced.add(boot)
        return self.marks.get(boot, {})
