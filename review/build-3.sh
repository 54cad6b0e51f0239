#!/bin/bash
# Prepares what the scripts of review/11 to review/15 start. The stand-ins in review/rig
# are plain Python on the libraries that the build of the deploy file installs; they run
# in the script's own process, so this only compiles and imports them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD:$PWD/target/deps"
for file in review/rig/*.py review/1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" \
        "$file" || exit 1
done
python3 -c "import aiohttp, msgspec, review.rig.cluster"
