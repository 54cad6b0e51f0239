"""After a take-over with runners' entries missing, these runners have no room left."""

import asyncio

from standin.world import World, main, route, service, trouble

STEP = {"count": 4, "cpu": 2000, "mem_mb": 4000, "estimated_ms": 700}
WORK_S = 0.7
# One subtask on each of the four runners.
LASTING = {
    "count": 4,
    "cpu": 2600,
    "mem_mb": 17000,
    "long_running": True,
    "max_per_server": 1,
}
OUTAGE_S = 4.2
OUTAGE_AFTER_HEARTBEAT_S = 0.5  # the next heartbeat comes 1.3 s after the outage
KILL_AFTER_S = 2.5
RESTART_DELAY_S = 0.3


async def play(case):
    """Play the case and return the breaks of LOST."""
    routes = [route("filings", "desk"), route("archive", "desk")]
    runners = [("desk", ["a", "r1-1"])] * 4
    async with World(case, routes, [service("desk")], runners) as world:
        lasting = await world.submit("archive", [LASTING], None)
        if not await world.wait_for_starts(lasting, LASTING["count"], 10):
            return None
        first = await world.submit("filings", [STEP], WORK_S)
        if not await world.wait_for_state(first, "completed", 10):
            return None
        await asyncio.sleep(3)
        if trouble():
            await stop_store_and_kill_holder(world)
        await asyncio.sleep(12)
        for _ in range(3):
            await world.submit("filings", [STEP], WORK_S)
            await asyncio.sleep(1)
        return await world.lost()


async def stop_store_and_kill_holder(world):
    """Let the store refuse all calls for a while and kill the holder meanwhile."""
    await world.heartbeats()
    await asyncio.sleep(OUTAGE_AFTER_HEARTBEAT_S)
    holder = world.holder_of("desk")
    world.stop_store()
    await asyncio.sleep(KILL_AFTER_S)
    holder.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    holder.launch()
    await asyncio.sleep(OUTAGE_S - KILL_AFTER_S - RESTART_DELAY_S)
    world.start_store()


main(play)
