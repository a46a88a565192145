#!/bin/sh
# The stand-ins of the cases are Python files that use the standard library
# only; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in harness.py */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
