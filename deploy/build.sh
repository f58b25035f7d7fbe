#!/bin/sh
# Installs the pinned packages and this checkout into target/deps.
set -eu
deps=target/deps
pins=deploy/requirements.txt
if [ ! "$deps/.complete" -nt "$pins" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --no-deps --target "$deps" --requirement "$pins"
    touch "$deps/.complete"
fi
# Processes of an earlier build may be starting; unchanged sources stay in place.
if diff -rq -x __pycache__ src/dogwoodpost "$deps/dogwoodpost" >/dev/null 2>&1
then
    exit 0
fi
rm -rf "$deps/dogwoodpost"
cp -r src/dogwoodpost "$deps/dogwoodpost"
python3 -m compileall -q "$deps"
