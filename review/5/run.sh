#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
exec python3 review/5/case.py
