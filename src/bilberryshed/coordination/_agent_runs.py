"""Attempts of one agent: admission, execution state, and usage that is not yet in the ledger."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.protocol import Dispatch, JournalEntry, RefusalCode


class TerminalState(StrEnum):
    """Final state of an attempt id."""

    NEVER_RAN = "never_ran"
    FAILED = "failed"
    RECORDED = "recorded"


_STARTED = frozenset({TerminalState.FAILED, TerminalState.RECORDED})


@dataclass(slots=True, frozen=True)
class RefusedDispatch:
    """A dispatch that was refused: its attempt has not started and never will.

    :param wait: seconds for which others are refused for the same reason, 0 if that is not known
    """

    code: RefusalCode
    reason: str
    wait: float = 0.0


@dataclass(slots=True)
class AgentAttempts:
    """Attempts of one agent.

    An attempt id starts at most once. An id that was refused, or queried before its dispatch
    arrived, is closed, so that a late dispatch of it is refused. Closed ids are kept in two
    generations: an id is dropped by the second call of :meth:`rotate_closed` after it was closed.

    :param capacity: maximum number of running and queued attempts
    :param closed: final states of the ids closed since the last :meth:`rotate_closed`
    :param closed_previously: final states of the ids closed in the period before that
    :param revoked: boot ids of routers whose dispatches are refused
    :param journal: usage by attempt that the ledger has not recorded yet
    :param exclusive: id of the attempt that must run alone, empty for none
    """

    capacity: int
    running: dict[str, Dispatch] = field(default_factory=dict)
    closed: dict[str, TerminalState] = field(default_factory=dict)
    closed_previously: dict[str, TerminalState] = field(default_factory=dict)
    revoked: set[str] = field(default_factory=set)
    journal: dict[str, JournalEntry] = field(default_factory=dict)
    draining: bool = False
    exclusive: str = ""

    def admit(
        self, boot: str, dispatch: Dispatch, serves: bool, wait: float = 0.0
    ) -> RefusedDispatch | None:
        """Admit a dispatch, or return the refusal.

        :param boot: boot id of the router that sent it
        :param serves: whether the backend server serves the requested model or service
        :param wait: seconds for which the limit of the backend server admits no attempt
        """
        refused = self._refusal(boot, dispatch, serves)
        if refused is None and wait > 0:
            reason = f"the backend server takes no more requests for {wait:.2f} s"
            refused = RefusedDispatch(RefusalCode.NO_CAPACITY, reason, wait)
        if refused is not None:
            self._close_unstarted(dispatch.attempt)
            return refused
        self.running[dispatch.attempt] = dispatch
        if dispatch.alone:
            self.exclusive = dispatch.attempt
        return None

    def may_start(self, attempt: str) -> bool:
        """Whether an admitted attempt may start now; an exclusive one waits until it is alone."""
        return attempt != self.exclusive or len(self.running) == 1

    def was_admitted(self, attempt: str) -> bool:
        """Whether an attempt was admitted, whether or not it has ended."""
        return attempt in self.running or self._terminal_state(attempt) in _STARTED

    def _refusal(self, boot: str, dispatch: Dispatch, serves: bool) -> RefusedDispatch | None:
        if self._terminal_state(dispatch.attempt) is not None:
            return RefusedDispatch(RefusalCode.NO_CAPACITY, f"attempt {dispatch.attempt} is closed")
        if boot in self.revoked:
            return RefusedDispatch(RefusalCode.DRAINING, f"boot {boot} is revoked")
        if self.draining:
            return RefusedDispatch(RefusalCode.DRAINING, "the backend server is leaving")
        if not serves:
            target = dispatch.model or dispatch.service
            return RefusedDispatch(RefusalCode.NO_CAPACITY, f"{target} is not served here")
        if self.exclusive:
            return RefusedDispatch(RefusalCode.NO_CAPACITY, "another attempt has to run alone here")
        if len(self.running) >= self.capacity:
            return RefusedDispatch(
                RefusalCode.NO_CAPACITY, f"{len(self.running)} attempts are running"
            )
        return None

    def end(self, attempt: str, state: TerminalState, entry: JournalEntry | None = None) -> None:
        """Record the end of an attempt.

        :param entry: its usage, stored until the ledger has recorded it; ``None`` for no usage
        """
        self.running.pop(attempt, None)
        self.closed[attempt] = state
        if self.exclusive == attempt:
            self.exclusive = ""
        if entry is not None:
            self.journal[attempt] = entry

    def resolve(self, attempt: str) -> TerminalState | None:
        """Return the final state of an attempt, and close its id if no dispatch of it has arrived.

        :returns: ``None`` while the attempt runs
        """
        if attempt in self.running:
            return None
        return self._close_unstarted(attempt)

    def rotate_closed(self) -> None:
        """Drop the ids closed before the previous call.

        The caller waits long enough between calls that no message about them is still in flight.
        """
        self.closed_previously, self.closed = self.closed, {}

    def _terminal_state(self, attempt: str) -> TerminalState | None:
        return self.closed.get(attempt) or self.closed_previously.get(attempt)

    def _close_unstarted(self, attempt: str) -> TerminalState:
        final_state = self._terminal_state(attempt)
        if final_state is None:
            self.closed[attempt] = TerminalState.NEVER_RAN
        return final_state or TerminalState.NEVER_RAN

    def delete_recorded(self, attempts: tuple[str, ...]) -> None:
        """Delete journal entries of attempts that the ledger has recorded."""
        for attempt in attempts:
            self.journal.pop(attempt, None)

    def revoke(self, boots: tuple[str, ...]) -> None:
        """Refuse all further dispatches from routers with these boot ids."""
        self.revoked.update(boots)

    def quiesced_boots(self, boot_of_attempt: dict[str, str]) -> tuple[str, ...]:
        """Return revoked boot ids without a running attempt or an unrecorded journal entry."""
        open_boots = {boot_of_attempt.get(a) for a in (*self.running, *self.journal)}
        return tuple(sorted(self.revoked - open_boots))
