"""
Runs the planner while this control process holds the planner lease.

Each tick renews the lease, reads the log, the sender records and the host list, and
appends the planner's entries on condition that the lease and the log are unchanged.
"""

from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    PlatformError,
    StateOrderError,
    StoreOutcomeUnknownError,
)
from magnoliapier.fleet_log import fold
from magnoliapier.fleet_state import FleetState
from magnoliapier.logs import get_logger
from magnoliapier.ownership import SENDER_PREFIX, SenderRecord, SenderTable
from magnoliapier.planner import Planner, PlannerInputs, SenderRow
from magnoliapier.platform_api import HostStatus, Write

# Every sender must learn within 3 s that the host list shows a host as leaving, but
# each read of the list costs about 80 bytes for each host.
HOST_LIST_INTERVAL_S = 2.0
NOTE_PREFIX = "note/"
MAX_NOTES_WRITTEN = 8
# After a takeover many notes of the earlier planner may be outdated; at most this many
# are deleted in one tick.
MAX_NOTES_REMOVED = 32

log = get_logger(__name__)


class PlannerRunner:
    """Owns the planner lease, the planner and the notes of its last tick."""

    def __init__(self, platform, clock, fleet_log, lease, node, planner_factory=None):
        self._platform = platform
        self._clock = clock
        self._log = fleet_log
        self._lease = lease
        self._node = node
        self._planner_factory = planner_factory or (lambda: Planner(clock, platform))
        self._planner = None
        self._state = FleetState()
        self._senders = SenderTable(clock)
        self._sender_versions = {}
        self._listed_hosts = None
        self._listed_at = None
        self._notes = {}
        self._written_notes = {}

    @property
    def is_holder(self):
        """Whether this process holds the planner lease."""
        return self._lease.held

    def tick(self):
        """Renew or try to acquire the lease, and plan while it is held."""
        if not self._lease.tick():
            self._planner = None
            return
        if self._planner is None:
            self._take_over()
        try:
            self._plan()
        except (FencedError, StoreOutcomeUnknownError) as error:
            log.warning("planner_write_uncertain", error=error)
            self._lease.abandon()
        except ConflictError:
            log.debug("planner_write_conflict", seq=self._state.seq)
        except PlatformError as error:
            log.debug("planner_platform_error", error=error)

    def close(self):
        """Release the lease, so that another process can take it at once."""
        self._lease.release()

    def _take_over(self):
        self._planner = self._planner_factory()
        self._senders = SenderTable(self._clock)
        self._listed_at = None
        self._written_notes = None

    def _plan(self):
        if self._state.seq == 0:
            # Starting from the node's staged state saves a full read of the log.
            self._state = self._node.ask(lambda node: node.follower.staged)
        self._state = self._log.catch_up(self._state)
        self._read_host_list()
        rows = self._read_senders()
        self._remove_senders()
        inputs = PlannerInputs(
            state=self._state,
            demand=self._node.ask(lambda node: node.demand()),
            senders=rows,
            listed_hosts=self._listed_hosts,
            lease_epoch=self._lease.epoch,
            now=self._clock.time(),
        )
        output = self._planner.tick(inputs)
        self._notes = {note.subject: note.reason for note in output.notes}
        if output.entries:
            self._append(output.entries)
        if self._log.snapshot_due(self._state):
            self._log.write_snapshot(self._state, self._lease)
            log.info("snapshot_written", seq=self._state.seq)
        self._write_notes()

    def _append(self, items, writes=()):
        try:
            entries = self._log.append(
                self._state, items, lease=self._lease, writes=writes
            )
        except StateOrderError as error:
            log.error("planner_entries_refused", error=error)
            return
        self._state = fold(self._state, entries)
        self._node.tell(lambda node: node.offer_entries(entries))

    def _read_senders(self):
        rows = self._platform.table.scan(SENDER_PREFIX)
        records = [SenderRecord.from_row(row.value) for row in rows]
        self._sender_versions = {row.value["name"]: row.version for row in rows}
        self._senders.update(records)
        return [
            SenderRow(record.name, record.data_centre, record.applied, record.busy)
            for record in records
        ]

    def _read_host_list(self):
        now = self._clock.monotonic()
        if self._listed_at is not None and now - self._listed_at < HOST_LIST_INTERVAL_S:
            return
        try:
            self._listed_hosts = self._platform.hosts.hosts()
        except PlatformError as error:
            self._listed_hosts = None
            log.debug("host_list_unavailable", error=error)
            return
        self._listed_at = now
        self._senders.observe_host_list([host.name for host in self._listed_hosts])
        leaving = [
            host.name
            for host in self._listed_hosts
            if host.status is not HostStatus.LIVE
        ]
        self._node.tell(lambda node: node.record_leaving_hosts(leaving))

    def _remove_senders(self):
        for name in self._senders.removable():
            record = self._senders.records[name]
            items = [
                ("sender_removed", {"name": name, "incarnation": record.incarnation})
            ]
            # The row must still be the one that was read: a sender that registered
            # again in between is not removed.
            delete = Write(record.key, None, self._sender_versions[name])
            self._append(items, [delete])
            log.warning("sender_removed", sender=name)

    def _write_notes(self):
        table = self._platform.table
        if self._written_notes is None:
            self._written_notes = {
                row.key.removeprefix(NOTE_PREFIX): row.value["reason"]
                for row in table.scan(NOTE_PREFIX)
            }
        gone = [s for s in self._written_notes if s not in self._notes]
        changed = [
            subject
            for subject, reason in sorted(self._notes.items())
            if self._written_notes.get(subject) != reason
        ]
        writes = [Write(NOTE_PREFIX + s, None) for s in gone[:MAX_NOTES_REMOVED]]
        now = self._clock.time()
        for subject in changed[:MAX_NOTES_WRITTEN]:
            value = {"reason": self._notes[subject], "time": now}
            writes.append(Write(NOTE_PREFIX + subject, value))
        if not writes:
            return
        try:
            table.transact(writes, [self._lease.check()])
        except StoreOutcomeUnknownError:
            return
        except ConflictError:
            self._lease.abandon()
            return
        for write in writes:
            subject = write.key.removeprefix(NOTE_PREFIX)
            if write.value is None:
                del self._written_notes[subject]
            else:
                self._written_notes[subject] = write.value["reason"]
