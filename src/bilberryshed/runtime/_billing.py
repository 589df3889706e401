"""Billing of completed attempts and settlement of their reservations."""

import asyncio
from dataclasses import dataclass, field

from bilberryshed.protocol import (
    AttemptQuery,
    Failed,
    JournalEntry,
    NotRun,
    Recorded,
    RecordsCommitted,
    UsageRecord,
)
from bilberryshed.runtime._claim_service import ClaimService
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Call
from bilberryshed.runtime._funding_service import Reservation
from bilberryshed.runtime._ledger_service import LedgerService

ACK_INTERVAL = 0.25  # seconds between batches of acknowledgements to an agent
QUERY_TIMEOUT = 0.5  # responsive seconds for an agent to report the state of an attempt
QUERY_INTERVAL = 2.0  # seconds between queries for lost attempts


@dataclass(slots=True)
class OpenBill:
    """A reservation that is not settled yet.

    :param lost_attempts: agent by id of each attempt whose outcome is unknown; it may have used
        part of the reservation
    :param billed: whether a usage record was submitted to the ledger, whose response settles the
        reservation
    """

    call: Call
    reservation: Reservation
    lost_attempts: dict[str, str] = field(default_factory=dict)
    billed: bool = False


class Billing:
    """Reservations of one router, from the end of their attempts to the ledger's response."""

    def __init__(self, context: RouterContext, ledger: LedgerService, claims: ClaimService) -> None:
        self.context = context
        self.ledger = ledger
        self.claims = claims
        self.open_bills: dict[str, OpenBill] = {}
        self.acks: dict[str, list[str]] = {}
        self.pending_queries: dict[str, asyncio.Future[NotRun | Failed]] = {}

    def start(self) -> None:
        """Start the periodic acknowledgements and queries."""
        self.context.timers.subscribe(ACK_INTERVAL, self._send_acks)
        self.context.timers.subscribe(QUERY_INTERVAL, self._query_lost_attempts)

    @property
    def backlog(self) -> int:
        """Number of parked reservations and unsent acknowledgements."""
        return len(self.open_bills) + sum(len(attempts) for attempts in self.acks.values())

    def release_claim(self, call: Call, attempt: str) -> None:
        self.context.spawn(self.claims.release(call.customer.name, call.key, attempt))

    def bill(self, open_bill: OpenBill, agent: str, record: UsageRecord) -> None:
        """Settle a reservation with the usage record that the ledger commits.

        Without lost attempts, the unused tokens are released immediately. With lost attempts, the
        ledger may commit the record of another attempt, so the whole reservation is retained until
        the ledger responds.
        """
        if open_bill.billed:
            return
        open_bill.billed = True
        self.open_bills.pop(open_bill.call.bill_id, None)
        if open_bill.lost_attempts:
            self.ledger.submit(
                record,
                lambda committed: self._settle_with_lost_attempts(open_bill, agent, committed),
            )
            return
        budget, charges = open_bill.reservation.budget, record.charges
        self.context.grant_book.spend(budget, open_bill.reservation.parts, charges)

        def on_committed(committed: UsageRecord) -> None:
            self.context.grant_book.settle(budget, charges, committed)
            self._acknowledge(agent, record.attempt)

        self.ledger.submit(record, on_committed)

    def _settle_with_lost_attempts(
        self, open_bill: OpenBill, agent: str, committed: UsageRecord
    ) -> None:
        reservation = open_bill.reservation
        self.context.grant_book.release(reservation.budget, reservation.parts)
        self.context.grant_book.settle(reservation.budget, (), committed)
        self._acknowledge(agent, committed.attempt)
        for attempt, name in open_bill.lost_attempts.items():
            self._acknowledge(name, attempt)

    def _acknowledge(self, agent: str, attempt: str) -> None:
        """Queue an acknowledgement, so that the agent drops the record from its journal.

        The agent ignores unknown attempts.
        """
        self.acks.setdefault(agent, []).append(attempt)

    def _send_acks(self, now: float) -> None:
        acks, self.acks = self.acks, {}
        for agent, attempts in acks.items():
            link = self.context.agent_links.get(agent)
            if link is not None:
                link.send(RecordsCommitted(tuple(attempts)))

    def release_or_park(self, open_bill: OpenBill) -> None:
        """Release a reservation, or park it while a lost attempt may still be billed to it."""
        if open_bill.lost_attempts:
            self.open_bills[open_bill.call.bill_id] = open_bill
        else:
            self.context.grant_book.release(
                open_bill.reservation.budget, open_bill.reservation.parts
            )

    # Messages from agents -------------------------------------------------------------------

    def _query_lost_attempts(self, now: float) -> None:
        """Query agents for the lost attempts of parked reservations."""
        lost_attempts: dict[str, list[str]] = {}
        for open_bill in self.open_bills.values():
            for attempt, agent in open_bill.lost_attempts.items():
                lost_attempts.setdefault(agent, []).append(attempt)
        for agent, attempts in lost_attempts.items():
            link = self.context.agent_links.get(agent)
            if link is not None:
                link.send(AttemptQuery(tuple(attempts)))

    async def query_attempt(self, agent: str, attempt: str) -> NotRun | Failed | None:
        """Query an agent for another router's attempt, which cannot start after the query.

        :returns: ``None`` if the attempt is running or has a record, or the agent does not respond
        """
        link = self.context.agent_links.get(agent)
        if link is None:
            return None
        future: asyncio.Future[NotRun | Failed] = asyncio.get_running_loop().create_future()
        self.pending_queries[attempt] = future
        link.send(AttemptQuery((attempt,)))
        try:
            async with self.context.timers.timeout(QUERY_TIMEOUT):
                return await future
        except TimeoutError:
            return None
        finally:
            self.pending_queries.pop(attempt, None)

    def on_attempt_result(self, result: NotRun | Failed) -> None:
        """Handle the outcome of an attempt that no execution of this router awaits."""
        query = self.pending_queries.get(result.attempt)
        if query is not None and not query.done():
            query.set_result(result)
        for bill, open_bill in list(self.open_bills.items()):
            if result.attempt in open_bill.lost_attempts:
                del open_bill.lost_attempts[result.attempt]
                del self.open_bills[bill]
                if isinstance(result, NotRun) and not open_bill.call.service.idempotent:
                    self.release_claim(open_bill.call, result.attempt)
                self.release_or_park(open_bill)

    def on_recorded(self, agent: str, recorded: Recorded) -> None:
        """Read the committed record of a parked reservation from the ledger.

        An empty record is submitted; the ledger responds with the one already committed.
        """
        for open_bill in list(self.open_bills.values()):
            if recorded.attempt in open_bill.lost_attempts:
                empty = _empty_record(
                    open_bill.call, recorded.attempt, self.context.timers.wall_time()
                )
                self.bill(open_bill, agent, empty)

    def on_journal(self, agent: str, entry: JournalEntry) -> None:
        """Deliver a record that an agent resent from its journal."""
        open_bill = self.open_bills.get(entry.record.bill_id)
        self.context.spawn(self._deliver_record(agent, entry, open_bill))

    async def _deliver_record(
        self, agent: str, entry: JournalEntry, open_bill: OpenBill | None
    ) -> None:
        if not entry.idempotent:
            await self.claims.record_response(entry)
        if open_bill is not None:
            self.bill(open_bill, agent, entry.record)
            return
        attempt = entry.record.attempt
        self.ledger.submit(entry.record, lambda committed: self._acknowledge(agent, attempt))


def _empty_record(call: Call, attempt: str, wall_time: float) -> UsageRecord:
    return UsageRecord(
        customer=call.customer.name,
        budget=call.budget.name,
        key=call.key,
        request=call.request,
        attempt=attempt,
        service=call.service.name,
        model=call.model,
        tokens=0,
        charges=(),
        finished_at=wall_time,
    )
