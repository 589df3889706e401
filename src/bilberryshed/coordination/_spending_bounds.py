"""Upper bounds on a router's token use, recorded in the store ahead of use.

When a router crashes, the tokens granted to it beyond its bound are certainly unused, and are
returned to the pool. A bound grows over time at a rate that is recorded with it. So a router
continues to serve during an outage of the store, and its successor computes the maximum that it can
have used from the store's clock alone, without contacting any process.
"""

import math
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination._prepaid import Account, PrepaidBook

LEAD_TIME = 0.6  # seconds of demand by which a bound exceeds current use when it is recorded
LEAD_TOKENS = 1_500  # minimum number of tokens added to that lead
LEAD_SHARE = 0.03  # fraction of the held tokens added to that lead instead, if it is more
GROWTH_DELAY = 0.5  # seconds after which a bound that was not renewed begins to grow
GROWTH_FACTOR = 1.15  # multiple of the demand at which a bound grows
BASE_GROWTH = 700.0  # tokens per second by which a bound grows in addition
RENEW_TIME = 0.25  # seconds after which bounds are renewed, by checks that are 0.1 s apart
CLOCK_DRIFT = 0.02  # fraction by which the rates of two monotonic clocks may differ


@dataclass(slots=True, frozen=True)
class Bound:
    """An upper bound on token use that grows once it is ``GROWTH_DELAY`` seconds old.

    :param tokens: maximum number of tokens used until then
    :param growth: growth after that, in tokens per second
    """

    tokens: int
    growth: float

    def after(self, seconds: float) -> int:
        """Return the bound at an age in seconds since it was composed."""
        return self.tokens + math.floor(self.growth * max(0.0, seconds - GROWTH_DELAY))


@dataclass(slots=True, frozen=True)
class BoundsRecord:
    """A router's bounds as recorded in the store.

    :param bounds: bound by customer
    :param store_clock: last time read from the store's clock before the bounds were composed, in
        seconds
    :param number: sequence number of the record, from 1
    :param epoch: epoch of the store for which it was composed; in a later one its router may have
        been allowed to use more by a record that is lost
    """

    bounds: dict[str, Bound] = field(default_factory=dict)
    store_clock: float = 0.0
    number: int = 0
    epoch: int = 0

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "BoundsRecord":
        """Parse the columns of a row; an absent row has no epoch and bounds nothing."""
        bounds = {
            str(name): Bound(int(tokens), float(growth))
            for name, (tokens, growth) in value.get("bounds", {}).items()
        }
        return cls(
            bounds,
            float(value.get("store_clock", 0.0)),
            int(value.get("number", 0)),
            int(value.get("epoch", 0)),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        bounds = {name: [bound.tokens, bound.growth] for name, bound in self.bounds.items()}
        return {
            "bounds": bounds,
            "store_clock": self.store_clock,
            "number": self.number,
            "epoch": self.epoch,
        }

    def used_at_most(self, customer: str, store_clock: float) -> int:
        """Return the maximum number of a customer's tokens that a crashed router can have used.

        :param store_clock: a time of the store's clock after the crash, in seconds
        """
        bound = self.bounds.get(customer)
        if bound is None:
            return 0
        elapsed = max(0.0, store_clock - self.store_clock) * (1 + CLOCK_DRIFT)
        return bound.after(elapsed) + 1


@dataclass(slots=True, frozen=True)
class _BoundsVersion:
    number: int
    bounds: dict[str, Bound]
    composed_at: float

    def limit(self, now: float, customer: str) -> int:
        bound = self.bounds.get(customer)
        return bound.after(now - self.composed_at) if bound else 0


class SpendingBounds:
    """The bounds that one router enforces on its own token use.

    A record whose write was not confirmed may or may not be stored, now or later. Until that is
    known, the router enforces it in addition to the stored record.

    :param book: the router's accounts
    """

    __slots__ = ("book", "stored", "unconfirmed", "next_number")

    def __init__(self, book: PrepaidBook) -> None:
        self.book = book
        self.stored: _BoundsVersion | None = None
        self.unconfirmed: list[_BoundsVersion] = []
        self.next_number = 1

    def refresh_account(self, now: float, customer: str) -> Account:
        """Update the recorded bound of a customer's account, and return the account."""
        account = self.book.account(customer)
        account.recorded_bound = self._limit(now, customer)
        return account

    def _limit(self, now: float, customer: str) -> int:
        if self.stored is None:
            return 0
        possible = (self.stored, *self.unconfirmed)
        return min(version.limit(now, customer) for version in possible)

    def is_due(self, now: float) -> bool:
        """Whether the bounds are due for renewal."""
        newest = self.unconfirmed[-1] if self.unconfirmed else self.stored
        return newest is None or now >= newest.composed_at + RENEW_TIME

    def compose(
        self, now: float, store_clock: float, needs: dict[str, int], epoch: int = 0
    ) -> BoundsRecord:
        """Compose a record, which is unconfirmed until :meth:`on_stored` or :meth:`on_not_stored`.

        :param epoch: epoch of the store
        :param store_clock: last time read from the store's clock, in seconds
        :param needs: tokens that waiting requests need, by customer
        """
        bounds: dict[str, Bound] = {}
        for customer, account in self.book.accounts.items():
            rate = account.demand(now)
            margin = max(LEAD_TOKENS, int(LEAD_SHARE * account.held))
            lead = margin + int(rate * LEAD_TIME) + needs.get(customer, 0)
            tokens = min(max(account.granted, account.used), account.used + lead)
            bounds[customer] = Bound(tokens, round(GROWTH_FACTOR * rate + BASE_GROWTH, 1))
        version = _BoundsVersion(self.next_number, bounds, now)
        self.next_number += 1
        self.unconfirmed.append(version)
        return BoundsRecord(bounds, store_clock, version.number, epoch)

    def on_stored(self, number: int) -> None:
        """Record that a record is stored and that no other one can be stored any more."""
        for version in self.unconfirmed:
            if version.number == number:
                self.stored = version
        self.unconfirmed = []

    def on_not_stored(self) -> None:
        """Discard the record composed last, which is not stored and never will be."""
        self.unconfirmed.pop()
