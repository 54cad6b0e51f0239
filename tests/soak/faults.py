"""
The faults that a soak injects, by name. Each ends after a limited time.

``RESTARTS`` are those in which endpoints start again under their ids. They are a series
of their own, because the names in ``FAULTS`` determine what each seed injects. So are
``recut_endpoints`` and ``trouble_orders``.
"""

import asyncio
import base64
import signal

import msgspec

from magnoliapier.state.lease import CONTROL_TABLE, LEASE_KEY, decode_lease
from tests.soak.endpoints import HEARTBEAT_INTERVAL_S
from tests.soak.machines import OrderTrouble
from tests.soak.proxy import LinkFault
from tests.soak.store import DEFAULT_DELAY_S

FAULTS = {}
RESTARTS = {}
ORDER_TROUBLES = [trouble for trouble in OrderTrouble if trouble != OrderTrouble.NONE]
LINK_FAULTS = [fault for fault in LinkFault if fault != LinkFault.NONE]
TAKEOVER_S = 3.5  # long enough for a successor to take the lease and send orders
ORDER_WAIT_S = 2.0
ENDPOINT_OUTAGE_RANGE_S = (0.05, 1.0)  # until an endpoint starts under its id again
RECUT_OUTAGE_RANGE_S = (0.5, 0.7)
RECUT_LATE_SHARE = 0.8
UNANSWERED_RANGE_S = (1.0, 2.0)  # before the crash; holds come every 1.2 s at least
RECUT_LOAD_S = 1.0  # until endpoints run some long tasks
RUN_ON_RANGE_S = (2.0, 5.0)  # from the restart to the cut
CUT_RANGE_S = (8.0, 10.0)  # longer than the longest lease
LONG_TASK_SLOWDOWN = 8.0  # makes tasks last up to 14 s
RECUT_KILL_SHARE = 0.4
ORDER_TROUBLE_RANGE_S = (1.0, 6.0)
ORDER_CALM_RANGE_S = (0.0, 2.0)
QUIET_S = 3.0  # tasks last up to 1.8 s, and their ends are acknowledged 1.2 s later
IDLE_POLL_S = 0.05
RESTART_DELAY_S = 0.3  # until the platform restarts a process that has ended
ADDED_ROUTE = {"name": "extra", "host": "extra.example", "path_prefix": "/extra/"}


def fault(function):
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


def restart(function):
    """Register a fault in which endpoints start again under their ids."""
    RESTARTS[function.__name__] = function
    return function


async def _inject_link_fault(proxies, link_fault, seconds):
    for proxy in proxies:
        proxy.set_fault(link_fault)
    try:
        await asyncio.sleep(seconds)
    finally:
        for proxy in proxies:
            proxy.set_fault(LinkFault.NONE)


@fault
async def kill(soak, rng, seconds):
    """Kill a process and start it again."""
    await _kill(rng.choice(soak.nodes), min(seconds, 2.0))


async def _kill(node, seconds):
    node.record_disturbance()
    node.kill()
    await asyncio.sleep(seconds)
    if not node.running:
        node.launch()
    node.record_disturbance()


@fault
async def kill_all(soak, rng, seconds):
    """Kill all processes at once and start them again."""
    for node in soak.nodes:
        node.record_disturbance()
        node.kill()
    await asyncio.sleep(min(seconds, 1.0))
    for node in soak.nodes:
        if not node.running:
            node.launch()
        node.record_disturbance()


@fault
async def stop_gracefully(soak, rng, seconds):
    """Stop a process gracefully and start it again."""
    node = rng.choice(soak.nodes)
    if not await node.stop() and node.is_undisturbed:
        soak.ledger.report("a graceful stop ends in time", node.name)
    await asyncio.sleep(0.3)
    if not node.running:
        node.launch()


@fault
async def roll(soak, rng, seconds):
    """Restart all processes gracefully, one after the other."""
    for node in soak.nodes:
        await node.stop()
        if not node.running:
            node.launch()
        await asyncio.sleep(0.5)


