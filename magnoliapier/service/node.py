"""The process of one host, which answers callers and holds some of the shards."""

import asyncio
import uuid
from collections import Counter

import msgspec

from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks, report_failure
from magnoliapier.service.clock import boottime, unix_ms
from magnoliapier.service.directory import EndpointDirectory
from magnoliapier.service.entry import Entry
from magnoliapier.service.fleet import FleetController
from magnoliapier.service.fleet_view import FleetView
from magnoliapier.service.incarnation import LeaseTerms
from magnoliapier.service.leases import (
    FLEET_SHARD,
    LeaseDirectory,
    LeaseTaker,
    release,
)
from magnoliapier.service.peers import Peers, PeerServer
from magnoliapier.service.queue_services import QueueServices
from magnoliapier.service.shard import ShardController
from magnoliapier.service.store_probe import StoreProbe
from magnoliapier.service.watch import TableWatcher
from magnoliapier.state.lease import CONTROL_TABLE

CONTROL_WAIT_S = 1.0
# The gaps are delays between two calls that follow a table.
CONTROL_GAP_S = 0.6
HOLDER_CONTROL_GAP_S = 0.25  # what a pool releases depends on other pools' needs
FLEET_CONTROL_GAP_S = 0.1  # pools that want hosts are waiting
# A host without a service's shard starts no runs. It reads what has changed when it
# takes one.
ENDPOINT_GAP_S = 10.0
HOLDER_ENDPOINT_GAP_S = 0.15  # endpoints of moved hosts are needed at once
BALANCE_INTERVAL_S = 4.0  # between offers of a shard to hosts with fewer shards
# A shard that this host has to take back after an offer is not offered again: no other
# host was better placed to take it.
MAX_OFFERS_PER_SHARD = 1
STORE_SILENCE_S = 2.5  # a host is not ready after so long without an answer

log = get_logger(__name__)


class Identity(msgspec.Struct, frozen=True):
    """
    Identifies this process in leases; ``address`` is where it answers other hosts.

    A host with ``low_capacity`` takes a shard only if no host with more capacity does.
    """

    holder: str
    process: str
    address: str
    low_capacity: bool = False


def no_organisations():
    """Return the organisations of a configuration that declares none."""
    return ()


class ShardDependencies(msgspec.Struct):
    """
    The dependencies of every shard controller.

    ``endpoint_lease`` holds the LeaseTerms of endpoints, and ``final_retention_s`` is
    how long final states of submissions are kept. ``organisations()`` returns those of
    the configuration in force.
    """

    store: object
    endpoint_client: object
    directory: EndpointDirectory
    refresh_endpoints: object
    boottime: object
    metrics: object
    queue_named: object
    fleet: object
    endpoint_lease: LeaseTerms
    final_retention_s: float
    organisations: object = no_organisations


class FleetDependencies(msgspec.Struct):
    """
    The dependencies of the fleet controller.

    ``wave_status(number, completed)`` returns the Put of the row in which operators
    read a wave's state. ``host_order_gap_s`` is the minimum time between two holders'
    orders for one host, and ``host_orders_per_s`` how many orders the platform accepts
    from all of them.
    """

    store: object
    machines: object
    boottime: object
    metrics: object
    wave_status: object
    host_order_gap_s: float
    host_orders_per_s: float


