#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common-3/kit.py
