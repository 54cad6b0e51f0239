"""Runs control nodes and simulated entry processes in virtual time and one thread."""

import random

from magnoliapier.clock import VirtualClock
from magnoliapier.control_node import Node
from magnoliapier.control_store import LogReader, Registrar, StoreHealth
from magnoliapier.fleet_log import FleetLog
from magnoliapier.fleet_state import FleetState
from magnoliapier.manifest import canonical_json
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.messages import EntryReport, PullRequest, SnapshotOffer
from magnoliapier.ownership import allowed_hosts
from magnoliapier.settings import PeerSettings

STEP_S = 0.1


class DirectHandle:
    """Calls the owned value at once, in place of an actor."""

    def __init__(self, owned):
        self.owned = owned

    def ask(self, call):
        return call(self.owned)

    tell = ask


class EntryHost:
    """A control node, its store access and its entry process."""

    def __init__(self, fleet, name, data_centre):
        self.fleet, self.name, self.data_centre = fleet, name, data_centre
        self.incarnation = 0
        self.busy = set()
        self.leaving = []
        self.paused = self.store_cut = self.control_down = False
        self.serving_host = self
        self.start_control()
        self.start_entry()

    def start_control(self):
        fleet = self.fleet
        seeds = [
            PeerSettings(name=name, data_centre=centre, address=f"127.0.0.1:{number}")
            for number, (name, centre) in enumerate(fleet.centres.items(), 1)
        ]
        fleet.last_incarnation += 1
        self.node = Node(
            fleet.clock,
            self.name,
            self.data_centre,
            seeds,
            random.Random(fleet.last_incarnation),
            fleet.last_incarnation,
        )
        handle, health = DirectHandle(self.node), StoreHealth()
        self.reader = LogReader(fleet.log, handle, health)
        self.registrar = Registrar(fleet.platform.table, fleet.log, handle, health)

    def start_entry(self):
        self.fleet.last_incarnation += 1
        self.incarnation = self.fleet.last_incarnation
        self.state = FleetState()
        self.busy = set()
        self.view = None

    def find_serving_host(self):
        """Return the host whose control process serves this entry process."""
        if not self.control_down:
            return self
        for host in self.fleet.hosts.values():
            if host.data_centre == self.data_centre and not host.is_silent:
                return host
        return None

    @property
    def is_silent(self):
        return self.paused or self.control_down

    def report(self):
        serving_host = self.find_serving_host()
        if serving_host is None:
            return
        if serving_host is not self.serving_host and not self.serving_host.is_silent:
            self.serving_host.node.on_detach(self.name)
        self.serving_host = serving_host
        node = serving_host.node
        if self.state.seq > node.state.seq:
            snapshot = canonical_json(self.state.to_values())
            node.on_snapshot_offer(SnapshotOffer(snapshot=snapshot))
        node.on_report(
            EntryReport(
                self.name,
                self.incarnation,
                self.state.seq,
                busy_hosts=sorted(self.busy),
                leaving_hosts=self.leaving,
            )
        )
        view = node.peer_view(self.name)
        now = self.fleet.clock.monotonic()
        self.eligible = view.eligible
        self.grants = {
            grant.data_centre: ExpiringGrant(grant.seq, now + grant.remaining_ms / 1000)
            for grant in view.grants
        }
        self.state = max(self.state, node.state, key=lambda state: state.seq)
        self.view = view

    def allowed(self):
        if self.view is None:
            return set()
        now = self.fleet.clock.monotonic()
        hosts = allowed_hosts(
            self.state, self.data_centre, self.eligible, self.grants, now
        )
        return hosts - set(self.view.leaving_hosts)

    def pools_in_use(self):
        """Return (host, pool) of each host that this entry process uses or may use."""
        usable = self.allowed() | self.busy
        return {
            (host, self.state.assignments[host].pool)
            for host in usable
            if host in self.state.assignments
        }


class ExpiringGrant:
    def __init__(self, seq, expires):
        self.seq, self.expires = seq, expires


class Fleet:
    """Entry hosts, the network between them, which can be cut, and one platform."""

    def __init__(self, centres):
        self.clock = VirtualClock(1000.0)
        self.platform = MemoryPlatform(self.clock)
        self.log = FleetLog(self.platform, self.clock, "test")
        self.centres = centres
        self.last_incarnation = 0
        self.cuts = set()
        self.hosts = {name: EntryHost(self, name, dc) for name, dc in centres.items()}
        self.by_address = {
            f"127.0.0.1:{number}": host
            for number, host in enumerate(self.hosts.values(), 1)
        }
        self.steps = 0

    def isolate(self, data_centre):
        """Cut a data centre off from the others and from the platform."""
        inside = {n for n, centre in self.centres.items() if centre == data_centre}
        for name, host in self.hosts.items():
            host.store_cut = name in inside
        self.cuts = {
            (a, b)
            for a in self.centres
            for b in self.centres
            if (a in inside) != (b in inside)
        }

    def heal(self):
        self.cuts = set()
        for host in self.hosts.values():
            host.store_cut = host.paused = host.control_down = False

    def run(self, seconds, check=lambda: None):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.steps += 1
            for host in self.hosts.values():
                if not host.paused:
                    self.step(host)
            check()

    def step(self, host):
        if not host.control_down:
            self.step_control(host)
        if self.steps % 3 == 0:
            host.report()

    def step_control(self, host):
        if self.steps % 5 == 0 and not host.store_cut:
            host.reader.poll()
            host.registrar.poll()
        actions = host.node.tick()
        for address, heartbeat in actions.heartbeats:
            target = self.by_address[address]
            if (host.name, target.name) not in self.cuts and not target.is_silent:
                target.node.on_heartbeat(heartbeat, self.address_of(host))
        if actions.pull:
            self.pull(host, *actions.pull)

    def pull(self, host, address, seq):
        source = self.by_address[address]
        cut = {(host.name, source.name), (source.name, host.name)} & self.cuts
        if cut or source.is_silent:
            host.node.on_pull_failed()
        else:
            reply = source.node.on_pull(PullRequest(host.name, seq))
            host.node.on_pull_reply(reply)

    def address_of(self, host):
        return next(a for a, other in self.by_address.items() if other is host)

    def append(self, *items):
        """Append to the log as an operator would."""
        return self.log.append(self.log.catch_up(FleetState()), items)
