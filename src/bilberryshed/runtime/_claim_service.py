"""Claims of non-idempotent calls, stored in the table service."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import replace

from returns.result import Failure, Result, Success

from bilberryshed.coordination import (
    Claim,
    ClaimAcquired,
    ClaimFailed,
    ClaimHeld,
    ClaimInsert,
    ClaimState,
    ClaimUnconfirmed,
    ReadClaim,
    WriteClaim,
    claim_ref,
)
from bilberryshed.protocol import JournalEntry, UsageRecord
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._results import value_or_error
from bilberryshed.state import Put, Row, RowRef, StoreError

ERROR_BACKOFF = 0.1  # seconds before a failed store operation is retried

ClaimChange = Callable[[Claim], Claim]
ClaimResult = ClaimAcquired | ClaimHeld | ClaimFailed | ClaimUnconfirmed


class ClaimService:
    """Inserts claims, records responses on them, and releases claims of unstarted attempts."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    async def insert(self, customer: str, key: str, claim: Claim) -> ClaimResult:
        """Insert a claim, resolving ambiguous writes by reading it back."""
        insert = ClaimInsert(claim_ref(customer, key), claim)
        action = insert.start()
        while isinstance(action, ReadClaim | WriteClaim):
            if isinstance(action, WriteClaim):
                written = value_or_error(await self.context.tables.write((action.put,)))
                await _back_off_on_error(written)
                action = insert.on_written(written)
            else:
                row = value_or_error(await self._read(action.ref))
                await _back_off_on_error(row)
                action = insert.on_row(row)
        return action

    async def record_response(self, entry: JournalEntry) -> None:
        """Record the response on the claim; retries until the store confirms it."""
        record = entry.record
        encoded_body = base64.b64encode(entry.answer).decode()
        await self._change(
            record.customer,
            record.key,
            record.attempt,
            lambda claim: replace(
                claim,
                state=ClaimState.DONE,
                status=entry.status,
                content_type=entry.content_type,
                answer=encoded_body,
            ),
        )

    async def reassign(self, customer: str, key: str, attempt: str, agent: str) -> bool:
        """Record the new agent of an attempt on its claim, before the attempt is dispatched to it.

        :returns: whether the attempt still owns the claim and the store confirmed the write
        """
        row = await self._read(claim_ref(customer, key))
        if isinstance(row, Failure) or row.unwrap().version == 0:
            return False
        found = row.unwrap()
        claim = Claim.from_value(found.value)
        if claim.attempt != attempt or claim.state != ClaimState.CLAIMED:
            return False
        put = Put(found.ref, found.version, replace(claim, agent=agent).to_value())
        written = await self.context.tables.write((put,))
        return written.value_or(False)

    async def read(self, customer: str, key: str) -> Claim | None:
        """Read a claim, ``None`` if it does not exist or the store does not respond."""
        row = (await self._read(claim_ref(customer, key))).value_or(None)
        return Claim.from_value(row.value) if row is not None and row.version else None

    async def release(self, customer: str, key: str, attempt: str) -> None:
        """Release the claim of an unstarted attempt; retries until the store confirms it."""
        await self._change(
            customer, key, attempt, lambda claim: replace(claim, state=ClaimState.RELEASED)
        )

    async def _change(self, customer: str, key: str, attempt: str, change: ClaimChange) -> None:
        """Update a claim unless it is absent, owned by another attempt, or already final."""
        ref = claim_ref(customer, key)
        while True:
            row = await self._read(ref)
            if isinstance(row, Success):
                found = row.unwrap()
                if found.version == 0:
                    return
                claim = Claim.from_value(found.value)
                if claim.attempt != attempt or claim.state != ClaimState.CLAIMED:
                    return
                put = Put(ref, found.version, change(claim).to_value())
                written = await self.context.tables.write((put,))
                if isinstance(written, Success) and written.unwrap():
                    return
            await asyncio.sleep(ERROR_BACKOFF)

    async def _read(self, ref: RowRef) -> Result[Row, StoreError]:
        rows = await self.context.tables.read((ref,))
        return rows.map(lambda found: found[0])


async def _back_off_on_error(result: Row | bool | StoreError) -> None:
    if isinstance(result, StoreError):
        await asyncio.sleep(ERROR_BACKOFF)


def recorded_response(claim: Claim) -> bytes:
    """Return the response body recorded on a claim."""
    return base64.b64decode(claim.answer)


def journal_entry(record: UsageRecord, status: int, content_type: str, body: bytes) -> JournalEntry:
    """Return the journal entry of a completed non-idempotent call."""
    return JournalEntry(record, False, status, content_type, body)