class Node:
    """
    Creates, starts and stops the parts of one process.

    The platform adapter passes in the clients, the name of the table that endpoints
    write to and the function that decodes its rows. It calls ``configure`` with each
    configuration.
    """

    def __init__(self, clients, settings, metrics):
        self.metrics = metrics
        self.configuration = None
        self.leases = LeaseDirectory(boottime)
        self.fleet = FleetView(
            lambda: self.configuration, boottime, clients.store.table_clock
        )
        self.stopping = False
        self._store = clients.store
        self._settings = settings
        self._shards = {}
        self._background_tasks = set()
        self._start_of_taking = None
        self._identity = Identity(
            settings.name,
            uuid.uuid4().hex,
            settings.peer_address,
            settings.low_capacity,
        )
        self._peers = Peers(clients.http, self.leases, self._shards.get)
        self._probe = StoreProbe(clients.store, boottime)
        self._queue_services = QueueServices(clients.store)
        self.entry = Entry(
            clients.store,
            self._peers,
            self._probe,
            self._queue_services,
            boottime,
            metrics,
        )
        self._peer_server = PeerServer(settings.peer_address, self._shards.get)
        self._directory = EndpointDirectory(clients.decode_endpoint, boottime)
        self._endpoint_watcher = TableWatcher(
            clients.store,
            clients.endpoint_table,
            self._directory.apply,
            gap_s=ENDPOINT_GAP_S,
        )
        self._control_watcher = TableWatcher(
            clients.store,
            CONTROL_TABLE,
            self._apply_control,
            parts=None,
            wait_s=CONTROL_WAIT_S,
            gap_s=CONTROL_GAP_S,
        )
        self._lease_taker = LeaseTaker(
            clients.store,
            self.leases,
            self._identity,
            boottime,
            self._wanted_shards,
            lambda: self._control_watcher.available_since,
            self._shard_taken,
        )
        self._dependencies = ShardDependencies(
            clients.store,
            clients.endpoint_client,
            self._directory,
            self._endpoint_watcher.refresh,
            boottime,
            metrics,
            self._queue_named,
            self.fleet,
            settings.endpoint_lease,
            settings.final_retention_s,
            self._organisations,
        )
        self._fleet_dependencies = FleetDependencies(
            clients.store,
            clients.machines,
            boottime,
            metrics,
            clients.wave_status,
            settings.host_order_gap_s,
            settings.host_orders_per_s,
        )

    async def start(self):
        """Start all parts."""
        await self._peer_server.start()
        self._control_watcher.start()
        self._start_of_taking = self._spawn(
            "start_taking_shards", self._start_taking_shards()
        )

    async def _start_taking_shards(self):
        await self._control_watcher.loaded.wait()
        self._endpoint_watcher.start()
        await self._endpoint_watcher.loaded.wait()
        self._lease_taker.start()
        self._spawn("balance", self._balance())

    async def _balance(self):
        """Offer shards to other hosts while this one holds several."""
        offers = Counter()
        while not self.stopping:
            await asyncio.sleep(BALANCE_INTERVAL_S)
            shards = [s for s in self._shards if s != FLEET_SHARD]
            offered = [s for s in shards if offers[s] < MAX_OFFERS_PER_SHARD]
            if len(shards) > 1 and offered:
                offers[offered[-1]] += 1
                await self._offer(offered[-1])

    async def _offer(self, service):
        """Release a shard and leave it to other hosts for a while."""
        shard = self._shards[service]
        if not shard.loaded or not shard.may_act():
            return
        log.info("shard_offered", shard=service)
        del self._shards[service]
        self._set_intervals()
        await shard.close()
        await release(self._store, service, shard.lease)
        self._lease_taker.offer(service)

    async def hand_over(self):
        """
        Release the shards and take no others.

        What answers callers goes on until ``close``: the probe of the store, and the
        leases, which name the hosts that have taken the shards.
        """
        self.stopping = True
        await cancel_tasks(self._start_of_taking)
        await self._lease_taker.close()
        for service, shard in list(self._shards.items()):
            await shard.close()
            if shard.may_act():
                await release(self._store, service, shard.lease)
        self._shards.clear()
        self._set_intervals()
        await self._endpoint_watcher.close()

    async def close(self):
        """Stop all parts, after ``hand_over`` and when no caller waits any more."""
        await self._control_watcher.close()
        await self._probe.close()
        await self._peer_server.close()

    @property
    def ready(self):
        """Return whether callers should be sent to this host."""
        answered = self._store.last_answer_at
        return (
            self.configuration is not None
            and not self.stopping
            and not self._probe.silent
            and self._control_watcher.loaded.is_set()
            and answered is not None
            and boottime() - answered < STORE_SILENCE_S
        )

    def configure(self, configuration):
        """Apply a configuration if it is newer than the current one."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.metrics.gauge("configuration_version", configuration.version)
        self.metrics.gauge("configured_at_seconds", unix_ms() / 1000)
        log.info(
            "configured",
            version=configuration.version,
            queues=len(configuration.queues),
        )

    def _queue_named(self, name):
        if self.configuration is None:
            return None
        return self.configuration.queue_named(name)

    def _organisations(self):
        return self.configuration.organisations if self.configuration else ()

    def _wanted_shards(self):
        """Return the shards of the fleet and of services that queues have or had."""
        if self.configuration is None:
            return []
        services = {queue.service for queue in self.configuration.queues}
        services |= self._queue_services.all()
        return [FLEET_SHARD, *sorted(services)]

    def _shard_taken(self, service, lease):
        if service == FLEET_SHARD:
            shard = FleetController(
                lease, self._fleet_dependencies, self.fleet, self._shard_lost
            )
        else:
            shard = ShardController(
                service, lease, self._dependencies, self._shard_lost
            )
        self._shards[service] = shard
        self.metrics.count("shards_taken_total", shard=service)
        self._set_intervals()
        shard.start()

    def _set_intervals(self):
        """Set how often tables are read; holders of shards need newer data."""
        if FLEET_SHARD in self._shards:
            self._control_watcher.gap_s = FLEET_CONTROL_GAP_S
        elif self._shards:
            self._control_watcher.gap_s = HOLDER_CONTROL_GAP_S
        else:
            self._control_watcher.gap_s = CONTROL_GAP_S
        holds_service = any(shard != FLEET_SHARD for shard in self._shards)
        gap_s = HOLDER_ENDPOINT_GAP_S if holds_service else ENDPOINT_GAP_S
        self._endpoint_watcher.gap_s = gap_s

    def _shard_lost(self, shard):
        if self._shards.get(shard.service) is shard:
            del self._shards[shard.service]
            self._lease_taker.mark_released(shard.service)
            self._set_intervals()
        self._spawn("close_shard", shard.close())

    def _apply_control(self, rows, complete):
        self.leases.apply(rows, complete)
        self.fleet.apply(rows, complete)
        self._queue_services.apply(rows)

    def _spawn(self, name, coroutine):
        task = asyncio.create_task(coroutine, name=name)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_task_ended)
        return task

    def _background_task_ended(self, task):
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            report_failure(task.get_name(), task.exception(), self.metrics)
