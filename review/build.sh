#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are the
# project's own, part of the deploy build, and the modules in review/lib.
set -eu
cd "$(dirname "$0")/.."
[ -e target/deps/.complete ] || sh deploy/build.sh
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:review/lib python3 -c 'import loopback_site'
