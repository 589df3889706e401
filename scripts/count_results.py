"""Prints the counts of a behave run as ``N passed, N failed``."""

import json
import sys
from pathlib import Path


def main() -> int:
    """Read behave's JSON report and print its scenario counts."""
    path = Path(sys.argv[1])
    if not path.exists():
        print(f"{path} is missing: behave did not run")
        print("0 passed, 1 failed")
        return 1
    statuses = [
        element["status"]
        for feature in json.loads(path.read_text(encoding="utf-8"))
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    passed = statuses.count("passed")
    failed = len([status for status in statuses if status not in ("passed", "skipped")])
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
