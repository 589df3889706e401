"""Bounds on what a router uses, recorded in the store before it is used.

When a router dies, what it was granted beyond its bound was certainly not used, and goes back to
the pool. A bound grows with time at a rate that was recorded with it. So a router that loses the
store goes on, and its successor computes from the store's clock how much the router can have used
at most, without asking anybody.
"""

import math
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination._prepaid import Account, PrepaidBook

LEAD_TIME = 0.6  # seconds of demand that a bound is ahead of use when it is recorded
LEAD_TOKENS = 1_500  # tokens that it is ahead beside at least
LEAD_SHARE = 0.03  # of the tokens in hand that it is ahead beside
GROWTH_DELAY = 0.5  # seconds after which a bound that was not recorded anew begins to grow
GROWTH_FACTOR = 1.15  # times the demand, by which a bound grows
BASE_GROWTH = 700.0  # tokens a second by which it grows beside
RENEW_TIME = 0.3  # seconds after which bounds are recorded anew
CLOCK_DRIFT = 0.02  # share by which two steady clocks may differ in speed


@dataclass(slots=True, frozen=True)
class Bound:
    """A bound that grows once it is ``GROWTH_DELAY`` old.

    :param tokens: tokens used at most until then
    :param growth: tokens a second
    """

    tokens: int
    growth: float

    def after(self, seconds: float) -> int:
        """Return the bound some time after it was composed."""
        return self.tokens + math.floor(self.growth * max(0.0, seconds - GROWTH_DELAY))


@dataclass(slots=True, frozen=True)
class BoundsRecord:
    """A router's bounds as the store keeps them.

    :param bounds: bound by customer
    :param store_clock: the store's clock, in seconds, as last seen before they were composed
    :param number: number of the record, from 1
    """

    bounds: dict[str, Bound] = field(default_factory=dict)
    store_clock: float = 0.0
    number: int = 0

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "BoundsRecord":
        """Read the columns of a row; an absent row is a router that used nothing."""
        bounds = {
            str(name): Bound(int(tokens), float(growth))
            for name, (tokens, growth) in value.get("bounds", {}).items()
        }
        return cls(bounds, float(value.get("store_clock", 0.0)), int(value.get("number", 0)))

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        bounds = {name: [bound.tokens, bound.growth] for name, bound in self.bounds.items()}
        return {"bounds": bounds, "store_clock": self.store_clock, "number": self.number}

    def used_at_most(self, customer: str, store_clock: float) -> int:
        """Return what a dead router can have used of a customer's tokens.

        :param store_clock: the store's clock, in seconds, at a moment after the router's death
        """
        bound = self.bounds.get(customer)
        if bound is None:
            return 0
        elapsed = max(0.0, store_clock - self.store_clock) * (1 + CLOCK_DRIFT)
        return bound.after(elapsed) + 1


@dataclass(slots=True, frozen=True)
class _RecordedBounds:
    number: int
    bounds: dict[str, Bound]
    composed_at: float

    def limit(self, now: float, customer: str) -> int:
        bound = self.bounds.get(customer)
        return bound.after(now - self.composed_at) if bound else 0


class SpendingBounds:
    """The bounds of one router, which it obeys.

    A record whose answer is missing may be stored or not, now or later: until that is known it is
    obeyed beside the one that is stored.

    :param book: the router's accounts
    """

    __slots__ = ("book", "stored", "unconfirmed", "next_number")

    def __init__(self, book: PrepaidBook) -> None:
        self.book = book
        self.stored: _RecordedBounds | None = None
        self.unconfirmed: list[_RecordedBounds] = []
        self.next_number = 1

    def refresh_account(self, now: float, customer: str) -> Account:
        """Bring the mark of a customer's account up to date; return the account."""
        account = self.book.account(customer)
        account.recorded_bound = self._limit(now, customer)
        return account

    def _limit(self, now: float, customer: str) -> int:
        if self.stored is None:
            return 0
        possible = (self.stored, *self.unconfirmed)
        return min(recorded.limit(now, customer) for recorded in possible)

    def is_due(self, now: float) -> bool:
        """Whether the bounds should be recorded anew."""
        newest = self.unconfirmed[-1] if self.unconfirmed else self.stored
        return newest is None or now >= newest.composed_at + RENEW_TIME

    def compose(self, now: float, store_clock: float, needs: dict[str, int]) -> BoundsRecord:
        """Compose a record; it is unconfirmed until one of the other methods tells.

        :param store_clock: the store's clock as last seen, in seconds
        :param needs: tokens that waiting requests ask for, by customer
        """
        bounds: dict[str, Bound] = {}
        for customer, account in self.book.accounts.items():
            rate = account.demand(now)
            margin = max(LEAD_TOKENS, int(LEAD_SHARE * account.held))
            lead = margin + int(rate * LEAD_TIME) + needs.get(customer, 0)
            tokens = min(max(account.granted, account.used), account.used + lead)
            bounds[customer] = Bound(tokens, round(GROWTH_FACTOR * rate + BASE_GROWTH, 1))
        recorded = _RecordedBounds(self.next_number, bounds, now)
        self.next_number += 1
        self.unconfirmed.append(recorded)
        return BoundsRecord(bounds, store_clock, recorded.number)

    def on_stored(self, number: int) -> None:
        """Note that the store keeps a record, and that no other one can be stored any more."""
        for recorded in self.unconfirmed:
            if recorded.number == number:
                self.stored = recorded
        self.unconfirmed = []

    def on_not_stored(self) -> None:
        """Note that the record composed last is not stored and never will be."""
        self.unconfirmed.pop()
