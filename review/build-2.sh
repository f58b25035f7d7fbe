#!/bin/sh
# Builds what the scripts of the second review start: the system's programs
# and the project's stand-ins (in target/deps), and checks their own helper.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONPATH=target/deps:review/lib-2 PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import harness'
