"""
A burst of one queue, in a configuration without a standby pool.

Two services have eight and two runners, and all is idle. The queue of the smaller one
gets a submission of ten subtasks, of which each runner holds three. 12 s later, when
all of it has ended, a lasting submission of eight subtasks, one a runner, comes to the
queue of the larger one.
"""

import asyncio

from review.cluster.cluster import BROKEN, HELD, Cluster, run_case

HOST = "desk.example"
WIRE = {"name": "wire", "host": HOST, "path_prefix": "/wire/", "service": "alpha"}
INDEX = {"name": "index", "host": HOST, "path_prefix": "/index/", "service": "beta"}
POOLS = {"alpha": 8, "beta": 2}
LASTING, BURST = "11" * 8, "22" * 8
QUIET_S = 5.0
AFTER_BURST_S = 12.0
CALM_S = 7.0  # of the rule: the 3 s in which nothing runs, and the 4 s before them
WATCH_S = 30.0
BURST_BODY = {
    "spec": "burst",
    "steps": [{"count": 10, "cpu": 10_500, "mem_mb": 64, "estimated_ms": 1000}],
}
LASTING_BODY = {
    "spec": "lasting",
    "steps": [
        {
            "count": POOLS["alpha"],
            "cpu": 1000,
            "mem_mb": 64,
            "estimated_ms": 700,
            "long_running": True,
            "max_per_server": 1,
        }
    ],
}


def idle_runners(cluster):
    """Return the runners of the larger service that run nothing."""
    return [r for r in cluster.machines.runners("alpha") if not r.running]


async def longest_wait(cluster):
    """Return for how long subtasks waited in a row beside two or more idle runners."""
    waited_s = longest_s = 0.0
    for _ in range(int(WATCH_S / 0.1)):
        await asyncio.sleep(0.1)
        waiting = POOLS["alpha"] - len(cluster.runs.open(LASTING))
        room = waiting > 0 and len(idle_runners(cluster)) >= 2
        waited_s = waited_s + 0.1 if room else 0.0
        longest_s = max(longest_s, waited_s)
    return longest_s


async def check(cluster):
    """Return whether lasting subtasks never started beside idle runners."""
    node = cluster.nodes[0]
    await asyncio.sleep(QUIET_S)
    if cluster.trouble and not await cluster.submit(node, INDEX, BURST, BURST_BODY):
        raise RuntimeError("the burst was not accepted")
    await asyncio.sleep(AFTER_BURST_S)
    if cluster.trouble:
        await cluster.state(node, INDEX, BURST)
    if not await cluster.submit(node, WIRE, LASTING, LASTING_BODY):
        raise RuntimeError("the lasting submission was not accepted")
    waited_s = await longest_wait(cluster)
    running = len(cluster.runs.open(LASTING))
    idle = [runner.runner_id for runner in idle_runners(cluster)]
    cluster.record.write(f"{running} of {POOLS['alpha']} lasting subtasks run")
    cluster.record.write(f"idle runners of their service: {idle}")
    cluster.record.write(f"subtasks waited beside two or more for {waited_s:.1f} s")
    await cluster.state(node, WIRE, LASTING)
    return BROKEN if running < POOLS["alpha"] and waited_s > CALM_S else HELD


if __name__ == "__main__":
    run_case(lambda: Cluster(POOLS, [WIRE, INDEX], standby=None), check)
