#!/usr/bin/env bash
# Checks that every specification holds and that each of its broken variants is violated.
set -euo pipefail
cd "$(dirname "$0")/../specs"

MAX_DEPTH=200000
MEMORY_MB=4096

if ! command -v spin > /dev/null; then
    apt-get install -y -qq spin > /dev/null || { apt-get update -qq && apt-get install -y -qq spin > /dev/null; }
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# check SPEC [VARIANT]: prints "holds", "violated", or "unchecked" if the search was incomplete
check() {
    local spec=$1 variant=${2:-}
    local dir="$work/$spec$variant"
    mkdir "$dir"
    cp "$spec.pml" "$dir"
    (
        cd "$dir"
        spin ${variant:+-D"$variant"} -a "$spec.pml" > spin.log
        gcc -w -O2 -DSAFETY -DMEMLIM="$MEMORY_MB" -o pan pan.c 2> gcc.log
        ./pan -m"$MAX_DEPTH" > pan.log || true
        if grep -q "assertion violated" pan.log; then
            echo "violated"
        elif grep -q "errors: 0" pan.log && ! grep -q "too small\|out of memory" pan.log; then
            echo "holds"
        else
            echo "unchecked"
        fi
    )
}

expect() {
    local expected=$1 name=$2 result=$3
    if [ "$result" = "$expected" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
    printf '%-44s %-10s (expected %s)\n' "$name" "$result" "$expected"
}

for path in *.pml; do
    spec=${path%.pml}
    expect holds "$spec" "$(check "$spec")"
    for variant in $(grep -o -- '-DBROKEN_[A-Z]*' "$path" | sort -u | cut -c3-); do
        expect violated "$spec $variant" "$(check "$spec" "$variant")"
    done
done
echo "$passed as expected, $failed not"
[ "$failed" -eq 0 ]
