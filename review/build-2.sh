#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the
# deploy file: their stand-ins, and the project's own, are Python modules, so
# that this only checks that they can be imported from target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'run the build line of deploy/system.toml first' >&2
    exit 1
fi
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import sys

sys.path.insert(0, 'review/standins-2')
import site2  # noqa: F401, E402

print('stand-ins of the second review can be imported')
CHECK
