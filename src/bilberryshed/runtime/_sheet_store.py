"""Operations of the sheet program on the platform's stores."""

from dataclasses import dataclass
from hashlib import sha256

from returns.result import Failure, Result, Success

from bilberryshed.coordination import (
    Accepted,
    Conflict,
    ReadRows,
    Rejected,
    Submission,
    Undecided,
    WriteRows,
)
from bilberryshed.runtime._results import value_or_error
from bilberryshed.state import (
    SHEET_HEAD,
    SHEETS,
    Address,
    Sheet,
    SheetHead,
    StoreError,
    parse_sheet,
    sheet_object_name,
)
from bilberryshed.transport import HttpObjectStore, HttpTableService

MAX_HISTORY = 10_000  # versions listed
SubmitResult = Accepted | Conflict | Rejected | Undecided


@dataclass(slots=True, frozen=True)
class AcceptedSheet:
    """Accepted sheet; version 0 is the empty sheet before the first submission."""

    head: SheetHead
    sheet: Sheet


class SheetStore:
    """Reads and submits sheets.

    :param platform: address of the platform
    :param timeout: seconds for one request
    """

    def __init__(self, platform: Address, timeout: float = 2.0) -> None:
        self.tables = HttpTableService(platform, timeout)
        self.objects = HttpObjectStore(platform, timeout)

    async def accepted(self) -> Result[AcceptedSheet, StoreError]:
        """Read the accepted sheet."""
        rows = await self.tables.read((SHEET_HEAD,))
        if isinstance(rows, Failure):
            return rows
        return await self.load(SheetHead.from_value(rows.unwrap()[0].value))

    async def load(self, head: SheetHead) -> Result[AcceptedSheet, StoreError]:
        """Read the sheet that a head row references."""
        if head.version == 0:
            return Success(AcceptedSheet(head, Sheet()))
        content = await self.objects.get(sheet_object_name(head.digest))
        if isinstance(content, Failure):
            return content
        data = content.unwrap()
        if data is None:
            return Failure(StoreError(False, f"object of sheet {head.version} is missing"))
        parsed = parse_sheet(f"sheet {head.version}", data)
        if isinstance(parsed, Failure):
            return Failure(StoreError(False, str(parsed.failure()[0])))
        return Success(AcceptedSheet(head, parsed.unwrap()))

    async def history(self) -> Result[tuple[SheetHead, ...], StoreError]:
        """Read all accepted versions, oldest first."""
        rows = await self.tables.scan(SHEETS, "history/", "", MAX_HISTORY)
        return rows.map(lambda found: tuple(SheetHead.from_value(row.value) for row in found))

    async def submit(
        self, source: str, content: bytes, base: AcceptedSheet, submission: str, submitter: str
    ) -> SubmitResult:
        """Submit a sheet.

        :param base: accepted sheet on which the new one is based
        :param submission: globally unique id of this submission
        """
        parsed = parse_sheet(source, content)
        if isinstance(parsed, Failure):
            return Rejected(parsed.failure())
        digest = sha256(content).hexdigest()
        stored = await self.objects.put_if_absent(sheet_object_name(digest), content)
        if isinstance(stored, Failure):
            check = await self.objects.get(sheet_object_name(digest))
            if check.value_or(None) != content:
                return Undecided(stored.failure(), False)
        head = SheetHead(base.head.version + 1, digest, submission, submitter)
        state_machine = Submission(source, base.head.version, base.sheet, parsed.unwrap(), head)
        return await self._run_submission(state_machine)

    async def _run_submission(self, state_machine: Submission) -> SubmitResult:
        action = state_machine.start()
        while isinstance(action, ReadRows | WriteRows):
            if isinstance(action, ReadRows):
                action = state_machine.on_rows(value_or_error(await self.tables.read(action.refs)))
            else:
                action = state_machine.on_written(
                    value_or_error(await self.tables.write(action.puts))
                )
        return action