@fault
async def pause(soak, rng, seconds):
    """Pause a process, then let it continue with its outdated state."""
    node = rng.choice(soak.nodes)
    node.record_disturbance()
    node.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        node.send_signal(signal.SIGCONT)
        node.record_disturbance()


@fault
async def cut_store_link(soak, rng, seconds):
    """Inject a fault into the link between one node and the store."""
    node = rng.choice(soak.nodes)
    node.record_disturbance()
    await _inject_link_fault([node.store_link], rng.choice(LINK_FAULTS), seconds)
    node.record_disturbance()


@fault
async def cut_machines_link(soak, rng, seconds):
    """Inject a fault into the links between all nodes and the machine API."""
    links = [node.machines_link for node in soak.nodes]
    await _inject_link_fault(links, rng.choice(LINK_FAULTS), seconds)


@fault
async def cut_node_off(soak, rng, seconds):
    """
    Isolate a node from the store and the machine API.

    If possible, the isolation starts while the node sends an order.
    """
    await wave(soak, rng, seconds)
    node = (
        await _silence_next_ordering_node(soak)
        or _node_of_last_holder(soak)
        or rng.choice(soak.nodes)
    )
    node.record_disturbance()
    links = [node.store_link, node.machines_link]
    await _inject_link_fault(links, LinkFault.SILENT, max(seconds, TAKEOVER_S))
    node.record_disturbance()


async def _silence_next_ordering_node(soak):
    """
    Silence the machine API link of the node that sends the next order.

    Return the node, or None if no node sends an order within ``ORDER_WAIT_S``.
    """
    order = asyncio.get_running_loop().create_future()
    for node in soak.nodes:
        node.machines_link.awaited_order = order
    try:
        link = await asyncio.wait_for(order, ORDER_WAIT_S)
    except TimeoutError:
        return None
    return next(node for node in soak.nodes if node.machines_link is link)


def _node_of_last_holder(soak):
    holder = soak.machines.last_holder
    return next((node for node in soak.nodes if node.name == holder), None)


@fault
async def cut_endpoints(soak, rng, seconds):
    """Inject a fault into the links to some endpoints, which keep running."""
    endpoints = rng.sample(soak.endpoints(), 3)
    proxies = [endpoint.proxy for endpoint in endpoints]
    await _inject_link_fault(proxies, rng.choice(LINK_FAULTS), seconds)


@fault
async def store_down(soak, rng, seconds):
    """Make the store refuse all requests."""
    soak.record_disturbance_of_all_nodes()
    soak.store.faults.down = True
    await asyncio.sleep(seconds)
    soak.store.faults.down = False
    soak.record_disturbance_of_all_nodes()


@fault
async def store_loses_answers(soak, rng, seconds):
    """Make the store lose responses and apply some transactions late."""
    soak.record_disturbance_of_all_nodes()
    soak.store.faults.lost_share = rng.uniform(0.1, 0.4)
    soak.store.faults.late_share = rng.choice([0.0, 0.15])
    await asyncio.sleep(seconds)
    soak.store.faults.lost_share = soak.store.faults.late_share = 0.0
    soak.record_disturbance_of_all_nodes()


@fault
async def store_slow(soak, rng, seconds):
    """Make the store respond slowly."""
    soak.record_disturbance_of_all_nodes()
    soak.store.faults.delay_s = rng.uniform(0.1, 0.25)
    await asyncio.sleep(seconds)
    soak.store.faults.delay_s = DEFAULT_DELAY_S
    soak.record_disturbance_of_all_nodes()


@fault
async def store_forgets_history(soak, rng, seconds):
    """Make the store discard its change history several times."""
    for _ in range(3):
        soak.store.forget_history()
        await asyncio.sleep(0.5)


