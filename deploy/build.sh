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
rm -rf "$deps/dogwoodpost"
cp -r src/dogwoodpost "$deps/dogwoodpost"
python3 -m compileall -q "$deps"
