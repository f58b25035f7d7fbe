#!/bin/sh
# Checks that the stand-ins of the scripts in review/11 to review/15 can start.
# Those of the project are in target/deps, where the build of the deploy file
# installs them; those of the review are scripts in review/lib-3.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/lib-3")
import limited_machine, reading_server, small_site, stream_server
'
