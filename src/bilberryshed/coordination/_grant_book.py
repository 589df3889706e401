"""A router's account of the grants that it holds, and of the tokens reserved and spent on them.

A grant is debited in the table service before it is credited to its holder. The sum of reservations
and charges on a grant never exceeds its amount, so no order of events can overspend a budget.
"""

from dataclasses import dataclass, field

from bilberryshed.protocol import Charge, Transfer, UsageRecord


@dataclass(slots=True)
class Grant:
    """A grant, or a part of one that was transferred to this router.

    :param id: grant id, which bills refer to
    :param source: id of the table service's row that contains the amount
    :param budget: budget key
    :param amount: tokens
    :param reserved: tokens reserved for requests in flight
    :param spent: tokens used whose bill is not yet recorded in the ledger
    :param settled: tokens on bills that are recorded in the ledger
    :param bills: ids of the bills already counted in ``settled``
    :param pinned: whether its row is being changed, so that nothing may be transferred from it
    :param closing: whether its row is being closed, so that nothing may be reserved on it
    """

    id: str
    source: str
    budget: str
    amount: int
    reserved: int = 0
    spent: int = 0
    settled: int = 0
    bills: set[str] = field(default_factory=set)
    pinned: bool = False
    closing: bool = False

    @property
    def free(self) -> int:
        """Tokens that may still be reserved."""
        if self.closing:
            return 0
        return self.amount - self.reserved - self.spent - self.settled

    @property
    def persisted(self) -> bool:
        """Whether the grant has a row of its own in the table service."""
        return self.id == self.source

    @property
    def idle(self) -> bool:
        """Whether the grant has no open reservation and no unsettled charge."""
        return self.reserved == 0 and self.spent == 0


@dataclass(slots=True)
class _BudgetState:
    grants: dict[str, Grant] = field(default_factory=dict)
    rate: float = 0.0
    rate_at: float = 0.0


RATE_HALF_LIFE = 60.0  # seconds after which past demand counts half
MIN_RATE = 0.1  # tokens per second of demand below which a budget counts as inactive


