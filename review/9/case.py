"""
A gang that writes checkpoints loses one runner.

Three gangs of two subtasks work, each subtask on a runner of its own. One of the
service's eight runners crashes for good. The gang that it was part of has to start anew
with one checkpoint for all its members, and to end.
"""

import asyncio
import time

from review.cluster.cluster import BROKEN, HELD, Cluster, run_case

WIRE = {
    "name": "wire",
    "host": "desk.example",
    "path_prefix": "/wire/",
    "service": "alpha",
}
GANGS = ["11" * 8, "22" * 8, "33" * 8]
BODY = {
    "spec": "gang",
    "steps": [
        {
            "count": 2,
            "cpu": 20_000,
            "mem_mb": 4096,
            "estimated_ms": 8000,
            "checkpointing": True,
            "gang": True,
        }
    ],
}
RUN_LIMIT_S = 15.0
WORK_BEFORE_S = 4.3
NEAR_S = 7.0  # a disruption counts as near for less than that
FINISH_S = 14.0  # bound of the rules: after the end of the traffic
WATCH_S = 20.0  # the 4 s of work that are left, the restart, and FINISH_S


async def check(cluster):
    """Return whether a gang ended alone, or didn't end, without a disruption near."""
    node = cluster.nodes[0]
    accepted = [await cluster.submit(node, WIRE, gang, BODY) for gang in GANGS]
    running = await cluster.wait_for(
        lambda: all(len(cluster.runs.open(gang)) == 2 for gang in GANGS), RUN_LIMIT_S
    )
    if not all(accepted) or not running:
        raise RuntimeError("the gangs do not run")
    await asyncio.sleep(WORK_BEFORE_S)
    if cluster.trouble:
        runner_id = cluster.runs.open(GANGS[0])[1].runner
        runners = {r.runner_id: r for r in cluster.machines.runners("alpha")}
        await cluster.machines.crash(runners[runner_id])
    crashed_at = time.monotonic()
    await asyncio.sleep(WATCH_S)
    alone = [
        span
        for gang in GANGS
        for span in cluster.runs.of(gang)
        if span.how == "alone" and span.ended_at - crashed_at > NEAR_S
    ]
    for gang in GANGS:
        state = await cluster.state(node, WIRE, gang)
        for span in cluster.runs.of(gang):
            cluster.record.write(
                f"{span.name} #{span.run} on {span.runner} "
                f"checkpoint={span.checkpoint!r}: {span.how}"
            )
        cluster.record.write(f"gang {gang} is shown as {state}")
    return BROKEN if alone else HELD


if __name__ == "__main__":
    run_case(lambda: Cluster({"alpha": 8, "spare": 2}, [WIRE]), check)
