"""Attempts of one agent: what may start, what runs, what is still to be reported."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.protocol import Dispatch, JournalEntry, RefusalCode


class Closing(StrEnum):
    """How an attempt id came to be closed."""

    NEVER_RAN = "never_ran"
    FAILED = "failed"
    RECORDED = "recorded"


_STARTED = frozenset({Closing.FAILED, Closing.RECORDED})


@dataclass(slots=True, frozen=True)
class Refused:
    """A dispatch that has not started and never will."""

    code: RefusalCode
    reason: str


@dataclass(slots=True)
class Runs:
    """Attempts of one agent.

    An attempt id that was refused, or asked about before it came, is closed: a late dispatch of it
    is refused. An attempt id starts at most once. Closed ids are remembered for between one and two
    of the periods after which :meth:`forget_earlier` is called.

    :param capacity: attempts that may be running or queued at once
    :param lone: attempt that must run alone, empty for none
    """

    capacity: int
    running: dict[str, Dispatch] = field(default_factory=dict)
    closed: dict[str, Closing] = field(default_factory=dict)
    closed_earlier: dict[str, Closing] = field(default_factory=dict)
    revoked: set[str] = field(default_factory=set)
    journal: dict[str, JournalEntry] = field(default_factory=dict)
    draining: bool = False
    lone: str = ""

    def admit(self, boot: str, dispatch: Dispatch, serves: bool) -> Refused | None:
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
            self.lone = dispatch.attempt
        return None

    def may_start(self, attempt: str) -> bool:
        """Whether an admitted attempt may start now; a lone one waits for the others to end."""
        return attempt != self.lone or len(self.running) == 1

    def is_known(self, attempt: str) -> bool:
        """Whether an attempt id has been admitted, now or before."""
        return attempt in self.running or self._closing(attempt) in _STARTED

    def _refusal(self, boot: str, dispatch: Dispatch, serves: bool) -> Refused | None:
        if self._closing(dispatch.attempt) is not None:
            return Refused(RefusalCode.NO_CAPACITY, f"attempt {dispatch.attempt} is closed")
        if boot in self.revoked:
            return Refused(RefusalCode.DRAINING, f"boot {boot} is revoked")
        if self.draining:
            return Refused(RefusalCode.DRAINING, "the backend server is leaving")
        if not serves:
            target = dispatch.model or dispatch.service
            return Refused(RefusalCode.NO_CAPACITY, f"{target} is not served here")
        if self.lone:
            return Refused(RefusalCode.NO_CAPACITY, "another attempt has to run alone here")
        if len(self.running) >= self.capacity:
            return Refused(RefusalCode.NO_CAPACITY, f"{len(self.running)} attempts are running")
        return None

    def end(self, attempt: str, closing: Closing, entry: JournalEntry | None = None) -> None:
        """Note the end of an attempt.

        :param entry: its usage, kept until the ledger has it; ``None`` if there is none to bill
        """
        self.running.pop(attempt, None)
        self.closed[attempt] = closing
        if self.lone == attempt:
            self.lone = ""
        if entry is not None:
            self.journal[attempt] = entry

    def inquire(self, attempt: str) -> Closing | None:
        """Say what became of an attempt, and close it if it never came.

        :returns: ``None`` while it runs
        """
        if attempt in self.running:
            return None
        return self._close_unstarted(attempt)

    def forget_earlier(self) -> None:
        """Forget attempts closed before the last call; nothing of them is on its way any more."""
        self.closed_earlier, self.closed = self.closed, {}

    def _closing(self, attempt: str) -> Closing | None:
        return self.closed.get(attempt) or self.closed_earlier.get(attempt)

    def _close_unstarted(self, attempt: str) -> Closing:
        known = self._closing(attempt)
        if known is None:
            self.closed[attempt] = Closing.NEVER_RAN
        return known or Closing.NEVER_RAN

    def kept(self, attempts: tuple[str, ...]) -> None:
        """Forget journal entries that the ledger holds."""
        for attempt in attempts:
            self.journal.pop(attempt, None)

    def revoke(self, boots: tuple[str, ...]) -> None:
        """Refuse all further work of these boot ids."""
        self.revoked.update(boots)

    def settled_boots(self, boot_of_attempt: dict[str, str]) -> tuple[str, ...]:
        """Return revoked boot ids none of whose work is running or unreported."""
        open_boots = {boot_of_attempt.get(a) for a in (*self.running, *self.journal)}
        return tuple(sorted(self.revoked - open_boots))
