"""The ``bilberryshed-report`` program: reports for operators and auditors."""

import asyncio
import csv
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from datetime import UTC, datetime
from pathlib import Path
from typing import TypeVar

import defopt
from returns.result import Failure, Result

from bilberryshed import __version__
from bilberryshed.coordination import burn_rates, trace_request, trace_tokens
from bilberryshed.protocol import UsageRecord
from bilberryshed.runtime import RecordsReader
from bilberryshed.state import Address, StoreError

EXIT_FINDINGS = 2
EXIT_UNREACHABLE = 4
BURN_WINDOWS = (300.0, 3_600.0, 21_600.0)  # seconds
FAST_BURN_RATE = 14.4  # multiple of the sustainable rate, in both of the shortest two windows

T = TypeVar("T")


def audit(*, platform: str) -> None:
    """Check the ledger against budgets and grants; exit code 2 if it does not balance.

    :param platform: IP:PORT of the platform
    """
    result = _read(platform, lambda reader: reader.audit())
    print(f"{'budget':32} {'paid':>12} {'granted':>12} {'open':>10} {'billed':>12} {'bills':>7}")
    for line in result.lines:
        print(
            f"{line.budget:32} {line.paid:12} {line.granted:12} {line.open:10} "
            f"{line.billed:12} {line.bills:7}"
        )
    for finding in result.findings:
        print(f"finding: {finding}")
    print(f"overspend: {result.overspend} tokens; findings: {len(result.findings)}")
    if result.findings or result.overspend:
        sys.exit(EXIT_FINDINGS)


def statement(customer: str, *, platform: str, form: str = "text") -> None:
    """List a customer's bills, oldest first.

    :param customer: customer name
    :param platform: IP:PORT of the platform
    :param form: ``text`` or ``csv``
    """
    records = _read(platform, lambda reader: reader.records())
    matching = sorted((r for r in records if r.customer == customer), key=lambda r: r.finished_at)
    if form == "csv":
        writer = csv.writer(sys.stdout)
        writer.writerow(["finished_at", "budget", "service", "model", "tokens", "key", "request"])
        for record in matching:
            writer.writerow(_cells(record))
        return
    for record in matching:
        print("  ".join(str(cell) for cell in _cells(record)))
    print(f"{len(matching)} bills, {sum(record.tokens for record in matching)} tokens")


def request(request_id: str, *, platform: str) -> None:
    """Show the bill of one request, by request id or idempotency key.

    :param request_id: request id or idempotency key
    :param platform: IP:PORT of the platform
    """
    records = _read(platform, lambda reader: reader.records())
    matching = [r for r in records if request_id in (r.request, r.key)]
    if not matching:
        print(f"no bill found for {request_id}")
        sys.exit(EXIT_FINDINGS)
    for record in matching:
        for name in record.__slots__:
            print(f"{name}: {getattr(record, name)}")


def burn(*, platform: str) -> None:
    """Show the error budget's burn rate for each service and customer.

    :param platform: IP:PORT of the platform
    """
    now = time.time()
    lines = _read(platform, lambda reader: reader.tallies(now - max(BURN_WINDOWS)))
    rates = burn_rates(lines, now, BURN_WINDOWS)
    print(f"{'service':14} {'customer':24} {'5 min':>8} {'1 h':>8} {'6 h':>8}")
    for (service, customer), values in rates.items():
        columns = " ".join(f"{value:8.2f}" for value in values)
        alert = "  fast burn" if min(values[:2]) >= FAST_BURN_RATE else ""
        print(f"{service:14} {customer:24} {columns}{alert}")


def fleet(*, platform: str) -> None:
    """List the platform's VMs.

    :param platform: IP:PORT of the platform
    """
    for vm in _read(platform, lambda reader: reader.vms()):
        print(f"{vm.name:16} {vm.role:8} {vm.zone:12} {vm.link:22} {vm.state}")


def explain(request_id: str, *logs: Path) -> None:
    """Print the log lines of one request in order of time; exit code 2 if there are none.

    :param request_id: id of one attempt of a caller
    :param logs: log files of one or more processes
    """
    trace = trace_request(request_id, _read_logs(logs))
    for line in trace.lines:
        print(f"{line.timestamp}  {line.vm:20} {line.event:18} {line.details}")
    for gap in trace.gaps:
        print(f"missing: {gap}")
    if not trace.lines:
        sys.exit(EXIT_FINDINGS)


def tokens(*logs: Path) -> None:
    """Show where each customer's prepaid tokens went; exit code 2 if no total was logged or a line
    cannot be read.

    :param logs: log files of all gateways
    """
    columns = ("total", "delivered", "undelivered", "interrupted", "written_off", "left")
    print(f"{'customer':24}" + "".join(f" {column:>12}" for column in columns))
    report = trace_tokens(_read_logs(logs))
    for trace in report.traces:
        print(f"{trace.customer:24}" + "".join(f" {getattr(trace, c):12}" for c in columns))
    for place in report.unreadable:
        print(f"not read: {place}")
    if not report.traces or report.unreadable:
        sys.exit(EXIT_FINDINGS)


def _read_logs(logs: Iterable[Path]) -> dict[str, str]:
    try:
        return {str(path): path.read_text(encoding="utf-8", errors="replace") for path in logs}
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_FINDINGS)


def _cells(record: UsageRecord) -> tuple[str, ...]:
    finished = datetime.fromtimestamp(record.finished_at, UTC).isoformat(timespec="milliseconds")
    return (
        finished,
        record.budget,
        record.service,
        record.model or "-",
        str(record.tokens),
        record.key,
        record.request,
    )


def _read(platform: str, read: Callable[[RecordsReader], Awaitable[Result[T, StoreError]]]) -> T:
    async def run() -> Result[T, StoreError]:
        return await read(RecordsReader(address))

    try:
        address = Address.parse(platform)
    except ValueError as error:
        print(f"--platform {platform}: {error}", file=sys.stderr)
        sys.exit(EXIT_FINDINGS)
    result = asyncio.run(run())
    if isinstance(result, Failure):
        print(f"platform: {result.failure().detail}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    return result.unwrap()


def main() -> None:
    """Entry point of the program."""
    defopt.run(
        [audit, statement, request, burn, fleet, explain, tokens],
        version=__version__,
        argv=sys.argv[1:],
    )
