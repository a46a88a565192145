#!/usr/bin/env bash
# Builds what the scripts of this review start, after the build command of
# deploy/system.toml. The stand-ins are Python sources that need no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || {
  echo "run the build command of deploy/system.toml first" >&2
  exit 2
}
for file in review/common-3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
