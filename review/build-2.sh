#!/usr/bin/env bash
# Builds what the cases 6 to 10 start. Their stand-ins are plain Python without dependencies
# (common-2/kit.py and each check.py): they are compiled to see that they can run, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run deploy/build.sh first"; exit 1; }
for file in review/common-2/kit.py review/{6,7,8,9,10}/check.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
