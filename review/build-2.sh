#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/9 start: the product, with the command of
# the deploy file unless that has been run, and the stand-ins in review/cluster/, which are
# plain Python on the same libraries.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=.:target/deps
if [ ! -d target/deps/aiohttp ]; then
    command=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
    PYTHONPATH='' bash -c "$command"
fi
python3 -m compileall -q review/cluster
python3 -c 'import review.cluster.cluster'
