#!/bin/sh
# Runs the case in the folder that is named.
cd "$1" || exit 2
[ -d ../../target/deps ] || { echo 'run the build of the deploy file'; exit 2; }
exec python3 play.py