@fault
async def crash_endpoints(soak, rng, seconds):
    """Crash some endpoints; new ones start on their hosts later."""
    names = rng.sample(sorted(soak.machines.hosts), 2)
    await asyncio.gather(*(soak.machines.crash(name) for name in names))


@fault
async def late_orders(soak, rng, seconds):
    """Make endpoints leave some calls unanswered and carry them out late."""
    endpoints = soak.endpoints()
    for endpoint in endpoints:
        endpoint.faults.late_share = 0.15
    await asyncio.sleep(seconds)
    for endpoint in endpoints:
        endpoint.faults.late_share = 0.0


@fault
async def drain_endpoint(soak, rng, seconds):
    """Make an endpoint report that it is draining, for a while."""
    endpoint = rng.choice(soak.endpoints())
    endpoint.draining = True
    await asyncio.sleep(seconds)
    endpoint.draining = False


@fault
async def wave(soak, rng, seconds):
    """Request maintenance of some hosts, one at a time; at most once in a soak."""
    if soak.waves:
        return
    hosts = rng.sample(sorted(soak.machines.hosts), 3)
    soak.waves.append(hosts)
    body = {"wave": 1, "machines": hosts, "duration_s": 20.0, "maximum": 1}
    value = base64.b64encode(msgspec.json.encode(body)).decode()
    soak.store.put("op", "", "wave/1", value)


@fault
async def configure(soak, rng, seconds):
    """Change the configuration a few times in quick succession."""
    for _ in range(3):
        soak.configure([ADDED_ROUTE | {"service": "alpha"}])
        await asyncio.sleep(0.3)
        soak.configure([])


@fault
async def reload(soak, rng, seconds):
    """
    Tell all processes that their settings file has changed.

    SIGHUP ends a process that has not installed its handlers yet, and the platform
    starts such a process again.
    """
    for node in soak.nodes:
        node.send_signal(signal.SIGHUP)
    await asyncio.sleep(RESTART_DELAY_S)
    for node in soak.nodes:
        if node.ended_by(signal.SIGHUP):
            node.record_disturbance()
            node.launch()


def _endpoints_up(soak):
    """Return the endpoints that are up and in a pool that gets work."""
    services = [queue.service for queue in soak.queues]
    return [e for e in soak.endpoints() if e.up and e.service in services]


async def _restart_endpoint(soak, rng, endpoint, outage_s=None):
    """Start an endpoint again under its id; its new entry may be stored later."""
    if outage_s is None:
        outage_s = rng.uniform(*ENDPOINT_OUTAGE_RANGE_S)
    entry_delay_s = rng.choice([0.0, rng.uniform(0.0, HEARTBEAT_INTERVAL_S)])
    shown_down = rng.random() < 0.5
    await soak.machines.restart_endpoint(endpoint, outage_s, entry_delay_s, shown_down)


@restart
async def restart_idle_endpoints(soak, rng, seconds):
    """
    Submit nothing to one service until two endpoints are idle, then restart those.

    The product does not call an idle endpoint, so it learns of this restart late.
    """
    service = rng.choice(soak.queues).service
    loop = asyncio.get_running_loop()
    until = loop.time() + max(seconds, QUIET_S)
    soak.callers.quiet_services.add(service)
    idle = []
    while len(idle) < 2 and loop.time() < until:
        await asyncio.sleep(IDLE_POLL_S)
        idle = [e for e in _endpoints_up(soak) if e.idle and e.service == service]
    await asyncio.gather(*(_restart_endpoint(soak, rng, each) for each in idle))
    soak.callers.quiet_services.discard(service)


@restart
async def restart_busy_endpoints(soak, rng, seconds):
    """Restart two endpoints that run tasks or hold ends to be acknowledged."""
    busy = [endpoint for endpoint in _endpoints_up(soak) if not endpoint.idle]
    chosen = rng.sample(busy, min(2, len(busy)))
    await asyncio.gather(*(_restart_endpoint(soak, rng, each) for each in chosen))


