#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the product with the command of
# the deploy file. The stand-ins in review/cluster/ are plain Python on the same libraries.
set -eu
cd "$(dirname "$0")/.."
bash -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
PYTHONPATH=.:target/deps python3 -m compileall -q review/cluster
PYTHONPATH=.:target/deps python3 -c 'import review.cluster.cluster'
