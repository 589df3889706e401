"""``bilberryshed-load``: load and experiments on one machine."""

import sys
from pathlib import Path

import defopt

from bilberryshed import __version__
from bilberryshed_load._demo import run_demo
from bilberryshed_load._plans import DEPLOYMENTS

EXIT_BROKEN = 1


def demo(
    *,
    deployment: str = "cairnbrae",
    etc: Path = Path("etc"),
    seconds: float = 15.0,
    rate: float = 30.0,
    kill: bool = False,
) -> None:
    """Start a whole fleet, run a short load, check every promise, stop gracefully.

    :param deployment: cairnbrae or mandali
    :param etc: directory of the sample sheets
    :param seconds: length of the load
    :param rate: requests a second
    :param kill: kill a router in the middle of the load
    """
    if deployment not in DEPLOYMENTS:
        sys.exit(f"unknown deployment {deployment!r}; known are {', '.join(DEPLOYMENTS)}")
    verdict = run_demo(DEPLOYMENTS[deployment], etc, seconds, rate, kill)
    sys.exit(EXIT_BROKEN if verdict.broken else 0)


def main() -> None:
    """Entry point of the program."""
    defopt.run({"demo": demo}, version=__version__, argv=sys.argv[1:])
