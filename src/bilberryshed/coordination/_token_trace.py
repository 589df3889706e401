"""Tells from the log lines of all gateways where each customer's prepaid tokens went."""

import json
from collections import Counter
from dataclasses import dataclass

from bilberryshed.coordination._log_fields import log_fields, unescaped


@dataclass(slots=True)
class TokenTrace:
    """Where one customer's prepaid tokens went, in tokens.

    :param total: the last total that was logged
    :param delivered: charged for requests whose callers were sent events
    :param undelivered: charged for requests whose callers were sent none
    :param interrupted: reserved by requests that ended with their process
    :param written_off: charged beyond all these when the accounts of ended processes were closed
    """

    customer: str
    total: int = 0
    delivered: int = 0
    undelivered: int = 0
    interrupted: int = 0
    written_off: int = 0

    @property
    def left(self) -> int:
        """Tokens that are still free or granted."""
        charged = self.delivered + self.undelivered + self.interrupted + self.written_off
        return self.total - charged


@dataclass(slots=True, frozen=True)
class TokenReport:
    """Where the tokens of all customers went.

    :param traces: in order of the customers' names
    :param unreadable: places of the lines that lack a field, as NAME:LINE
    """

    traces: tuple[TokenTrace, ...]
    unreadable: tuple[str, ...]


def trace_tokens(logs: dict[str, str]) -> TokenReport:
    """Return where the tokens of each customer went.

    Transfers from an ended process to one that goes on count as written off.

    :param logs: text of each log by its name; one log may have the lines of several gateways
    """
    reader = _LogReader()
    unreadable: list[str] = []
    for name, text in logs.items():
        for number, line in enumerate(text.splitlines(), start=1):
            try:
                reader.read(log_fields(line))
            except (KeyError, ValueError):
                unreadable.append(f"{name}:{number}")
    traces = tuple(reader.trace(customer) for customer in sorted(reader.totals))
    return TokenReport(traces, tuple(unreadable))


class _LogReader:
    """Adds up log lines.

    :param boots: boot id of each VM's current process
    :param totals: last total by customer
    :param spent: tokens charged by boot id, customer, and whether events were sent
    :param open: customer and reserved tokens of requests in flight, by boot id and request
    :param closed: tokens charged at the close of an ended process, by its boot id and customer
    """

    __slots__ = ("boots", "totals", "spent", "open", "closed")

    def __init__(self) -> None:
        self.boots: dict[str, str] = {}
        self.totals: dict[str, int] = {}
        self.spent: Counter[tuple[str, str, bool]] = Counter()
        self.open: dict[tuple[str, str], tuple[str, int]] = {}
        self.closed: Counter[tuple[str, str]] = Counter()

    def read(self, fields: dict[str, str]) -> None:
        """Read one line.

        :raises KeyError, ValueError: if a field is missing or unreadable
        """
        boot = self.boots.get(fields.get("vm", ""), "")
        customer, request = unescaped(fields.get("customer", "")), fields.get("request", "")
        match fields.get("event"):
            case "started":
                self.boots[fields["vm"]] = fields["boot"]
            case "prepaid":
                self.totals[customer] = int(fields["total"])
            case "prepaid_totals":
                totals = dict(json.loads(unescaped(fields["totals"])))
                self.totals |= {name: int(total) for name, total in totals.items()}
            case "sent":
                self.open[boot, request] = customer, int(fields["reserved"])
            case "request":
                self.open.pop((boot, request), None)
            case "tokens":
                self.open.pop((boot, request), None)
                self.spent[boot, customer, int(fields["events"]) > 0] += int(fields["spent"])
            case "account_closed":
                self.closed[fields["boot"], customer] += int(fields["charged"])

    def trace(self, customer: str) -> TokenTrace:
        """Return where the tokens of a customer went."""
        trace = TokenTrace(customer, self.totals[customer])
        ended = {boot for boot, name in self.closed if name == customer}
        known = 0
        for (boot, name, has_events), tokens in self.spent.items():
            if name != customer:
                continue
            if has_events:
                trace.delivered += tokens
            else:
                trace.undelivered += tokens
            known += tokens if boot in ended else 0
        for (boot, _), (name, tokens) in self.open.items():
            if name == customer and boot in ended:
                trace.interrupted += tokens
        charged = sum(tokens for (_, name), tokens in self.closed.items() if name == customer)
        trace.written_off = charged - known - trace.interrupted
        return trace
