"""Attempts of one agent: what may start, what runs, what is still to be reported."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.protocol import Dispatch, JournalEntry, RefusalCode


class TerminalState(StrEnum):
    """How an attempt id came to be closed."""

    NEVER_RAN = "never_ran"
    FAILED = "failed"
    RECORDED = "recorded"


_STARTED = frozenset({TerminalState.FAILED, TerminalState.RECORDED})


@dataclass(slots=True, frozen=True)
class RefusedDispatch:
    """A dispatch that has not started and never will."""

    code: RefusalCode
    reason: str


@dataclass(slots=True)
class AgentAttempts:
    """Attempts of one agent.

    An attempt id that was refused, or asked about before it came, is closed: a late dispatch of it
    is refused. An attempt id starts at most once. Closed ids are remembered for between one and two
    of the periods after which :meth:`rotate_closed` is called.

    :param capacity: attempts that may be running or queued at once
    :param exclusive: attempt that must run alone, empty for none
    """

    capacity: int
    running: dict[str, Dispatch] = field(default_factory=dict)
    closed: dict[str, TerminalState] = field(default_factory=dict)
    closed_previously: dict[str, TerminalState] = field(default_factory=dict)
    revoked: set[str] = field(default_factory=set)
    journal: dict[str, JournalEntry] = field(default_factory=dict)
    draining: bool = False
    exclusive: str = ""

    def admit(self, boot: str, dispatch: Dispatch, serves: bool) -> RefusedDispatch | None:
        """Admit a dispatch or say why not.

        :param boot: boot id of the router that sent it
        :param serves: whether the backend server has what the dispatch asks for
        """
        refused = self._refusal(boot, dispatch, serves)
        if refused is not None:
            self._close_unstarted(dispatch.attempt)
            return refused
        self.running[dispatch.attempt] = dispatch
        if dispatch.alone:
            self.exclusive = dispatch.attempt
        return None

    def may_start(self, attempt: str) -> bool:
        """Whether an admitted attempt may start now; a lone one waits for the others to end."""
        return attempt != self.exclusive or len(self.running) == 1

    def was_admitted(self, attempt: str) -> bool:
        """Whether an attempt id has been admitted, now or before."""
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
        """Note the end of an attempt.

        :param entry: its usage, kept until the ledger has it; ``None`` if there is none to bill
        """
        self.running.pop(attempt, None)
        self.closed[attempt] = state
        if self.exclusive == attempt:
            self.exclusive = ""
        if entry is not None:
            self.journal[attempt] = entry

    def resolve(self, attempt: str) -> TerminalState | None:
        """Say what became of an attempt, and close it if it never came.

        :returns: ``None`` while it runs
        """
        if attempt in self.running:
            return None
        return self._close_unstarted(attempt)

    def rotate_closed(self) -> None:
        """Forget attempts closed before the last call; nothing of them is on its way any more."""
        self.closed_previously, self.closed = self.closed, {}

    def _terminal_state(self, attempt: str) -> TerminalState | None:
        return self.closed.get(attempt) or self.closed_previously.get(attempt)

    def _close_unstarted(self, attempt: str) -> TerminalState:
        known = self._terminal_state(attempt)
        if known is None:
            self.closed[attempt] = TerminalState.NEVER_RAN
        return known or TerminalState.NEVER_RAN

    def kept(self, attempts: tuple[str, ...]) -> None:
        """Forget journal entries that the ledger holds."""
        for attempt in attempts:
            self.journal.pop(attempt, None)

    def revoke(self, boots: tuple[str, ...]) -> None:
        """Refuse all further work of these boot ids."""
        self.revoked.update(boots)

    def quiesced_boots(self, boot_of_attempt: dict[str, str]) -> tuple[str, ...]:
        """Return revoked boot ids none of whose work is running or unreported."""
        open_boots = {boot_of_attempt.get(a) for a in (*self.running, *self.journal)}
        return tuple(sorted(self.revoked - open_boots))
