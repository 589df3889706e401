"""Runs the operators' programs as an operator would."""

import subprocess
import sys
from pathlib import Path


def run_tool(program: str, *arguments: str, may_fail: bool = False) -> None:
    """Run a program; its output goes to this process's.

    :raises subprocess.CalledProcessError: if it fails and may not
    """
    command = [str(Path(sys.executable).parent / program), *arguments]
    subprocess.run(command, check=not may_fail)


def submit_sheet(platform: str, sheet: Path, base: int) -> None:
    """Submit a sheet.

    :param platform: IP:PORT of the platform
    :param base: version that the sheet is based on
    """
    arguments = ["submit", str(sheet), "--platform", platform, "--base", str(base)]
    run_tool("bilberryshed-sheet", *arguments)