class GrantBook:
    """All grants of one router.

    :param boot: boot id of the router, the prefix of its transfer ids
    """

    __slots__ = ("boot", "budgets", "credited", "outgoing", "next_transfer", "active")

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.budgets: dict[str, _BudgetState] = {}
        self.credited: set[str] = set()
        self.outgoing: dict[str, tuple[str, Transfer]] = {}
        self.next_transfer = 1
        self.active: dict[str, None] = {}

    def add(self, grant: Grant) -> bool:
        """Credit a grant once; the operation is idempotent by grant id.

        :returns: ``False`` if a grant with this id was credited before
        """
        if grant.id in self.credited:
            return False
        self.credited.add(grant.id)
        self._state(grant.budget).grants[grant.id] = grant
        return True

    def receive(self, transfer: Transfer, budget: str) -> bool:
        """Credit a transfer once; a duplicate is ignored.

        :returns: ``False`` for a duplicate
        """
        return self.add(Grant(transfer.transfer, transfer.source, budget, transfer.tokens))

    def free(self, budget: str) -> int:
        """Return the tokens of a budget that may still be reserved here."""
        state = self.budgets.get(budget)
        return sum(grant.free for grant in state.grants.values()) if state else 0

    def held(self, budget: str) -> int:
        """Return the unsettled tokens of a budget that this router holds."""
        state = self.budgets.get(budget)
        if state is None:
            return 0
        return sum(grant.amount - grant.settled for grant in state.grants.values())

    def reserved(self, budget: str) -> int:
        """Return the tokens of a budget that are reserved for requests in flight."""
        state = self.budgets.get(budget)
        return sum(grant.reserved for grant in state.grants.values()) if state else 0

    def reserve(self, budget: str, tokens: int) -> tuple[Charge, ...] | None:
        """Reserve tokens on one or more grants, all or nothing.

        :returns: reservations by grant, or ``None`` if fewer than ``tokens`` are free
        """
        if tokens <= 0 or self.free(budget) < tokens:
            return () if tokens == 0 else None
        reservations: list[Charge] = []
        remaining = tokens
        for grant in self._state(budget).grants.values():
            share = min(grant.free, remaining)
            if share > 0:
                grant.reserved += share
                reservations.append(Charge(grant.id, share))
                remaining -= share
            if remaining == 0:
                break
        return tuple(reservations)

    def release(self, budget: str, reservations: tuple[Charge, ...]) -> None:
        """Release the reservations of a request that certainly used nothing of them."""
        for reservation in reservations:
            self._grant(budget, reservation.grant).reserved -= reservation.tokens

    def spend(
        self, budget: str, reservations: tuple[Charge, ...], charges: tuple[Charge, ...]
    ) -> None:
        """Convert reservations into charges and release the remainder."""
        self.release(budget, reservations)
        for charge in charges:
            self._grant(budget, charge.grant).spent += charge.tokens

    def settle(self, budget: str, charges: tuple[Charge, ...], recorded: UsageRecord) -> None:
        """Settle a bill by the record in the ledger; a duplicate settlement of it counts once.

        :param charges: charges that this router had counted as spent for the bill
        :param recorded: the record in the ledger, which another process may have submitted
        """
        for charge in charges:
            self._grant(budget, charge.grant).spent -= charge.tokens
        state = self._state(budget)
        for charge in recorded.charges:
            grant = state.grants.get(charge.grant)
            if grant is not None and recorded.bill_id not in grant.bills:
                grant.bills.add(recorded.bill_id)
                grant.settled += charge.tokens

    def transfer(self, customer: str, name: str, tokens: int, to: str) -> Transfer | None:
        """Debit free tokens of one grant for a transfer to another router.

        The transfer stays in ``outgoing``, from which it is resent until it is acknowledged.

        :returns: a transfer of at most ``tokens``, or ``None`` if no tokens are free
        """
        grants = self._state(f"{customer}/{name}").grants.values()
        movable = (g for g in grants if g.free > 0 and not g.pinned)
        best = max(movable, key=lambda g: g.free, default=None)
        if best is None:
            return None
        amount = min(best.free, tokens)
        best.amount -= amount
        transfer_id = f"{self.boot}.t{self.next_transfer}"
        self.next_transfer += 1
        transfer = Transfer(transfer_id, best.source, customer, name, amount)
        self.outgoing[transfer_id] = (to, transfer)
        return transfer

    def acknowledge(self, transfers: tuple[str, ...]) -> None:
        """Delete outgoing transfers that their receiver has acknowledged."""
        for transfer in transfers:
            self.outgoing.pop(transfer, None)

    def returnable(self, budget: str, tokens: int) -> Grant | None:
        """Return the closable idle grant with the most free tokens, but at most ``tokens``."""
        candidates = (
            grant
            for grant in self._state(budget).grants.values()
            if grant.persisted and grant.idle and not grant.pinned and 0 < grant.free <= tokens
        )
        return max(candidates, key=lambda grant: grant.free, default=None)

    def remove(self, budget: str, grant: str) -> None:
        """Delete a grant whose row is closed."""
        self._state(budget).grants.pop(grant, None)

    def grants(self) -> list[Grant]:
        """Return all grants, in the order in which they were credited."""
        return [grant for state in self.budgets.values() for grant in state.grants.values()]

    def record_demand(self, now: float, budget: str, tokens: int) -> None:
        """Add requested tokens to the forecast of demand."""
        self.active[budget] = None
        state = self._state(budget)
        state.rate = self._decayed(state, now) + tokens / RATE_HALF_LIFE
        state.rate_at = now

    def active_budgets(self, now: float) -> list[str]:
        """Return the budgets with demand, and drop those whose demand has decayed."""
        for budget in [b for b in self.active if self.demand(now, b) < MIN_RATE]:
            del self.active[budget]
        return list(self.active)

    def demand(self, now: float, budget: str) -> float:
        """Return the forecast demand for a budget, in tokens per second."""
        state = self.budgets.get(budget)
        return self._decayed(state, now) if state else 0.0

    def _decayed(self, state: _BudgetState, now: float) -> float:
        elapsed = max(0.0, now - state.rate_at)
        return state.rate * 0.5 ** (elapsed / RATE_HALF_LIFE)

    def _state(self, budget: str) -> _BudgetState:
        return self.budgets.setdefault(budget, _BudgetState())

    def _grant(self, budget: str, grant: str) -> Grant:
        return self._state(budget).grants[grant]
