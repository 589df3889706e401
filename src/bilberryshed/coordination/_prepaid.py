"""Escrow of prepaid tokens among routers that may be partitioned from the store and each other.

The store has one :class:`PoolRow` for each customer, with the tokens granted to each incarnation
(boot id) of a router and the tokens used by closed incarnations. A router spends its grant locally
and transfers free tokens to its peers directly. Every token is debited at one place before it is
credited at another, and is at worst lost in transit, so no order of events lets the routers
together use more tokens than were paid for.
"""

import math
from collections.abc import Collection
from dataclasses import asdict, dataclass, field, replace
from enum import StrEnum
from typing import Any

from bilberryshed.protocol import PoolRestoration

RATE_HALF_LIFE = 4.0  # seconds after which past demand counts half
MIN_HISTORY = 1.5  # seconds, the shortest period over which demand is averaged
MIN_GRANT = 2_000  # tokens below which a change of the store's row does not justify a write
REFILL_THRESHOLD = 0.7  # fraction of the target below which more tokens are acquired
RETURN_THRESHOLD = 1.5  # multiple of the target above which the excess is returned
ALLOCATED_SHARE = 0.9  # of the balance that all routers together hold; the rest stays in the store
DRAIN_HORIZON = 1.0  # seconds of demand that a draining router holds
TRANSFER_MARK = ".t"  # between boot id and number in the id of a transfer
REVISION_BITS = 40  # bits of a row's stamp below its epoch
EQUAL_SHARE = 0.2  # of the balance that is split equally, as recent demand may be unrepresentative


class Shortage(StrEnum):
    """Reason why tokens could not be reserved; the values are logged and sent to peers."""

    EXHAUSTED = "spent"
    UNREACHABLE = "out_of_reach"


def transfer_id(boot: str, number: int) -> str:
    """Return the id of a transfer.

    :param boot: boot id of the sender
    :param number: increases with each transfer of the sender
    """
    return f"{boot}{TRANSFER_MARK}{number}"


def transfer_number(transfer: str) -> int:
    """Return the number in the id of a transfer.

    :raises ValueError: if it has none
    """
    return int(transfer.rpartition(TRANSFER_MARK)[2])


def _restoration(value: dict[str, Any]) -> PoolRestoration:
    """Parse the column of a row.

    :raises KeyError, TypeError, ValueError: if a part is missing or has an invalid type
    """
    withheld = value["withheld"]
    return PoolRestoration(
        int(value["epoch"]),
        int(value["base"]),
        int(value["base_closed"]),
        float(value["started_at"]),
        tuple(str(boot) for boot in value["unconfirmed"]),
        None if withheld is None else int(withheld),
    )


