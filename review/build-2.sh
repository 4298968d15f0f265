#!/bin/sh
# Checks the stand-ins of cases 4 to 8, which are plain Python without any
# library: there is nothing else to build. The cases also start the system's
# own programs, from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
