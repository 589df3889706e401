"""Read access to the fleet's stored data, for reports."""

import json

from returns.result import Failure, Result, Success

from bilberryshed.coordination import Audit, Segment, TallyLine, audit
from bilberryshed.protocol import FrameError, UsageRecord, decode
from bilberryshed.runtime._results import scan_all
from bilberryshed.runtime._sheet_store import SheetStore
from bilberryshed.runtime._slo_monitor import SLO_PREFIX
from bilberryshed.state import (
    BUDGETS,
    GRANTS,
    Address,
    BudgetRow,
    GrantRow,
    StoreError,
    Vm,
)
from bilberryshed.transport import HttpObjectStore, HttpTableService, HttpVmList

PAGE_SIZE = 1_000  # names per request
LEDGER_PREFIX = "ledger/"


class RecordsReader:
    """Reads the ledger, the table rows and the service-level tallies.

    :param platform: address of the platform
    :param timeout: seconds for one request
    """

    def __init__(self, platform: Address, timeout: float = 5.0) -> None:
        self.tables = HttpTableService(platform, timeout)
        self.objects = HttpObjectStore(platform, timeout)
        self.vm_list = HttpVmList(platform, timeout)
        self.sheets = SheetStore(platform, timeout)

    async def records(self) -> Result[tuple[UsageRecord, ...], StoreError]:
        """Read every record of the ledger, in order of shard and segment."""
        names = await self._list_names(LEDGER_PREFIX)
        if isinstance(names, Failure):
            return names
        records: list[UsageRecord] = []
        for name in names.unwrap():
            segment = await self._read_segment(name)
            if isinstance(segment, Failure):
                return segment
            records += segment.unwrap().records
        return Success(tuple(records))

    async def audit(self) -> Result[Audit, StoreError]:
        """Audit the ledger against budgets, grants and the accepted sheet."""
        records = await self.records()
        budgets = await scan_all(self.tables, BUDGETS)
        grants = await scan_all(self.tables, GRANTS)
        accepted = await self.sheets.accepted()
        for result in (records, budgets, grants, accepted):
            if isinstance(result, Failure):
                return result
        return Success(
            audit(
                records.unwrap(),
                {row.ref.key: BudgetRow.from_value(row.value) for row in budgets.unwrap()},
                {row.ref.key: GrantRow.from_value(row.value) for row in grants.unwrap()},
                {key: budget.paid for key, budget in accepted.unwrap().sheet.budgets.items()},
            )
        )

    async def tallies(self, since: float) -> Result[tuple[TallyLine, ...], StoreError]:
        """Read the service-level tallies.

        :param since: earliest time, in seconds since the epoch
        """
        names = await self._list_names(SLO_PREFIX, f"{SLO_PREFIX}{int(since):012d}")
        if isinstance(names, Failure):
            return names
        lines: list[TallyLine] = []
        for name in names.unwrap():
            data = await self.objects.get(name)
            if isinstance(data, Failure):
                return data
            lines += [TallyLine(*line) for line in json.loads(data.unwrap() or b"[]")]
        return Success(tuple(lines))

    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        """Read the platform's VM list."""
        return await self.vm_list.vms()

    async def _read_segment(self, name: str) -> Result[Segment, StoreError]:
        data = await self.objects.get(name)
        if isinstance(data, Failure):
            return data
        try:
            segment = decode(data.unwrap() or b"")
        except FrameError as error:
            return Failure(StoreError(False, f"{name}: {error}"))
        if not isinstance(segment, Segment):
            return Failure(StoreError(False, f"{name} is not a ledger segment"))
        return Success(segment)

    async def _list_names(
        self, prefix: str, after: str = ""
    ) -> Result[tuple[str, ...], StoreError]:
        names: list[str] = []
        while True:
            page = await self.objects.names(prefix, after, PAGE_SIZE)
            if isinstance(page, Failure):
                return page
            names += page.unwrap()
            if len(page.unwrap()) < PAGE_SIZE:
                return Success(tuple(names))
            after = names[-1]
