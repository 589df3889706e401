"""The demonstration: a whole fleet, a short load, and a verdict on every promise."""

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
from bilberryshed_load._workloads import Mix, questions

IN_FORCE_LIMIT = 4.0  # seconds for a sheet to be in force everywhere
SETTLE_LIMIT = 15.0  # seconds for the last bills to reach the ledger
OVERRIDES = {"metrics": {"slo_interval": "2"}}


@dataclass(slots=True)
class Verdict:
    """Promises that were broken, in words."""

    broken: list[str] = field(default_factory=list)

    def check(self, holds: bool, promise: str) -> None:
        """Note a promise that does not hold."""
        if not holds:
            self.broken.append(promise)


def run_demo(deployment: Deployment, etc: Path, seconds: float, rate: float, kill: bool) -> Verdict:
    """Run the demonstration and print what happened.

    :param etc: directory of the sample sheets
    :param seconds: length of the load
    :param rate: requests a second
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
) -> Verdict:
    verdict = Verdict()
    platform = fleet.plan.platform
    print(f"starting {len(fleet.plan.processes)} processes for {deployment.name}")
    fleet.start()
    submit_sheet(platform, sheet, 0)
    accepted_at = time.monotonic()
    fleet.wait_ready()
    in_force = time.monotonic() - accepted_at
    print(f"sheet in force on all routers after {in_force:.1f} s")
    verdict.check(in_force <= IN_FORCE_LIMIT, f"sheet in force within {IN_FORCE_LIMIT} s")
    pool = CallerPool(fleet.plan.router_urls, seed=1)
    asyncio.run(_load(fleet, pool, deployment, sheet, seconds, rate, kill))
    for line in pool.tally.lines():
        print(line)
    verdict.check(fleet.settle(SETTLE_LIMIT), "every record reaches the ledger")
    unfinished = fleet.stop()
    verdict.check(not unfinished, f"planned stops finish their work: {unfinished}")
    run_tool("bilberryshed-report", "burn", "--platform", platform)
    run_tool("bilberryshed-report", "audit", "--platform", platform, may_fail=True)
    audit = asyncio.run(_audit(platform))
    _judge(verdict, pool, audit, kill)
    for promise in verdict.broken:
        print(f"BROKEN: {promise}")
    print("all promises hold" if not verdict.broken else f"{len(verdict.broken)} promises broken")
    return verdict


def _judge(verdict: Verdict, pool: CallerPool, audit: Audit, kill: bool) -> None:
    tally = pool.tally
    tally.false_refusals = sum(tally.refused.values())
    bills = sum(line.bills for line in audit.lines)
    print(f"overspend: {audit.overspend} tokens; bills: {bills}; answers: {tally.answered}")
    print(f"false refusals: {tally.false_refusals}")
    verdict.check(audit.overspend == 0, "no budget is overspent")
    verdict.check(not audit.findings, f"the audit balances: {audit.findings[:3]}")
    verdict.check(not tally.wrong, f"whole answers to their own callers: {tally.wrong[:3]}")
    verdict.check(tally.false_refusals == 0, f"no false refusals: {dict(tally.refused)}")
    verdict.check(bills >= tally.answered, "each answered request is billed")
    if not kill:
        verdict.check(bills == tally.answered, "only answered requests are billed")
        held = sum(line.open for line in audit.lines)
        verdict.check(held == 0, f"stopped routers return their grants: {held} left")


async def _load(
    fleet: Fleet,
    pool: CallerPool,
    deployment: Deployment,
    sheet: Path,
    seconds: float,
    rate: float,
    kill: bool,
) -> None:
    parsed = parse_sheet(str(sheet), sheet.read_bytes()).unwrap()
    stream = questions(deployment.name, parsed, 1, Mix())
    tasks = []
    began = time.monotonic()
    victim = next(p.name for p in fleet.plan.processes if p.program == "bilberryshed-router")
    for number in range(int(seconds * rate)):
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
        if kill and number == int(seconds * rate / 2):
            print(f"killing {victim}")
            fleet.kill(victim)
        tasks.append(asyncio.create_task(pool.pose(next(stream))))
    await asyncio.gather(*tasks)


async def _audit(platform: str) -> Audit:
    return (await RecordsReader(Address.parse(platform)).audit()).unwrap()
