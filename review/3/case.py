"""One submission that requests an accelerator alone stops its service for good."""

import asyncio

from standin.world import World, main, route, service, trouble

STEP = {"count": 4, "cpu": 2000, "mem_mb": 4000, "estimated_ms": 700}
GPU_STEP = {"count": 1, "gpu": 1, "estimated_ms": 700}
WORK_S = 0.7


async def play(case):
    """Play the case and return the breaks of LOST."""
    routes = [route("filings", "desk")]
    runners = [("desk", ["a", "r1-1"]), ("desk", ["a", "r1-2"])]
    async with World(case, routes, [service("desk")], runners, gpu=2) as world:
        first = await world.submit("filings", [STEP], WORK_S)
        if not await world.wait_for_state(first, "completed", 10):
            return None
        if trouble():
            await world.submit("filings", [GPU_STEP], WORK_S)
        await asyncio.sleep(2)
        for _ in range(3):
            await world.submit("filings", [STEP], WORK_S)
            await asyncio.sleep(1)
        return await world.lost()


main(play)
