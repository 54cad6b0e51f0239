"""
Measures the duration of manifest roll-outs over 7 control processes with sockets.

The time runs from an operator's commit request until the version is in force at
every process. Run as ``python -m benchmarks.rollout``.
"""

import json
import math
import random
import time

from benchmarks.control_fleet import ControlFleet, make_manifest

CENTRES = ("dc-1", "dc-1", "dc-2", "dc-2", "dc-3", "dc-3", "dc-4")
COMMITS = 100
# The present fleet: five services with pools of 8 hosts, and 8 spare hosts.
HOSTS = 48
POOLS = 5


def measure(commits=COMMITS):
    """Return the p50, p99 and maximum duration in seconds, and the commit count."""
    rng = random.Random(7)
    fleet = ControlFleet(CENTRES)
    try:
        time.sleep(3.0)
        durations = []
        values = make_manifest(HOSTS, POOLS, data_centres=4)
        for version in range(1, commits + 1):
            values["organisations"]["org"] = {"weight": 1 + version / 1000}
            started = time.monotonic()
            fleet.commit(values, version - 1, rng.randrange(len(CENTRES)))
            fleet.wait_for_version(version)
            durations.append(time.monotonic() - started)
            time.sleep(rng.uniform(0, 0.3))
    finally:
        fleet.close()
    durations.sort()
    return {
        "rollout_p50_s": round(quantile(durations, 0.5), 3),
        "rollout_p99_s": round(quantile(durations, 0.99), 3),
        "rollout_max_s": round(durations[-1], 3),
        "rollout_commits": commits,
    }


def quantile(ordered, share):
    """Return the value below which ``share`` of the ordered values lie."""
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


if __name__ == "__main__":
    print(json.dumps(measure()))
