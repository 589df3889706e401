"""Observations of callers and backend servers during a soak, and the checks of its guarantees."""

import re
import signal
from dataclasses import dataclass, field

from bilberryshed.protocol import Finding

_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_VERSION = re.compile(rb"^data: .* of (v\d+)$", re.MULTILINE)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True, frozen=True)
class SentRequest:
    """A request that a caller sent.

    :param retryable: whether it may be executed more than once
    :param is_stream: whether its response is a stream
    :param tokens: prompt tokens, 0 for a plain call
    :param resumed: id of the request that received the first event of this stream, empty for none
    :param after: id of the last event that it received
    """

    id: str
    retryable: bool
    is_stream: bool
    tokens: int = 0
    resumed: str = ""
    after: int = 0


@dataclass(slots=True, frozen=True)
class ReceivedResponse:
    """A response that a caller received.

    :param complete: whether it ended as the protocol requires
    """

    id: str
    status: int
    body: bytes
    complete: bool


@dataclass(slots=True)
class SoakRecord:
    """Observations of one soak.

    :param events: events of a complete stream
    :param tokens_per_event: tokens in one event
    :param sent: requests by id
    :param responses: responses by request id
    :param runs: number of executions by request id
    :param versions: latest configuration version by gateway incarnation
    """

    events: int
    tokens_per_event: int
    sent: dict[str, SentRequest] = field(default_factory=dict)
    responses: dict[str, ReceivedResponse] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def record_version(self, incarnation: str, version: int) -> None:
        """Record the configuration version that a gateway incarnation serves."""
        previous = self.versions.get(incarnation, 0)
        if version < previous:
            self._add_finding(incarnation, f"serves configuration {version} after {previous}")
        self.versions[incarnation] = max(previous, version)

    def record_late_request(self, server: str, id_: str) -> None:
        """Record a request that reached a backend server long after it announced that it leaves."""
        self._add_finding(id_, f"reached {server}, which had left")

    def record_stop(self, incarnation: str, code: int, started: bool) -> None:
        """Record the exit of a gateway after a planned stop.

        :param code: exit code, negative for a signal
        :param started: whether the process had begun to serve; before that, the signal may end it
        """
        if code not in (0, 3) and (started or code != -signal.SIGTERM):
            self._add_finding(incarnation, f"ended with code {code} at a planned stop")

    def record_interrupted(self, incarnation: str, id_: str) -> None:
        """Record a request that a planned stop interrupted."""
        self._add_finding(id_, f"was cut off by the planned stop of {incarnation}")

    def check(self, prepaid: int) -> tuple[Finding, ...]:
        """Return every violation of a guarantee; call it after the last request has ended.

        :param prepaid: tokens that the customer has paid for in total
        """
        for id_, response in self.responses.items():
            self._check_response(self.sent[id_], response)
        for id_, count in self.runs.items():
            if id_ not in self.sent:
                self._add_finding(id_, "ran, and nobody sent it")
            elif count > 1 and not self.sent[id_].retryable:
                self._add_finding(id_, f"ran {count} times and may run once")
        tokens_used = self.tokens_used()
        if tokens_used > prepaid:
            self._add_finding("customer", f"used {tokens_used} tokens and paid for {prepaid}")
        return tuple(self.findings)

    def tokens_used(self) -> int:
        """Return the tokens delivered to the customer: executed prompts and received events."""
        total = 0
        for id_, sent in self.sent.items():
            if sent.tokens and self.runs.get(id_):
                response = self.responses.get(id_)
                events = len(event_numbers(response.body)) if response else 0
                total += sent.tokens + events * self.tokens_per_event
        return total

    def _check_response(self, sent: SentRequest, response: ReceivedResponse) -> None:
        runs = self.runs.get(sent.id, 0)
        if response.status in NOT_RUN_STATUSES and runs and not sent.retryable:
            self._add_finding(sent.id, f"was refused with {response.status} as not run, and ran")
        if response.status == 200 and sent.is_stream:
            self._check_stream(sent, response)
        elif (
            response.status == 200
            and response.complete
            and response.body != _expected_plain_body(sent.id)
        ):
            self._add_finding(sent.id, f"got {response.body[:60]!r}")

    def _check_stream(self, sent: SentRequest, response: ReceivedResponse) -> None:
        numbers = event_numbers(response.body)
        if numbers != list(range(sent.after + 1, sent.after + len(numbers) + 1)):
            self._add_finding(sent.id, f"got events {numbers}")
        elif response.complete and sent.after + len(numbers) != self.events:
            self._add_finding(sent.id, f"got a whole answer with events {numbers}")
        begun = self.responses.get(sent.resumed)
        text = response.body + (begun.body if begun else b"")
        versions = sorted(set(_VERSION.findall(text)))
        if len(versions) > 1:
            self._add_finding(sent.id, f"got events of the versions {versions}")

    def _add_finding(self, location: str, text: str) -> None:
        self.findings.append(Finding("soak", location, text))


def event_numbers(body: bytes) -> list[int]:
    """Return the ids of the events in a stream."""
    return [int(number) for number in _EVENT_ID.findall(body)]


def _expected_plain_body(id_: str) -> bytes:
    return f"answer to {id_}".encode()
