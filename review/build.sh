#!/bin/sh
# The stand-ins need Python's standard library only; this checks that they
# compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common 1 2 3
