"""Durable claims, which guarantee that a non-idempotent call runs at most once.

A router inserts the claim under the customer's idempotency key before it dispatches the call. A
router that finds the claim of another attempt never runs the call; it returns the recorded response
or reports that the outcome is unknown. A claim becomes ``released`` only on proof that its attempt
never started.
"""

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

from bilberryshed.state import CLAIMS, Put, Row, RowRef, StoreError


class ClaimState(StrEnum):
    """State of a claim."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclass(slots=True, frozen=True)
class Claim:
    """Value of a claim row.

    :param attempt: the only attempt that may run
    :param agent: agent to which the attempt was or is about to be dispatched
    :param fingerprint: digest of the call, which detects reuse of the key for another call
    :param status: HTTP status of the recorded response
    :param answer: body of the recorded response
    """

    attempt: str
    agent: str
    fingerprint: str
    state: str = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    answer: str = ""

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "Claim":
        """Parse the columns of a row."""
        return cls(**{name: value[name] for name in cls.__slots__})

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)


@dataclass(slots=True, frozen=True)
class ReadClaim:
    """Action: read the claim row."""

    ref: RowRef


@dataclass(slots=True, frozen=True)
class WriteClaim:
    """Action: write the claim row."""

    put: Put


@dataclass(slots=True, frozen=True)
class ClaimAcquired:
    """Result: the attempt may be dispatched."""


@dataclass(slots=True, frozen=True)
class ClaimHeld:
    """Result: another attempt holds the claim."""

    claim: Claim


@dataclass(slots=True, frozen=True)
class ClaimFailed:
    """Result: the claim was not inserted and no write of it can still take effect."""

    error: StoreError


@dataclass(slots=True, frozen=True)
class ClaimUnconfirmed:
    """Result: whether the claim was inserted is unknown; nothing was dispatched."""

    error: StoreError


Action = ReadClaim | WriteClaim | ClaimAcquired | ClaimHeld | ClaimFailed | ClaimUnconfirmed


class ClaimInsert:
    """State machine that inserts one claim; pass the response of each action to its handler.

    :param ref: row of the claim
    :param claim: the claim to insert
    :param failures_left: number of failed store calls at which the insertion gives up
    """

    __slots__ = ("ref", "claim", "failures_left", "unconfirmed", "version")

    def __init__(self, ref: RowRef, claim: Claim, failures_left: int = 4) -> None:
        self.ref = ref
        self.claim = claim
        self.failures_left = failures_left
        self.unconfirmed = False
        self.version = 0

    def start(self) -> Action:
        """Return the first action."""
        return self._write()

    def on_written(self, written: bool | StoreError) -> Action:
        """Handle the response to :class:`WriteClaim`."""
        if isinstance(written, StoreError):
            self.unconfirmed = self.unconfirmed or written.ambiguous
            return self._retry(written)
        return ClaimAcquired() if written else ReadClaim(self.ref)

    def on_row(self, row: Row | StoreError) -> Action:
        """Handle the response to :class:`ReadClaim`."""
        if isinstance(row, StoreError):
            return self._retry(row)
        if row.version == 0:
            self.version = 0
            return self._write()
        found = Claim.from_value(row.value)
        if found.attempt == self.claim.attempt:
            return ClaimAcquired()
        if found.state == ClaimState.RELEASED and found.fingerprint == self.claim.fingerprint:
            self.version = row.version
            return self._write()
        return ClaimHeld(found)

    def _write(self) -> Action:
        return WriteClaim(Put(self.ref, self.version, self.claim.to_value()))

    def _retry(self, error: StoreError) -> Action:
        self.failures_left -= 1
        if self.failures_left > 0:
            return ReadClaim(self.ref)
        return ClaimUnconfirmed(error) if self.unconfirmed else ClaimFailed(error)


def claim_ref(customer: str, key: str) -> RowRef:
    """Return the reference of a claim's row."""
    return RowRef(CLAIMS, f"{customer}/{key}")
