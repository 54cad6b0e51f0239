"""The first subtask on a runner that started again while idle is run twice at once."""

import asyncio

from standin.world import World, main, route, service, trouble

STEP = {
    "count": 4,
    "cpu": 2000,
    "mem_mb": 4000,
    "estimated_ms": 3000,
    "data_rack": "r1-1",
}
SHORT_S = 0.7
WORK_S = 3.0
DOWN_S = 0.3


async def play(case):
    """Play the case and return the breaks of TWICE."""
    routes = [route("filings", "desk")]
    runners = [("desk", ["a", "r1-1"])] * 4 + [("desk", ["a", "r1-2"])] * 4
    async with World(case, routes, [service("desk")], runners) as world:
        first = await world.submit("filings", [STEP], SHORT_S)
        if not await world.wait_for_state(first, "completed", 10):
            return None
        await asyncio.sleep(3)
        if trouble():
            rack = world.runners[:4]
            await asyncio.gather(*(runner.crash() for runner in rack))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(runner.start() for runner in rack))
        await asyncio.sleep(4)
        for _ in range(3):
            submission = await world.submit("filings", [STEP], WORK_S)
            await world.wait_for_state(submission, "completed", 20)
        await asyncio.sleep(2)
        return world.record.twice()


main(play)
