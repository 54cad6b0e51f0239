"""Lasting submissions that wait for a lost runner keep all others from starting."""

import asyncio

from standin.world import World, main, route, service, trouble

STEP = {"count": 4, "cpu": 2000, "mem_mb": 4000, "estimated_ms": 700}
PINNED = {
    "count": 1,
    "cpu": 1000,
    "mem_mb": 1000,
    "long_running": True,
    "required_label": "b",
}
PINNED_SUBMISSIONS = 30
WORK_S = 0.7


async def play(case):
    """Play the case and return the breaks of LOST."""
    routes = [route("filings", "desk"), route("archive", "desk")]
    runners = [("desk", ["a", "r1-1"])] * 4 + [("desk", ["a", "r1-2"])] * 3
    runners.append(("desk", ["b", "r1-2"]))  # the only one of its kind
    async with World(case, routes, [service("desk")], runners) as world:
        for _ in range(PINNED_SUBMISSIONS):
            await world.submit("archive", [PINNED], None)
        first = await world.submit("filings", [STEP], WORK_S)
        if not await world.wait_for_state(first, "completed", 10):
            return None
        if trouble():
            await world.runners[-1].crash()
        await asyncio.sleep(8)
        for _ in range(3):
            await world.submit("filings", [STEP], WORK_S)
            await asyncio.sleep(1)
        return await world.lost()


main(play)
