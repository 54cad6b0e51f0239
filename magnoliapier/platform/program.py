"""The program that the platform starts on each of its machines."""

import asyncio
import signal

import msgspec

from magnoliapier.exceptions import MagnoliapierError, MessageError
from magnoliapier.logs import configure_bounded_logs, get_logger
from magnoliapier.metrics import Metrics
from magnoliapier.platform import wire
from magnoliapier.platform.boot import changed_settings, load_boot_settings
from magnoliapier.platform.endpoints import HttpEndpointClient
from magnoliapier.platform.http import RenewableSession, open_session
from magnoliapier.platform.ingress import Ingress
from magnoliapier.platform.machines import CALL_TIMEOUT_MS, MachineClient
from magnoliapier.platform.store import TableStore
from magnoliapier.service.access import AccessControl
from magnoliapier.service.clock import boottime
from magnoliapier.service.incarnation import LeaseTerms
from magnoliapier.service.node import Node
from magnoliapier.service.watch import TableWatcher
from magnoliapier.state.rows import Put

OPERATOR_FEED_WAIT_S = 1.5
# Longer than a shard's takeover, so that leases of endpoints do not end during one. The
# tasks of a lost endpoint wait as long before they are started elsewhere.
ENDPOINT_LEASE_MS = 5500
DRAIN_TIME_S = 2.6  # two failed probes 1 s apart, and requests in progress
DRAIN_POLL_INTERVAL_S = 0.05
LOG_LINES_PER_S = 1500
# Final states are kept for this multiple of the platform's ``status_s``, as callers may
# repeat a submission after its state expired.
FINAL_RETENTION_FACTOR = 2

log = get_logger(__name__)


class Clients(msgspec.Struct):
    """
    The platform's clients and conversions that a node uses.

    ``endpoint_table`` names the table of endpoint rows, which ``decode_endpoint``
    decodes. ``wave_status`` returns the row that tells the operator a wave's state.
    """

    http: object
    store: TableStore
    endpoint_client: HttpEndpointClient
    machines: MachineClient
    endpoint_table: str
    decode_endpoint: object
    wave_status: object


class NodeSettings(msgspec.Struct):
    """
    The settings of a node.

    ``final_retention_s`` is how long final states of submissions are kept,
    ``host_order_gap_s`` the minimum time between two holders' orders for one host, and
    ``host_orders_per_s`` how many orders the platform accepts from all of them.
    """

    name: str
    peer_address: str
    endpoint_lease: LeaseTerms
    final_retention_s: float
    low_capacity: bool
    host_order_gap_s: float
    host_orders_per_s: float


def decode_endpoint(endpoint_id, data):
    """Return the record in an endpoint's row; raise MessageError if it is not one."""
    return wire.decode(wire.ServerBody, data).record(endpoint_id)


def wave_status(number, completed):
    """Return the write of the row that tells the operator a wave's state."""
    body = wire.WaveStatusBody("completed" if completed else "running")
    key = f"{wire.WAVE_PREFIX}{number}"
    return Put(wire.STATUS_TABLE, "", key, wire.encode(body))


class Program:
    """Runs one node with the platform's settings, clients and signals."""

    def __init__(self, boot):
        self._boot = boot
        self._stop = asyncio.Event()
        self._metrics = Metrics()
        self._session = open_session()
        self._store_session = RenewableSession(open_session)
        self._machines_session = open_session(CALL_TIMEOUT_MS)
        store = TableStore(
            self._store_session, boot.platform.address, boottime, self._metrics
        )
        clients = Clients(
            self._session,
            store,
            HttpEndpointClient(self._session, self._metrics),
            MachineClient(
                self._machines_session,
                boot.cloud_api.address,
                boot.node_name,
                self._metrics,
            ),
            wire.SERVERS_TABLE,
            decode_endpoint,
            wave_status,
        )
        settings = NodeSettings(
            name=boot.node_name,
            peer_address=boot.peer_address,
            endpoint_lease=LeaseTerms(
                min(boot.bounds.hold_max_ms, ENDPOINT_LEASE_MS),
                boot.bounds.hold_max_ms,
            ),
            final_retention_s=boot.bounds.status_s * FINAL_RETENTION_FACTOR,
            low_capacity=boot.limits.low_capacity,
            host_order_gap_s=boot.bounds.lease_ms / 1000,
            host_orders_per_s=boot.cloud_api.duty_per_s,
        )
        self._node = Node(clients, settings, self._metrics)
        self._operator = TableWatcher(
            store,
            wire.OPERATOR_TABLE,
            self._apply_operator_rows,
            wait_s=OPERATOR_FEED_WAIT_S,
            latest_only=True,
        )
        access = AccessControl(
            lambda: self._node.configuration,
            self._operator.refresh,
            boottime,
        )
        self._ingress = Ingress(
            self._node, access, boot.listen, self._metrics, boot.limits
        )

    async def run(self):
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log.info("started", node=self._boot.node_name)
        self._operator.start()
        await self._node.start()
        await self._ingress.start()
        await self._stop.wait()
        await self._drain()

    async def _drain(self):
        """
        Hand over the shards while callers are still answered, then stop.

        Nothing that a request may use is closed before the ingress.
        """
        log.info("stopping", node=self._boot.node_name)
        drain_until = boottime() + DRAIN_TIME_S
        await self._node.hand_over()
        while boottime() < drain_until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        # Waits for the requests in progress, but only once it takes no new callers.
        await self._ingress.close()
        await self._node.close()
        await self._operator.close()
        await self._session.close()
        await self._store_session.close()
        await self._machines_session.close()
        log.info("stopped", node=self._boot.node_name)

    def _reload(self):
        try:
            settings = load_boot_settings()
        except MagnoliapierError as error:
            log.error("reload_failed", error=error)
            return
        log.info("reloaded", node=self._boot.node_name)
        for name in changed_settings(self._boot, settings):
            log.warning(
                "setting_not_applied", setting=name, remedy="restart the process"
            )

    def _apply_operator_rows(self, rows, complete):
        for row in rows:
            try:
                self._apply_operator_row(row)
            except MessageError as error:
                log.error("unreadable_operator_row", key=row.key, error=error)

    def _apply_operator_row(self, row):
        if row.removed:
            return
        if row.key == wire.CONFIG_KEY:
            self._node.configure(
                wire.decode(wire.ConfigBody, row.value).configuration()
            )
        elif row.key.startswith(wire.WAVE_PREFIX):
            wave = wire.decode(wire.WaveBody, row.value).maintenance_wave()
            self._node.fleet.apply_wave(wave)


def main():
    """Run the program and return its exit status."""
    configure_bounded_logs(LOG_LINES_PER_S)
    try:
        boot = load_boot_settings()
    except MagnoliapierError as error:
        log.error("not_started", error=error)
        return error.exit_code
    asyncio.run(run(boot))
    return 0


async def run(boot):
    """Run the program inside an event loop."""
    await Program(boot).run()
