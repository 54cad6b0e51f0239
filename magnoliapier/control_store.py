"""Store access of a control process: reading the log and registering senders."""

import threading

from magnoliapier.exceptions import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
)
from magnoliapier.logs import get_logger
from magnoliapier.ownership import SENDER_PREFIX, SenderRecord
from magnoliapier.platform_api import Write

log = get_logger(__name__)


class StoreHealth:
    """Logs once when the store stops or starts to answer."""

    def __init__(self):
        self._lock = threading.Lock()
        self._available = None

    @property
    def available(self):
        """Whether the last call was answered; None before the first call."""
        return self._available

    def record(self, error=None):
        """Take the outcome of a call."""
        available = error is None
        with self._lock:
            changed = self._available is not available
            first = self._available is None
            self._available = available
        if changed and not available:
            log.error("store_unavailable", error=error, action="retrying")
        elif changed and not first:
            log.info("store_available")


class LogReader:
    """Polls the log for the node."""

    def __init__(self, fleet_log, node, health):
        self._log = fleet_log
        self._node = node
        self._health = health
        self._turn = 0
        self._behind = False

    def poll(self):
        """
        Read what follows the node's staged seq and offer it.

        With live peers every second poll is left out: a peer that learns of a new
        seq announces it at once, and an idle poll costs 0.8 kB.
        """
        seq, peers = self._node.ask(
            lambda node: (node.follower.staged_seq, len(node.members.live()))
        )
        self._turn += 1
        if peers and seq and self._turn % 2 and self._health.available:
            return
        try:
            read = self._log.read_after(seq)
        except PlatformError as error:
            self._health.record(error)
            return
        self._health.record()
        if read.head_seq < seq and not self._behind:
            log.error("table_behind", head_seq=read.head_seq, seq=seq)
        self._behind = read.head_seq < seq
        self._node.tell(lambda node: node.on_log_read(read))


class Registrar:
    """Writes the records of attached senders and reads what eligibility needs."""

    def __init__(self, table, fleet_log, node, health):
        self._table = table
        self._log = fleet_log
        self._node = node
        self._health = health
        self._versions = {}

    def poll(self):
        """Write outdated records, then read senders and log where wanted."""
        records, wanted = self._node.ask(
            lambda node: (node.records_to_write(), node.registrations_to_read())
        )
        try:
            for record in records:
                self._write(record)
            for name, incarnation in wanted:
                self._read(name, incarnation)
        except PlatformError as error:
            self._health.record(error)

    def _write(self, record):
        version = self._versions.pop(record.name, None)
        if version is None:
            row = self._table.read([record.key]).get(record.key)
            version = row.version if row else 0
        try:
            versions = self._table.transact(
                [Write(record.key, record.to_row(), version)]
            )
        except ConflictError:
            self._node.ask(lambda node: node.on_record_lost(record.name))
            return
        except StoreOutcomeUnknownError:
            # The row is read and written again; the record is the same either way.
            return
        self._versions[record.name] = versions[record.key]
        self._node.ask(lambda node: node.on_record_written(record))

    def _read(self, name, incarnation):
        rows = self._table.scan(SENDER_PREFIX)
        senders = [SenderRecord.from_row(row.value).name for row in rows]
        seq = self._node.ask(lambda node: node.follower.staged_seq)
        read = self._log.read_after(seq)
        self._node.ask(
            lambda node: node.on_registration_read(name, incarnation, senders, read)
        )
