"""What callers and backend servers saw during a soak, and the promises it breaks."""

import re
import signal
from dataclasses import dataclass, field

from bilberryshed.protocol import Finding

_EVENT = re.compile(rb"^id: (\d+)$", re.MULTILINE)
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(slots=True, frozen=True)
class Sent:
    """A request as its caller sent it.

    :param repeatable: whether it may run more than once
    :param tokens: prompt tokens, 0 for a plain call
    """

    id: str
    repeatable: bool
    streams: bool
    tokens: int = 0


@dataclass(slots=True, frozen=True)
class Answered:
    """An answer as its caller got it.

    :param whole: whether it ended as the protocol says
    """

    id: str
    status: int
    body: bytes
    whole: bool


@dataclass(slots=True)
class SoakRecord:
    """Observations of one soak.

    :param events: events of a whole stream
    :param tokens_per_event: tokens in one event
    """

    events: int
    tokens_per_event: int
    sent: dict[str, Sent] = field(default_factory=dict)
    answers: dict[str, Answered] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def note_version(self, lifetime: str, version: int) -> None:
        """Note which configuration a lifetime of a gateway serves from."""
        known = self.versions.get(lifetime, 0)
        if version < known:
            self._find(lifetime, f"serves configuration {version} after {known}")
        self.versions[lifetime] = max(known, version)

    def note_late_work(self, server: str, id_: str) -> None:
        """Note a request that reached a backend server long after it said that it leaves."""
        self._find(id_, f"reached {server}, which had left")

    def note_stop(self, lifetime: str, code: int, started: bool) -> None:
        """Note how a planned stop ended.

        :param code: exit code, negative for a signal
        :param started: whether the process had begun to serve; one that had not may just end
        """
        if code not in (0, 3) and (started or code != -signal.SIGTERM):
            self._find(lifetime, f"ended with code {code} at a planned stop")

    def note_cut(self, lifetime: str, id_: str) -> None:
        """Note a request that a planned stop cut off."""
        self._find(id_, f"was cut off by the planned stop of {lifetime}")

    def check(self, prepaid: int) -> tuple[Finding, ...]:
        """Return every broken promise, after the last request has ended.

        :param prepaid: tokens that the customer has paid for
        """
        for id_, answer in self.answers.items():
            self._check_answer(self.sent[id_], answer)
        for id_, count in self.runs.items():
            if id_ not in self.sent:
                self._find(id_, "ran, and nobody sent it")
            elif count > 1 and not self.sent[id_].repeatable:
                self._find(id_, f"ran {count} times and may run once")
        used = self.used()
        if used > prepaid:
            self._find("customer", f"used {used} tokens and paid for {prepaid}")
        return tuple(self.findings)

    def used(self) -> int:
        """Return the tokens that the customer got: prompts that ran, and events delivered."""
        total = 0
        for id_, sent in self.sent.items():
            if sent.tokens and self.runs.get(id_):
                answer = self.answers.get(id_)
                events = len(_EVENT.findall(answer.body)) if answer else 0
                total += sent.tokens + events * self.tokens_per_event
        return total

    def _check_answer(self, sent: Sent, answer: Answered) -> None:
        runs = self.runs.get(sent.id, 0)
        if answer.status in NOT_RUN and runs and not sent.repeatable:
            self._find(sent.id, f"was refused with {answer.status} as not run, and ran")
        if answer.status == 200 and sent.streams:
            self._check_stream(sent.id, answer)
        elif answer.status == 200 and answer.whole and answer.body != _plain_answer(sent.id):
            self._find(sent.id, f"got {answer.body[:60]!r}")

    def _check_stream(self, id_: str, answer: Answered) -> None:
        found = [int(number) for number in _EVENT.findall(answer.body)]
        if found != list(range(1, len(found) + 1)):
            self._find(id_, f"got events {found}")
        elif answer.whole and len(found) != self.events:
            self._find(id_, f"got a whole answer with events {found}")

    def _find(self, place: str, text: str) -> None:
        self.findings.append(Finding("soak", place, text))


def _plain_answer(id_: str) -> bytes:
    return f"answer to {id_}".encode()
