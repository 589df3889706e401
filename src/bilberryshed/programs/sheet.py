"""The ``bilberryshed-sheet`` program: check, compare and submit the operators' sheet."""

import asyncio
import getpass
import sys
import uuid
from pathlib import Path
from typing import NoReturn, TypeVar

import defopt
from returns.result import Failure, Result

from bilberryshed import __version__
from bilberryshed.coordination import Accepted, Conflict, Rejected
from bilberryshed.protocol import Finding
from bilberryshed.runtime import AcceptedSheet, SheetStore
from bilberryshed.state import Address, Sheet, StoreError, diff_sheets, parse_sheet

EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_OUTCOME_UNKNOWN = 5

T = TypeVar("T")


def check(file: Path) -> None:
    """Check a sheet without submitting it.

    :param file: CSV file
    """
    sheet = _parse(file)
    print(
        f"{file}: no findings; {len(sheet.customers)} customers, {len(sheet.budgets)} budgets, "
        f"{len(sheet.services)} services, {len(sheet.models)} models"
    )


def diff(file: Path, *, platform: str) -> None:
    """Show the changes that a sheet makes to the accepted one.

    :param file: CSV file
    :param platform: IP:PORT of the platform
    """
    sheet = _parse(file)
    accepted = _unwrap_or_exit(asyncio.run(_load_accepted(platform)))
    print(f"accepted version: {accepted.head.version}")
    for change in diff_sheets(accepted.sheet, sheet):
        print(change)


def submit(file: Path, *, platform: str, base: int, submitter: str = "") -> None:
    """Submit a sheet; it is accepted only if its base is still the accepted version.

    Exit codes: 0 accepted, 2 findings, 3 another sheet was accepted since the base, 4 the platform
    cannot be reached and the sheet is not accepted, 5 as 4 but the sheet may have been accepted:
    check with ``status`` before submitting again.

    :param file: CSV file
    :param platform: IP:PORT of the platform
    :param base: version that the sheet is based on; 0 for the first
    :param submitter: name of the submitter, by default the login name
    """
    sheet = _parse(file)
    asyncio.run(_submit(file, sheet, platform, base, submitter or getpass.getuser()))


def status(*, platform: str) -> None:
    """Show the accepted version.

    :param platform: IP:PORT of the platform
    """
    head = _unwrap_or_exit(asyncio.run(_load_accepted(platform))).head
    print(f"version={head.version} digest={head.digest[:16] or '-'} by={head.submitter or '-'}")


def history(*, platform: str) -> None:
    """List accepted versions, oldest first.

    :param platform: IP:PORT of the platform
    """

    async def read() -> Result:
        return await _open_sheet_store(platform).history()

    for head in _unwrap_or_exit(asyncio.run(read())):
        print(f"version={head.version} digest={head.digest[:16]} by={head.submitter}")


def _parse(file: Path) -> Sheet:
    try:
        parsed = parse_sheet(str(file), file.read_bytes())
    except OSError as error:
        _exit_with_findings((Finding(str(file), "file", f"cannot be read: {error.strerror}"),))
    if isinstance(parsed, Failure):
        _exit_with_findings(parsed.failure())
    return parsed.unwrap()


def _exit_with_findings(findings: tuple[Finding, ...]) -> NoReturn:
    for finding in findings:
        print(finding, file=sys.stderr)
    print(f"{len(findings)} findings; nothing was submitted", file=sys.stderr)
    sys.exit(EXIT_FINDINGS)


def _open_sheet_store(platform: str) -> SheetStore:
    try:
        return SheetStore(Address.parse(platform))
    except ValueError as error:
        print(f"--platform {platform}: {error}", file=sys.stderr)
        sys.exit(EXIT_FINDINGS)


async def _load_accepted(platform: str) -> Result[AcceptedSheet, StoreError]:
    return await _open_sheet_store(platform).accepted()


def _unwrap_or_exit(result: Result[T, StoreError]) -> T:
    if isinstance(result, Failure):
        print(f"platform: {result.failure().detail}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    return result.unwrap()


async def _submit(file: Path, sheet: Sheet, platform: str, base: int, submitter: str) -> None:
    store = _open_sheet_store(platform)
    accepted = _unwrap_or_exit(await store.accepted())
    if accepted.head.version != base:
        _exit_with_conflict(accepted, sheet, base)
    result = await store.submit(str(file), file.read_bytes(), accepted, uuid.uuid4().hex, submitter)
    if isinstance(result, Accepted):
        print(f"accepted as version {result.version}")
    elif isinstance(result, Conflict):
        _exit_with_conflict(_unwrap_or_exit(await store.load(result.head)), sheet, base)
    elif isinstance(result, Rejected):
        _exit_with_findings(result.findings)
    else:
        print(f"platform: {result.error.detail}", file=sys.stderr)
        caveat = "; the sheet may have been accepted" if result.may_be_accepted else ""
        print(f"submission not confirmed{caveat}", file=sys.stderr)
        sys.exit(EXIT_OUTCOME_UNKNOWN if result.may_be_accepted else EXIT_UNREACHABLE)


def _exit_with_conflict(accepted: AcceptedSheet, sheet: Sheet, base: int) -> NoReturn:
    head = accepted.head
    print(
        f"conflict: the sheet is based on version {base}, but {head.submitter or 'nobody'} "
        f"submitted version {head.version}, which was accepted; changes to that version:",
        file=sys.stderr,
    )
    for change in diff_sheets(accepted.sheet, sheet):
        print(f"  {change}", file=sys.stderr)
    sys.exit(EXIT_CONFLICT)


def main() -> None:
    """Entry point of the program."""
    commands = [check, diff, submit, status, history]
    defopt.run(commands, version=__version__, argv=sys.argv[1:])
