"""Runs the operators' command-line programs."""

import subprocess
import sys
from pathlib import Path


def run_tool(program: str, *arguments: str, may_fail: bool = False) -> None:
    """Run a program with the standard output of this process.

    :param may_fail: whether a non-zero exit code is accepted
    :raises subprocess.CalledProcessError: if the exit code is not zero and ``may_fail`` is false
    """
    command = [str(Path(sys.executable).parent / program), *arguments]
    subprocess.run(command, check=not may_fail)


def submit_sheet(platform: str, sheet: Path, base: int) -> None:
    """Submit a sheet with ``bilberryshed-sheet``.

    :param platform: IP:PORT of the platform
    :param base: version on which the sheet is based
    """
    arguments = ["submit", str(sheet), "--platform", platform, "--base", str(base)]
    run_tool("bilberryshed-sheet", *arguments)
