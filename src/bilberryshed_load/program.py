"""``bilberryshed-load``: load tests and experiments on one machine."""

import sys
from pathlib import Path

import defopt

from bilberryshed import __version__
from bilberryshed_load._demo import run_demo
from bilberryshed_load._flood import measure_flood
from bilberryshed_load._gateway_latency import measure_gateway_latency
from bilberryshed_load._overhead import measure_overhead, measure_router_core
from bilberryshed_load._plans import DEPLOYMENTS
from bilberryshed_load._policy import run_policies
from bilberryshed_load._replay import run_replays
from bilberryshed_load._slopes import measure_slopes
from bilberryshed_load._soak import run_soak

EXIT_CHECK_FAILED = 1


def demo(
    *,
    deployment: str = "cairnbrae",
    etc: Path = Path("etc"),
    seconds: float = 15.0,
    rate: float = 30.0,
    kill: bool = False,
) -> None:
    """Start a complete fleet, run a short load, check every guarantee, stop gracefully.

    :param deployment: cairnbrae or mandali
    :param etc: directory of the sample sheets
    :param seconds: duration of the load
    :param rate: requests per second
    :param kill: kill a router in the middle of the load
    """
    if deployment not in DEPLOYMENTS:
        sys.exit(f"unknown deployment {deployment!r}; expected one of {', '.join(DEPLOYMENTS)}")
    checks = run_demo(DEPLOYMENTS[deployment], etc, seconds, rate, kill)
    sys.exit(EXIT_CHECK_FAILED if checks.violations else 0)


def overhead(
    *, etc: Path = Path("etc"), requests: int = 600, rate: float = 60.0, seed: int = 1
) -> None:
    """Measure the latency that router and agent add, compared with direct calls to the engine.

    :param etc: directory of the sample sheets
    :param requests: requests of each kind
    :param rate: requests per second of both kinds together
    :param seed: seed of all random choices
    """
    measure_overhead(etc, requests, rate, seed)


def core(*, etc: Path = Path("etc"), seconds: float = 8.0, callers: int = 64) -> None:
    """Measure how many requests per second one CPU core of a router handles.

    :param etc: directory of the sample sheets
    :param seconds: duration of each of three runs
    :param callers: callers that each wait for a response before sending the next request
    """
    measure_router_core(etc, seconds, callers)


def added(*, requests: int = 400, seed: int = 1) -> None:
    """Measure the time to the first event through a gateway, compared with direct calls.

    :param requests: requests of each kind
    :param seed: seed of all random choices
    """
    measure_gateway_latency(requests, seed)


def replay(*, seed: int = 1, seeds: int = 5) -> None:
    """Replay load patterns against placement policies, in simulated time.

    :param seed: first seed
    :param seeds: seeds to average over
    """
    run_replays(seed, seeds)


def slopes(*, etc: Path = Path("etc")) -> None:
    """Measure how state, messages, CPU time and memory grow; see docs/CAPACITY.md.

    :param etc: directory of the sample sheets
    """
    measure_slopes(etc)


def flood(
    *, etc: Path = Path("etc"), seconds: float = 10.0, rate: float = 20.0, callers: int = 300
) -> None:
    """Measure the effect of a flooding customer on the first-token latency of other customers.

    :param etc: directory of the sample sheets
    :param seconds: duration of each of two runs
    :param rate: requests per second of the other customers
    :param callers: concurrent callers of the flooding customer, each sending without pause
    """
    measure_flood(etc, seconds, rate, callers)


def policy(*, seed: int = 1, budgets: int = 4) -> None:
    """Compare admission with the oracle and the baselines as budgets are exhausted under faults.

    :param seed: seed of the trace
    :param budgets: number of budgets
    """
    run_policies(seed, budgets)


def soak(
    *, seed: int = 1, seeds: int = 1, seconds: float = 20.0, folder: Path = Path("build/soak")
) -> None:
    """Inject random faults into real gateway processes and check the guarantees.

    :param seed: first seed
    :param seeds: number of seeds to run, one after the other
    :param seconds: duration of the load of each seed
    :param folder: directory for settings and logs, with a subdirectory for each seed
    """
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        failed_seeds += bool(run_soak(number, seconds, folder / str(number)).findings)
    print(f"{seeds - failed_seeds} seeds passed, {failed_seeds} failed")
    sys.exit(EXIT_CHECK_FAILED if failed_seeds else 0)


def main() -> None:
    """Entry point of the program."""
    defopt.run(
        {
            "demo": demo,
            "overhead": overhead,
            "core": core,
            "slopes": slopes,
            "replay": replay,
            "added": added,
            "policy": policy,
            "flood": flood,
            "soak": soak,
        },
        version=__version__,
        argv=sys.argv[1:],
    )
