"""Runners that crash and start again under their ids are never used again."""

import asyncio

from standin.world import World, main, route, service, trouble

STEP = {"count": 4, "cpu": 2000, "mem_mb": 4000, "estimated_ms": 700}
# One subtask on each of the eight runners.
LASTING = {
    "count": 8,
    "cpu": 2600,
    "mem_mb": 17000,
    "long_running": True,
    "max_per_server": 1,
}
WORK_S = 0.7
DOWN_S = 3.0


async def play(case):
    """Play the case and return the breaks of LOST."""
    routes = [route("filings", "desk"), route("archive", "desk")]
    runners = [("desk", ["a", "r1-1"])] * 4 + [("desk", ["a", "r1-2"])] * 4
    async with World(case, routes, [service("desk")], runners) as world:
        lasting = await world.submit("archive", [LASTING], None)
        if not await world.wait_for_starts(lasting, LASTING["count"], 10):
            return None
        first = await world.submit("filings", [STEP], WORK_S)
        if not await world.wait_for_state(first, "completed", 10):
            return None
        await asyncio.sleep(2)
        if trouble():
            rack = world.runners[:4]
            await asyncio.gather(*(runner.crash() for runner in rack))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(runner.start() for runner in rack))
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(8)
        for _ in range(3):
            await world.submit("filings", [STEP], WORK_S)
            await asyncio.sleep(1)
        return await world.lost()


main(play)
