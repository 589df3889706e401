"""Prints failures and scenario counts of a behave run; the last line is ``N passed, N failed``."""

import json
import sys
from pathlib import Path
from typing import Any


def print_failure(scenario: dict[str, Any]) -> None:
    """Print location and error message of each failed step of a scenario."""
    for step in scenario.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in ("failed", "error"):
            message = result.get("error_message", "no message")
            text = message if isinstance(message, str) else "\n".join(message)
            print(f"{scenario['location']} {scenario['name']!r}, step {step['name']!r}:\n{text}")


def main() -> int:
    """Read behave's JSON report and print its failures and scenario counts.

    :returns: exit code, 1 if a scenario failed or none passed
    """
    path = Path(sys.argv[1])
    if not path.exists():
        print(f"{path} is missing: behave did not run")
        print("0 passed, 1 failed")
        return 1
    scenarios = [
        element
        for feature in json.loads(path.read_text(encoding="utf-8"))
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    statuses = [scenario["status"] for scenario in scenarios]
    for scenario in scenarios:
        print_failure(scenario)
    passed = statuses.count("passed")
    failed = len([status for status in statuses if status not in ("passed", "skipped")])
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
