"""Merges the log lines of several processes into the trace of one request."""

from dataclasses import dataclass

from bilberryshed.coordination._log_fields import log_fields

_OMITTED_FIELDS = ("timestamp", "level", "event", "program", "vm", "request", "failed")
FINAL_EVENTS = ("request", "refused", "caller_gone", "request_failed")


@dataclass(slots=True, frozen=True, order=True)
class TraceLine:
    """One log line of a request.

    :param timestamp: ISO timestamp by the clock of the process that wrote the line
    :param details: the remaining fields as text
    """

    timestamp: str
    vm: str
    event: str
    details: str


@dataclass(slots=True, frozen=True)
class RequestTrace:
    """All log lines of a request in order, and descriptions of missing lines."""

    lines: tuple[TraceLine, ...]
    gaps: tuple[str, ...]


def trace_request(request: str, logs: dict[str, str]) -> RequestTrace:
    """Return the trace of a request from the text of logs.

    :param request: request id of a caller's attempt
    :param logs: text of each log by its name
    """
    lines: list[TraceLine] = []
    gaps: list[str] = []
    for name, text in logs.items():
        for log_line in text.splitlines():
            fields = log_fields(log_line)
            if fields.get("event") == "lines_left_out":
                gaps.append(f"{name}: log lines were dropped until {fields.get('timestamp')}")
            if fields.get("request") == request:
                lines.append(_line(fields))
    lines.sort()
    if not lines:
        gaps.append(f"no line names request {request!r}")
    elif not any(line.event in FINAL_EVENTS for line in lines):
        gaps.append("no line tells how the request ended; its process may have been killed")
    return RequestTrace(tuple(lines), tuple(gaps))


def _line(fields: dict[str, str]) -> TraceLine:
    details = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _OMITTED_FIELDS
    )
    return TraceLine(
        fields.get("timestamp", ""), fields.get("vm", ""), fields.get("event", ""), details
    )
