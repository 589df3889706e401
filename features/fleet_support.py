"""Helpers for steps that run complete fleets."""

import json
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path

from bilberryshed.runtime import RecordsReader
from bilberryshed.state import Address
from bilberryshed_load import DEPLOYMENTS, Fleet, LoadRequest, plan_fleet

SHEET_PATH = Path("etc/cairnbrae.csv")
DELIVERY_TIMEOUT = 15.0  # seconds until all usage records are delivered
CRASHING_REQUEST = LoadRequest(
    "highland-council", "", "drivers", prompt="Is CRASH-THE-ENGINE open?", max_tokens=8
)


def start_fleet(context, overrides=None):
    """Start a Cairnbrae fleet, submit its sheet and wait until the fleet is ready.

    :param overrides: router settings by section and key
    """
    directory = tempfile.TemporaryDirectory(prefix="bilberryshed-")
    fleet = Fleet(plan_fleet(DEPLOYMENTS["cairnbrae"], Path(directory.name), overrides=overrides))
    fleet.directory = directory
    fleet.start()
    submit_sheet(fleet, SHEET_PATH, 0)
    fleet.wait_ready()
    return fleet


def submit_sheet(fleet, path, base):
    """Submit a sheet with ``bilberryshed-sheet``.

    :param base: version of the sheet that it replaces
    """
    program = Path(sys.executable).parent / "bilberryshed-sheet"
    arguments = ["submit", str(path), "--platform", fleet.plan.platform, "--base", str(base)]
    subprocess.run([program, *arguments], check=True, capture_output=True)


def records_reader(context):
    """Return read access to the rows and records that the fleet stores."""
    return RecordsReader(Address.parse(context.fleet.plan.platform))


def run(context, coroutine_function):
    """Run a coroutine function on the event loop of the scenario."""
    return context.loop.run_until_complete(coroutine_function())


def delivered_records(context):
    """Return the records of the ledger once every usage record is delivered."""
    assert context.fleet.wait_until_delivered(
        DELIVERY_TIMEOUT
    ), "usage records are still undelivered"
    return run(context, lambda: records_reader(context).records()).unwrap()


def service_runs(fleet):
    """Return the number of runs by idempotency key, summed over all booking services."""
    runs = {}
    for name, port in fleet.plan.backends.items():
        if name.startswith("s"):
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/runs") as response:
                for key, count in json.load(response).items():
                    runs[key] = runs.get(key, 0) + count
    return runs
