"""The ``bilberryshed-agent`` program."""

import sys
from pathlib import Path

import defopt

from bilberryshed import __version__
from bilberryshed.runtime import run_program, serve_agent
from bilberryshed.state import AgentSettings


def run(settings: Path) -> None:
    """Run an agent until SIGTERM, then finish its work and exit.

    Exit codes: 0 stopped with all work finished, 1 an address or file cannot be used, 2 settings
    have findings, 3 the drain limit passed with work left.

    :param settings: INI file
    """
    run_program("bilberryshed-agent", AgentSettings, settings, serve_agent)


def main() -> None:
    """Entry point of the program."""
    defopt.run(run, version=__version__, argv=sys.argv[1:])
