#!/usr/bin/env bash
# Installs what the gateway needs at run time, and the gateway itself, under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
lock=deploy/requirements.txt
if ! cmp -s "$lock" target/deps/.requirements; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r "$lock"
    cp "$lock" target/deps/.requirements
fi
rm -rf target/deps/bilberryshed
cp -r src/bilberryshed target/deps/
python3 -m compileall -q target/deps
