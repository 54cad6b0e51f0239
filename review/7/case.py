"""
A queue gets another service while its submissions run.

A lasting and a short-lived submission run, a third has completed. The operator then
removes the queue's route in one version of the configuration and adds it again, with
another ``service``, in the next. Consumers ask for the accepted submissions, one
request arrives again some seconds after its 2xx response, and the lasting submission is
cancelled. ``TROUBLE=one`` changes the route's service in one version instead.
"""

import asyncio
import os

from review.cluster.cluster import BROKEN, HELD, Cluster, run_case

HOST = "desk.example"
WIRE = {"name": "wire", "host": HOST, "path_prefix": "/wire/", "service": "alpha"}
ALERTS = {"name": "alerts", "host": HOST, "path_prefix": "/alerts/", "service": "alpha"}
INDEX = {"name": "index", "host": HOST, "path_prefix": "/index/", "service": "beta"}
LASTING, PLAIN, FINISHED = "11" * 8, "22" * 8, "33" * 8
STEP = {"count": 2, "cpu": 1000, "mem_mb": 512}
RUN_LIMIT_S = 10.0
REPEAT_AFTER_S = 4.0
BETWEEN_VERSIONS_S = 0.5
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0
CANCEL_S = 3.0
STOP_GRACE_S = 0.2


async def submit_all(cluster):
    """Hand in three submissions; wait until two run and one has completed."""
    node = cluster.nodes[0]
    steps = [STEP | {"estimated_ms": 100}]
    accepted = await cluster.submit(node, WIRE, FINISHED, {"spec": "f", "steps": steps})
    steps = [STEP | {"long_running": True, "estimated_ms": 700}]
    accepted &= await cluster.submit(node, WIRE, LASTING, {"spec": "l", "steps": steps})
    for _ in range(40):
        if await cluster.state(node, WIRE, FINISHED, quiet=True) == "completed":
            break
        await asyncio.sleep(0.25)
    steps = [STEP | {"estimated_ms": 15_000}]
    accepted &= await cluster.submit(node, WIRE, PLAIN, {"spec": "p", "steps": steps})
    running = await cluster.wait_for(
        lambda: len(cluster.runs.open(LASTING)) == len(cluster.runs.open(PLAIN)) == 2,
        RUN_LIMIT_S,
    )
    if not accepted or not running:
        raise RuntimeError("the submissions do not run")


async def move_queue(cluster):
    """Remove the queue's route and add it with the other service."""
    if os.environ.get("TROUBLE") != "one":
        cluster.configure([ALERTS, INDEX])
        await asyncio.sleep(BETWEEN_VERSIONS_S)
    cluster.configure([WIRE | {"service": "beta"}, ALERTS, INDEX])


async def ask_for_all(cluster):
    """Return the submissions that a process answers with 410."""
    lost = set()
    for node in cluster.nodes:
        for submission_id in (LASTING, PLAIN, FINISHED):
            if await cluster.state(node, WIRE, submission_id) == "410":
                lost.add(submission_id)
    return lost


def runs_at_once(cluster, submission_id):
    """Return the pairs of runs of one subtask that overlapped."""
    spans = cluster.runs.of(submission_id)
    return [
        (one, other)
        for one in spans
        for other in spans
        if one is not other
        and one.name == other.name
        and one.started_at <= other.started_at
        and (one.ended_at is None or one.ended_at > other.started_at)
    ]


async def check(cluster):
    """Return whether accepted submissions were denied, run twice or not cancelled."""
    await submit_all(cluster)
    if cluster.trouble:
        await move_queue(cluster)
    await asyncio.sleep(REPEAT_AFTER_S)
    # The first request for PLAIN arrives again.
    await cluster.submit(cluster.nodes[1], WIRE, PLAIN, cluster.submissions[PLAIN])
    await asyncio.sleep(CONFIG_APPLY_S + VISIBLE_S - REPEAT_AFTER_S + 0.5)
    denied = await ask_for_all(cluster)
    await asyncio.sleep(3.0)
    twice = runs_at_once(cluster, PLAIN)
    status, _ = await cluster.call(cluster.nodes[2], "DELETE", WIRE, LASTING)
    acknowledged = 200 <= status < 300 or status == 410
    await asyncio.sleep(CANCEL_S + STOP_GRACE_S + 1.0)
    running_on = cluster.runs.open(LASTING) if acknowledged else []
    cluster.record.write(f"LOST: accepted submissions answered 410: {sorted(denied)}")
    for one, other in twice:
        cluster.record.write(
            f"TWICE: {one.name} #{one.run} on {one.runner} and #{other.run} on "
            f"{other.runner} at once"
        )
    for span in running_on:
        cluster.record.write(
            f"UNASKED: {span.name} #{span.run} runs on {span.runner} after the cancel"
        )
    return BROKEN if denied or twice or running_on else HELD


if __name__ == "__main__":
    pools = {"alpha": 3, "beta": 3, "spare": 2}
    run_case(lambda: Cluster(pools, [WIRE, ALERTS, INDEX]), check)
