"""The faults that a soak injects, by name; each lasts a while and then ends."""

import asyncio
import base64
import signal

import msgspec

from tests.soak.proxy import LinkFault

FAULTS = {}
LINK_FAULTS = [fault for fault in LinkFault if fault != LinkFault.NONE]
ADDED_ROUTE = {"name": "extra", "host": "extra.example", "path_prefix": "/extra/"}


def fault(function):
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


async def _break(proxies, kind, seconds):
    for proxy in proxies:
        proxy.break_link(kind)
    try:
        await asyncio.sleep(seconds)
    finally:
        for proxy in proxies:
            proxy.break_link(LinkFault.NONE)


@fault
async def kill(world, rng, seconds):
    """Kill a process and start it again."""
    node = rng.choice(world.nodes)
    node.disturb()
    node.kill()
    await asyncio.sleep(min(seconds, 2.0))
    if not node.running:
        node.launch()
    node.disturb()


@fault
async def kill_all(world, rng, seconds):
    """Kill all processes at once and start them again."""
    for node in world.nodes:
        node.disturb()
        node.kill()
    await asyncio.sleep(min(seconds, 1.0))
    for node in world.nodes:
        if not node.running:
            node.launch()
        node.disturb()


@fault
async def stop_gracefully(world, rng, seconds):
    """Stop a process as planned and start it again."""
    node = rng.choice(world.nodes)
    if not await node.stop() and node.only_stopped_gracefully:
        world.ledger.report("a planned stop ends in time", node.name)
    await asyncio.sleep(0.3)
    if not node.running:
        node.launch()


@fault
async def roll(world, rng, seconds):
    """Restart all processes as planned, one after the other."""
    for node in world.nodes:
        await node.stop()
        if not node.running:
            node.launch()
        await asyncio.sleep(0.5)


@fault
async def pause(world, rng, seconds):
    """Pause a process, and let it go on with what it believed."""
    node = rng.choice(world.nodes)
    node.disturb()
    node.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        node.signal(signal.SIGCONT)
        node.disturb()


@fault
async def cut_store_link(world, rng, seconds):
    """Disturb the link between one node and the store."""
    node = rng.choice(world.nodes)
    node.disturb()
    await _break([node.store_link], rng.choice(LINK_FAULTS), seconds)
    node.disturb()


@fault
async def cut_machines_link(world, rng, seconds):
    """Disturb the link between all nodes and the interface for machines."""
    links = [node.machines_link for node in world.nodes]
    await _break(links, rng.choice(LINK_FAULTS), seconds)


@fault
async def cut_endpoints(world, rng, seconds):
    """Disturb the links to some endpoints, which run on."""
    endpoints = rng.sample(world.endpoints(), 3)
    proxies = [endpoint.proxy for endpoint in endpoints]
    await _break(proxies, rng.choice(LINK_FAULTS), seconds)


@fault
async def store_down(world, rng, seconds):
    """Let the store refuse everything."""
    world.disturb_all()
    world.store.faults.down = True
    await asyncio.sleep(seconds)
    world.store.faults.down = False
    world.disturb_all()


@fault
async def store_loses_answers(world, rng, seconds):
    """Let the store lose answers, and apply some transactions late."""
    world.disturb_all()
    world.store.faults.lost_share = rng.uniform(0.1, 0.4)
    world.store.faults.late_share = rng.choice([0.0, 0.15])
    await asyncio.sleep(seconds)
    world.store.faults.lost_share = world.store.faults.late_share = 0.0
    world.disturb_all()


@fault
async def store_slow(world, rng, seconds):
    """Let the store answer slowly."""
    world.disturb_all()
    usual = 0.002
    world.store.faults.delay_s = rng.uniform(0.1, 0.25)
    await asyncio.sleep(seconds)
    world.store.faults.delay_s = usual
    world.disturb_all()


@fault
async def store_forgets_history(world, rng, seconds):
    """Let the store forget its history several times."""
    for _ in range(3):
        world.store.forget_history()
        await asyncio.sleep(0.5)


@fault
async def crash_endpoints(world, rng, seconds):
    """Crash some endpoints; others come up on their hosts later."""
    names = rng.sample(sorted(world.machines.hosts), 2)
    await asyncio.gather(*(world.machines.crash(name) for name in names))


@fault
async def late_orders(world, rng, seconds):
    """Let endpoints leave orders unanswered and carry them out late."""
    endpoints = world.endpoints()
    for endpoint in endpoints:
        endpoint.faults.late_share = 0.15
    await asyncio.sleep(seconds)
    for endpoint in endpoints:
        endpoint.faults.late_share = 0.0


@fault
async def drain_endpoint(world, rng, seconds):
    """Let an endpoint say that it drains, for a while."""
    endpoint = rng.choice(world.endpoints())
    endpoint.draining = True
    await asyncio.sleep(seconds)
    endpoint.draining = False


@fault
async def wave(world, rng, seconds):
    """Ask for the maintenance of some hosts, one at a time."""
    if world.waves:
        return
    hosts = rng.sample(sorted(world.machines.hosts), 3)
    world.waves.append(hosts)
    body = {"wave": 1, "machines": hosts, "duration_s": 20.0, "maximum": 1}
    value = base64.b64encode(msgspec.json.encode(body)).decode()
    world.store.put("op", "", "wave/1", value)


@fault
async def configure(world, rng, seconds):
    """Change the configuration a few times in quick succession."""
    for _ in range(3):
        world.configure([ADDED_ROUTE | {"service": "alpha"}])
        await asyncio.sleep(0.3)
        world.configure([])


@fault
async def reload(world, rng, seconds):
    """Tell all processes that their settings file has changed."""
    for node in world.nodes:
        node.signal(signal.SIGHUP)