@dataclass(slots=True, frozen=True)
class PoolRow:
    """One customer's pool of tokens in the store.

    :param closed: tokens used by incarnations that are closed
    :param holders: tokens granted to each open incarnation, by boot id; negative if it returned
        tokens that it had received from peers
    :param epoch: epoch of the store in which it was written or restored, 0 for an absent row
    :param revision: number of writes so far
    :param restoration: ``None`` unless the store was restored from a copy
    """

    closed: int = 0
    holders: dict[str, int] = field(default_factory=dict)
    epoch: int = 0
    revision: int = 0
    restoration: PoolRestoration | None = None

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "PoolRow":
        """Parse the columns of a row; an absent row is a pool without grants.

        :raises ValueError: if a column has an invalid type or value
        """
        holders = value.get("holders", {})
        if not isinstance(holders, dict):
            raise ValueError(f"holders is {holders!r}, not a mapping")
        restoration = value.get("restoration")
        return cls(
            int(value.get("closed", 0)),
            {str(boot): int(tokens) for boot, tokens in holders.items()},
            int(value.get("epoch", 0)),
            int(value.get("revision", 0)),
            _restoration(restoration) if restoration else None,
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        value = {
            "closed": self.closed,
            "holders": self.holders,
            "epoch": self.epoch,
            "revision": self.revision,
        }
        return value | ({"restoration": asdict(self.restoration)} if self.restoration else {})

    @property
    def stamp(self) -> int:
        """Orders the rows of a pool by epoch and revision; 0 for an absent row."""
        return (self.epoch << REVISION_BITS) | self.revision

    @property
    def withheld(self) -> int:
        """Tokens that are not granted as they may have been granted before a restore."""
        return (self.restoration.withheld or 0) if self.restoration else 0

    def written(self) -> "PoolRow":
        """Return the row as its next write stores it."""
        return replace(self, revision=self.revision + 1)

    def free(self, prepaid: int, while_restoring: bool = False) -> int:
        """Return the tokens that may still be granted, negative after the total was lowered.

        :param while_restoring: whether to count tokens that cannot be granted yet
        """
        left = prepaid - self.closed - sum(self.holders.values()) - self.withheld
        is_paused = self.restoration is not None and self.restoration.withheld is None
        return min(0, left) if is_paused and not while_restoring else left

    def with_holder(self, boot: str, tokens: int) -> "PoolRow":
        """Return the row with the grant of one incarnation replaced."""
        return replace(self, holders={**self.holders, boot: tokens})

    def is_acknowledged_by_all(self, granted: dict[str, int]) -> bool:
        """Whether every holder has acknowledged its whole grant.

        :param granted: grants as reported by the incarnations, by boot id
        """
        return all(granted.get(boot, -math.inf) >= tokens for boot, tokens in self.holders.items())

    def close_holder(self, boot: str, used: int) -> "PoolRow":
        """Return the row with one incarnation closed.

        :param used: upper bound on the tokens that the incarnation used, net of transfers
        """
        holders = {name: tokens for name, tokens in self.holders.items() if name != boot}
        granted = self.holders.get(boot, 0)
        return replace(self, closed=self.closed + min(used, granted), holders=holders)


@dataclass(slots=True)
class Account:
    """One customer's tokens at one router.

    :param granted: tokens granted by the store
    :param recorded_bound: bound on ``used`` recorded in the store, see :class:`SpendingBounds`
    :param used: spent and reserved tokens, plus tokens sent to peers, less tokens received
    :param reserved: part of ``used`` that is reserved for requests in flight
    :param rate: moving average of demand at ``rate_at``, in tokens per second
    :param first_at: time of the first demand, ``None`` before it
    """

    granted: int = 0
    recorded_bound: int = 0
    used: int = 0
    reserved: int = 0
    rate: float = 0.0
    rate_at: float = 0.0
    first_at: float | None = None

    @property
    def held(self) -> int:
        """Unused tokens of the grant, whether or not the recorded bound covers them now."""
        return self.granted - self.used

    @property
    def free(self) -> int:
        """Tokens that may be reserved or transferred now."""
        return min(self.granted, self.recorded_bound) - self.used

    def record_demand(self, now: float, tokens: int) -> None:
        """Add requested tokens to the average of demand."""
        if self.first_at is None:
            self.first_at = now
        self.rate = self._decayed(now) + tokens * math.log(2) / RATE_HALF_LIFE
        self.rate_at = now

    def demand(self, now: float) -> float:
        """Return the recent demand, in tokens per second.

        The average of a short history is scaled up by the part of its window that is missing.
        """
        if self.first_at is None:
            return 0.0
        observed = max(MIN_HISTORY, now - self.first_at)
        return self._decayed(now) / (1 - 0.5 ** (observed / RATE_HALF_LIFE))

    def _decayed(self, now: float) -> float:
        return self.rate * 0.5 ** (max(0.0, now - self.rate_at) / RATE_HALF_LIFE)


@dataclass(slots=True, frozen=True)
class PeerHolding:
    """A peer's last report on one customer: unused tokens, and demand in tokens per second."""

    free: int
    rate: float


class PrepaidBook:
    """All accounts of one router.

    :param boot: boot id of the router
    :param horizon: seconds of demand for which tokens should be held
    :param received: numbers of the transfers credited that may be sent again, by sender's boot id
    :param is_holder: whether it holds tokens ahead of demand; other routers borrow from a holder
    :param waiting: customers for which a request acquires tokens, which must not be returned before
        the request has reserved them
    """

    __slots__ = (
        "boot",
        "horizon",
        "draining",
        "is_holder",
        "waiting",
        "accounts",
        "peers",
        "received",
    )

    def __init__(self, boot: str, horizon: float) -> None:
        self.boot = boot
        self.horizon = horizon
        self.draining = False
        self.is_holder = True
        self.waiting: set[str] = set()
        self.accounts: dict[str, Account] = {}
        self.peers: dict[str, dict[str, PeerHolding]] = {}
        self.received: dict[str, set[int]] = {}

    def account(self, customer: str) -> Account:
        """Return the account of a customer, which is created empty."""
        return self.accounts.setdefault(customer, Account())

    def record_demand(self, now: float, customer: str, tokens: int) -> None:
        """Record the demand of a request, whether or not its tokens can be reserved."""
        self.account(customer).record_demand(now, tokens)

    def reserve(self, customer: str, tokens: int) -> bool:
        """Reserve tokens for a request if enough are free."""
        account = self.account(customer)
        if account.free < tokens:
            return False
        account.used += tokens
        account.reserved += tokens
        return True

    def settle(self, customer: str, reserved: int, spent: int) -> None:
        """Settle a reservation and release the tokens that were not spent.

        :param spent: tokens that the request used, at most ``reserved``
        :raises ValueError: if more was spent than reserved
        """
        if spent > reserved:
            raise ValueError(f"{spent} tokens spent of {reserved} reserved for {customer!r}")
        account = self.account(customer)
        account.reserved -= reserved
        account.used -= reserved - spent

    def lend(self, customer: str, tokens: int) -> None:
        """Turn a reservation into a debit, for a transfer to a peer."""
        self.account(customer).reserved -= tokens

    def debit(self, customer: str, tokens: int) -> int:
        """Debit free tokens for a transfer to a peer.

        :returns: tokens debited, at most ``tokens``
        """
        account = self.account(customer)
        amount = max(0, min(account.free, tokens))
        account.used += amount
        return amount

    def receive(self, customer: str, transfer: str, tokens: int) -> bool:
        """Credit a transfer once; a duplicate is ignored.

        :returns: whether it was credited now
        """
        sender, number = transfer.rpartition(TRANSFER_MARK)[0], transfer_number(transfer)
        credited = self.received.setdefault(sender, set())
        if number in credited:
            return False
        credited.add(number)
        self.account(customer).used -= tokens
        return True

    def forget_received(self, sender: str, below: int) -> None:
        """Forget transfers with numbers below a limit, which their sender never sends again."""
        if sender in self.received:
            self.received[sender] = {n for n in self.received[sender] if n >= below}

    def update_peer(self, peer: str, holdings: dict[str, PeerHolding]) -> None:
        """Replace the reported holdings of a peer."""
        self.peers[peer] = holdings

    def retain_peers(self, names: Collection[str]) -> None:
        """Drop the holdings of all peers but those named, as the others report them no longer."""
        self.peers = {peer: held for peer, held in self.peers.items() if peer in names}

    def remove_peer(self, peer: str) -> None:
        """Drop the holdings of a peer whose connection is closed."""
        self.peers.pop(peer, None)

    def target(self, now: float, customer: str, pool_free: int, routers: int) -> int:
        """Return the number of free tokens that this router should hold.

        While the balance is high, this is the demand of the horizon. As the balance falls, it is
        this router's share of most of the balance, mainly in proportion to demand, so that all
        routers run out at the same time.

        :param pool_free: tokens that the store can still grant
        :param routers: number of routers that share the balance, including this one
        """
        if not self.is_holder:
            return 0
        account = self.account(customer)
        rate = account.demand(now)
        if self.draining:
            return int(rate * DRAIN_HORIZON)
        reported = [held[customer] for held in self.peers.values() if customer in held]
        total_rate = rate + sum(holding.rate for holding in reported)
        balance = account.held + pool_free + sum(holding.free for holding in reported)
        equal = 1 / max(1, routers)
        share = rate / total_rate if total_rate > 0 else equal
        share = EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * share
        upper_limit = int(ALLOCATED_SHARE * share * balance)
        wanted = max(int(rate * self.horizon), int(EQUAL_SHARE * equal * balance))
        return max(0, min(wanted, upper_limit))

    def desired_change(
        self, now: float, customer: str, row: PoolRow, prepaid: int, need: int, routers: int
    ) -> int:
        """Return the change of this router's grant that it should request, negative for a return.

        The change may exceed the free tokens of the row, which may be outdated.

        :param row: the row as last read
        :param prepaid: total of the tokens paid for
        :param need: tokens that waiting requests lack
        :param routers: number of routers that share the balance, including this one
        """
        account = self.account(customer)
        if not self.is_holder and not need:
            surplus = max(0, min(account.held, account.granted))
            return 0 if customer in self.waiting else -surplus
        pool_free = row.free(prepaid)
        if pool_free < 0 < account.held:
            return -self._deficit_share(customer, row, -pool_free)
        target_tokens = self.target(now, customer, max(0, pool_free), routers)
        shortfall = max(need, target_tokens - account.held)
        if need or (account.held < REFILL_THRESHOLD * target_tokens and shortfall >= MIN_GRANT):
            return shortfall
        if pool_free < account.held and account.held > RETURN_THRESHOLD * target_tokens + MIN_GRANT:
            return target_tokens - account.held
        return 0

    def _deficit_share(self, customer: str, row: PoolRow, deficit: int) -> int:
        """Return this router's share of the tokens granted in excess of a lowered total.

        All routers return tokens in proportion to their holdings, so that none is left without any.
        """
        held = self.account(customer).held
        reported = [holdings[customer] for holdings in self.peers.values() if customer in holdings]
        granted = sum(tokens for boot, tokens in row.holders.items() if boot != self.boot)
        others = min(max(0, granted), sum(max(0, holding.free) for holding in reported))
        return min(held, math.ceil(deficit * held / (held + others)))

    def plan(
        self, now: float, customer: str, row: PoolRow, prepaid: int, need: int, routers: int
    ) -> PoolRow:
        """Return the row with this router's desired change: an acquisition, a return, or none.

        Parameters as for :meth:`desired_change`.
        """
        change = self.desired_change(now, customer, row, prepaid, need, routers)
        if change > 0:
            change = min(change, max(0, row.free(prepaid)))
            if change < MIN_GRANT and not need:
                change = 0
        if not change:
            return row
        return row.with_holder(self.boot, row.holders.get(self.boot, 0) + change)

    def close(self, customer: str, row: PoolRow) -> PoolRow:
        """Return the row with this incarnation closed; call it once no reservation is open."""
        if self.boot not in row.holders:
            return row
        return row.close_holder(self.boot, self.account(customer).used)
