#!/usr/bin/env bash
# Checks that the stand-ins can be run. They need the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 -c "import standin.world"
