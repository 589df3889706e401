"""The demonstration: runs a complete fleet under a short load and checks every guarantee."""

import asyncio
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from bilberryshed.coordination import Audit
from bilberryshed.runtime import RecordsReader
from bilberryshed.state import Address, parse_sheet
from bilberryshed_load._callers import CallerPool
from bilberryshed_load._fleet import Fleet
from bilberryshed_load._plans import Deployment, plan_fleet
from bilberryshed_load._tools import run_tool, submit_sheet
from bilberryshed_load._workloads import RequestMix, generate_requests

SHEET_ACTIVATION_LIMIT = 4.0  # seconds, at most, until a sheet is in force on all routers
DELIVERY_TIMEOUT = 15.0  # seconds, at most, until the last usage records are in the ledger
OVERRIDES = {"metrics": {"slo_interval": "2"}}


@dataclass(slots=True)
class GuaranteeChecks:
    """Descriptions of the guarantees that were violated."""

    violations: list[str] = field(default_factory=list)

    def check(self, holds: bool, guarantee: str) -> None:
        """Record a guarantee as violated unless it holds."""
        if not holds:
            self.violations.append(guarantee)


def run_demo(
    deployment: Deployment, etc: Path, seconds: float, rate: float, kill: bool
) -> GuaranteeChecks:
    """Run the demonstration and print its results.

    :param etc: directory of the sample sheets
    :param seconds: duration of the load
    :param rate: requests per second
    :param kill: whether to kill a router in the middle of the load
    """
    with tempfile.TemporaryDirectory(prefix="bilberryshed-") as directory:
        plan = plan_fleet(deployment, Path(directory), overrides=OVERRIDES)
        fleet = Fleet(plan)
        try:
            return _run(fleet, deployment, etc / deployment.sheet, seconds, rate, kill)
        finally:
            fleet.close()


def _run(
    fleet: Fleet, deployment: Deployment, sheet: Path, seconds: float, rate: float, kill: bool
) -> GuaranteeChecks:
    checks = GuaranteeChecks()
    platform = fleet.plan.platform
    print(f"starting {len(fleet.plan.processes)} processes for {deployment.name}")
    fleet.start()
    submit_sheet(platform, sheet, 0)
    accepted_at = time.monotonic()
    fleet.wait_ready()
    activation_time = time.monotonic() - accepted_at
    print(f"sheet in force on all routers after {activation_time:.1f} s")
    checks.check(
        activation_time <= SHEET_ACTIVATION_LIMIT,
        f"sheet in force within {SHEET_ACTIVATION_LIMIT} s",
    )
    pool = CallerPool(fleet.plan.router_urls, seed=1)
    asyncio.run(_run_load(fleet, pool, deployment, sheet, seconds, rate, kill))
    for line in pool.tally.lines():
        print(line)
    checks.check(fleet.wait_until_delivered(DELIVERY_TIMEOUT), "every record reaches the ledger")
    unfinished = fleet.stop()
    checks.check(not unfinished, f"planned stops finish their requests: {unfinished}")
    run_tool("bilberryshed-report", "burn", "--platform", platform)
    run_tool("bilberryshed-report", "audit", "--platform", platform, may_fail=True)
    audit = asyncio.run(_read_audit(platform))
    _check_guarantees(checks, pool, audit, kill)
    for guarantee in checks.violations:
        print(f"VIOLATED: {guarantee}")
    print(
        "all guarantees hold"
        if not checks.violations
        else f"{len(checks.violations)} guarantees violated"
    )
    return checks


def _check_guarantees(checks: GuaranteeChecks, pool: CallerPool, audit: Audit, kill: bool) -> None:
    tally = pool.tally
    tally.false_refusals = sum(tally.refused.values())
    bills = sum(line.bills for line in audit.lines)
    print(f"overspend: {audit.overspend} tokens; bills: {bills}; responses: {tally.answered}")
    print(f"false refusals: {tally.false_refusals}")
    checks.check(audit.overspend == 0, "no budget is overspent")
    checks.check(not audit.findings, f"the audit balances: {audit.findings[:3]}")
    checks.check(
        not tally.incorrect,
        f"each caller receives its own complete response: {tally.incorrect[:3]}",
    )
    checks.check(tally.false_refusals == 0, f"no false refusals: {dict(tally.refused)}")
    checks.check(bills >= tally.answered, "each answered request is billed")
    if not kill:
        checks.check(bills == tally.answered, "only answered requests are billed")
        unreturned = sum(line.open for line in audit.lines)
        checks.check(unreturned == 0, f"stopped routers return their grants: {unreturned} open")


async def _run_load(
    fleet: Fleet,
    pool: CallerPool,
    deployment: Deployment,
    sheet: Path,
    seconds: float,
    rate: float,
    kill: bool,
) -> None:
    parsed = parse_sheet(str(sheet), sheet.read_bytes()).unwrap()
    load_requests = generate_requests(deployment.name, parsed, 1, RequestMix())
    tasks = []
    started_at = time.monotonic()
    killed_router = next(p.name for p in fleet.plan.processes if p.program == "bilberryshed-router")
    for number in range(int(seconds * rate)):
        await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        if kill and number == int(seconds * rate / 2):
            print(f"killing {killed_router}")
            fleet.kill(killed_router)
        tasks.append(asyncio.create_task(pool.send_with_retries(next(load_requests))))
    await asyncio.gather(*tasks)


async def _read_audit(platform: str) -> Audit:
    return (await RecordsReader(Address.parse(platform)).audit()).unwrap()
