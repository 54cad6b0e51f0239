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
    """Tracks whether the store responds, and logs only the changes."""

    def __init__(self):
        self._lock = threading.Lock()
        self._available = None

    @property
    def available(self):
        """Whether the last call succeeded; None before the first call."""
        return self._available

    def record(self, error=None):
        """Record the outcome of a call; ``error`` is None for success."""
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
        self._poll_count = 0
        self._table_behind = False

    def poll(self):
        """
        Read the log after the node's staged seq and pass the result to the node.

        With live peers every second poll is skipped while the store responds: a peer
        that learns of a new seq announces it at once, and a poll without new entries
        costs 0.8 kB.
        """
        seq, peers = self._node.ask(
            lambda node: (node.follower.staged_seq, len(node.members.live()))
        )
        self._poll_count += 1
        if peers and seq and self._poll_count % 2 and self._health.available:
            return
        try:
            read = self._log.read_after(seq)
        except PlatformError as error:
            self._health.record(error)
            return
        self._health.record()
        if read.head_seq < seq and not self._table_behind:
            log.error("table_behind", head_seq=read.head_seq, seq=seq)
        self._table_behind = read.head_seq < seq
        self._node.tell(lambda node: node.on_log_read(read))


class Registrar:
    """Registers attached senders: writes records, then reads the table."""

    def __init__(self, table, fleet_log, node, health):
        self._table = table
        self._log = fleet_log
        self._node = node
        self._health = health
        self._versions = {}

    def poll(self):
        """Write outdated records, then read the table for waiting registrations."""
        records, wanted = self._node.ask(
            lambda node: (node.records_to_write(), node.registrations_to_read())
        )
        try:
            for record in records:
                self._write_record(record)
            for name, incarnation in wanted:
                self._read_registration(name, incarnation)
        except PlatformError as error:
            self._health.record(error)

    def _write_record(self, record):
        version = self._versions.pop(record.name, None)
        if version is None:
            row = self._table.read([record.key]).get(record.key)
            version = row.version if row else 0
        try:
            versions = self._table.transact(
                [Write(record.key, record.to_row(), version)]
            )
        except ConflictError:
            self._node.ask(lambda node: node.on_record_conflict(record.name))
            return
        except StoreOutcomeUnknownError:
            # The next poll reads the row's version and writes the record again, whether
            # or not this write took effect.
            return
        self._versions[record.name] = versions[record.key]
        self._node.ask(lambda node: node.on_record_written(record))

    def _read_registration(self, name, incarnation):
        rows = self._table.scan(SENDER_PREFIX)
        senders = [SenderRecord.from_row(row.value).name for row in rows]
        seq = self._node.ask(lambda node: node.follower.staged_seq)
        read = self._log.read_after(seq)
        self._node.ask(
            lambda node: node.on_registration_read(name, incarnation, senders, read)
        )
