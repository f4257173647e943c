#!/bin/sh
# The stand-ins need only the Python interpreter that runs the router.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
