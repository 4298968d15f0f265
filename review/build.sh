#!/bin/sh
# Compiles the stand-ins and the scripts; they use the standard library and
# what the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]