@restart
async def restart_repeatedly(soak, rng, seconds):
    """Restart the endpoint of one host several times in a row."""
    hosts = [endpoint.host for endpoint in _endpoints_up(soak)]
    if not hosts:
        return
    host = rng.choice(hosts)
    for _ in range(3):
        endpoint = soak.machines.hosts[host].endpoint
        if endpoint is not None:
            await _restart_endpoint(soak, rng, endpoint)
        await asyncio.sleep(rng.uniform(0.1, 1.5))


async def recut_endpoints(soak, rng):
    """
    Restart two busy endpoints of a service under their ids and soon cut them off.

    They leave calls unanswered before, which their later incarnations may carry out.
    All tasks of the service that begin before the cut are long. Sometimes the node that
    holds the shard is killed around the cut.
    """
    service = rng.choice(soak.queues).service
    up = [e for e in _endpoints_up(soak) if e.service == service]
    for endpoint in up:
        endpoint.faults.slowdown = LONG_TASK_SLOWDOWN
    await asyncio.sleep(RECUT_LOAD_S)
    busy = [e for e in up if e.up and not e.idle]
    chosen = rng.sample(busy, min(2, len(busy)))
    for endpoint in chosen:
        endpoint.faults.late_share = RECUT_LATE_SHARE
    await asyncio.sleep(rng.uniform(*UNANSWERED_RANGE_S))
    for endpoint in chosen:
        endpoint.faults.late_share = 0.0
    outage_s = rng.uniform(*RECUT_OUTAGE_RANGE_S)
    await asyncio.gather(
        *(_restart_endpoint(soak, rng, each, outage_s) for each in chosen)
    )
    run_on_s = rng.uniform(*RUN_ON_RANGE_S)
    kill_after_s = rng.uniform(0.0, 2 * run_on_s)
    kill = rng.random() < RECUT_KILL_SHARE
    killing = _kill_holder(soak, service, kill_after_s) if kill else asyncio.sleep(0)
    cut_s = rng.uniform(*CUT_RANGE_S)
    await asyncio.gather(killing, _cut_off(soak, chosen, up, run_on_s, cut_s))


async def trouble_orders(soak, rng):
    """Let orders for half of the hosts take no effect or get no answer for a while."""
    machines = soak.machines
    machines.trouble = rng.choice(ORDER_TROUBLES)
    machines.troubled_hosts = rng.sample(
        sorted(machines.hosts), len(machines.hosts) // 2
    )
    soak.ledger.log_event("order_trouble", kind=machines.trouble)
    await asyncio.sleep(rng.uniform(*ORDER_TROUBLE_RANGE_S))
    machines.trouble, machines.troubled_hosts = OrderTrouble.NONE, ()
    await asyncio.sleep(rng.uniform(*ORDER_CALM_RANGE_S))


async def _cut_off(soak, endpoints, slow, after_s, seconds):
    """Silence the links to endpoints; ``slow`` ones are of usual speed from then on."""
    await asyncio.sleep(after_s)
    names = ",".join(endpoint.endpoint_id for endpoint in endpoints)
    soak.ledger.log_event("cut_off", endpoints=names, seconds=seconds)
    for endpoint in slow:
        endpoint.faults.slowdown = 1.0
    links = [endpoint.proxy for endpoint in endpoints]
    await _inject_link_fault(links, LinkFault.SILENT, seconds)
    soak.ledger.log_event("cut_ended", endpoints=names)


async def _kill_holder(soak, service, after_s):
    """Kill the node that holds the shard of a service and start it again."""
    await asyncio.sleep(after_s)
    value = soak.store.value(CONTROL_TABLE, service, LEASE_KEY)
    holder = decode_lease(base64.b64decode(value)).holder if value else ""
    for node in soak.nodes:
        if node.name == holder:
            soak.ledger.log_event("holder_killed", node=holder, service=service)
            await _kill(node, TAKEOVER_S)
