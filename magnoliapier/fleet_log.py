"""
The fleet log in the table service: append, read, commit, snapshot and follow.

``log/head`` is ``{seq, snapshot, oldest}`` and ``log/<seq>`` one entry. An append is
one transaction that is conditional on the head, so the table orders the entries.

Example::

    log = FleetLog(platform, clock, "entry-1")
    state = log.catch_up(FleetState())
    log.append(state, [("cancel", {"name": "job-7", "what": "job"})])
"""

import json
import uuid
from collections import deque
from dataclasses import dataclass, field

from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    ManifestConflictError,
    ManifestError,
    StateOrderError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.leases import LEASE_KEY
from magnoliapier.logs import get_logger
from magnoliapier.manifest import (
    Problem,
    canonical_json,
    digest,
    make_patch,
    merge_patch,
)
from magnoliapier.platform_api import Write

HEAD_KEY = "log/head"
ENTRY_PREFIX = "log/"
SNAPSHOT_PREFIX = "snapshot/"
SNAPSHOT_INTERVAL = 512
# Entries kept before the newest snapshot, so that a writer whose answer was lost can
# still find its entry.
ENTRIES_BEFORE_SNAPSHOT = 64
READ_BATCH = 256
WRITE_ATTEMPTS = 5
RETRY_DELAY_S = 0.1
MAX_CONFLICT_ATTEMPTS = 20
SOLO_ACTIVATION_DELAY_S = 0.5
MAX_RECENT_ENTRIES = 1024
MAX_PATHS_LISTED = 8

log = get_logger(__name__)


def entry_key(seq):
    """Return the key of the row of entry ``seq``."""
    return f"{ENTRY_PREFIX}{seq:012d}"


def snapshot_name(seq):
    """Return the name of the snapshot object at ``seq``."""
    return f"{SNAPSHOT_PREFIX}{seq:012d}"


@dataclass(frozen=True)
class Head:
    """
    The row ``log/head``: the seq of the newest entry, newest snapshot and oldest entry.

    ``version`` is the version of the row, 0 for an empty log.
    """

    seq: int = 0
    snapshot: int = 0
    oldest: int = 1
    version: int = 0

    def to_row(self, **changes):
        """Return the JSON value of the row with ``changes``."""
        value = {"seq": self.seq, "snapshot": self.snapshot, "oldest": self.oldest}
        return {**value, **changes}

    @classmethod
    def from_rows(cls, rows):
        """Build the head from the rows of a read that included HEAD_KEY."""
        row = rows.get(HEAD_KEY)
        return cls(**row.value, version=row.version) if row else cls()


@dataclass(frozen=True)
class LogRead:
    """A snapshot if one was needed, the entries after it, and the head's seq."""

    head_seq: int
    snapshot: FleetState | None = None
    entries: list = field(default_factory=list)


def fold(state, entries):
    """Return a copy of ``state`` with ``entries`` applied."""
    result = state.copy()
    for entry in entries:
        result.apply(entry)
    return result


class FleetLog:
    """
    One writer's access to the fleet log.

    ``author`` is recorded in each entry. Reads raise StoreUnavailableError.
    """

    def __init__(self, platform, clock, author):
        self._table = platform.table
        self._objects = platform.objects
        self._clock = clock
        self._author = author

    def read_after(self, seq):
        """Return a :class:`LogRead` of everything after ``seq``."""
        rows = self._table.read([HEAD_KEY, entry_key(seq + 1)])
        head = Head.from_rows(rows)
        if head.seq <= seq:
            return LogRead(head.seq)
        if head.seq == seq + 1 and entry_key(head.seq) in rows:
            entry = LogEntry.from_row(rows[entry_key(head.seq)].value)
            return LogRead(head.seq, None, [entry])
        entries = []
        if head.oldest <= seq + 1:
            entries = self._read_entries(seq + 1, head.seq)
        if len(entries) == head.seq - seq:
            return LogRead(head.seq, None, entries)
        return self._read_from_snapshot()

    def catch_up(self, state):
        """Return the state at the head of the log, starting from ``state``."""
        read = self.read_after(state.seq)
        return fold(read.snapshot or state, read.entries)

    def retained_entries(self):
        """Return all entries that the table still holds, in order."""
        head = Head.from_rows(self._table.read([HEAD_KEY]))
        return self._read_entries(head.oldest, head.seq)

    def append(self, state, items, lease=None, author=None, entry_ids=(), writes=()):
        """
        Append entries after ``state`` and return them.

        ``items`` are (kind, body) pairs, which are applied to a copy of the state
        first, so that an entry that followers would refuse is never written.
        ``lease`` fences the write. ``writes`` go into the same transaction.

        Raise StateOrderError for an entry that does not fit the state, ConflictError
        if another entry was appended after ``state``, FencedError if the lease was
        lost, StoreUnavailableError if nothing was written, and StoreOutcomeUnknownError
        if it is unknown whether the entries were written.
        """
        entries = self._build_entries(state, items, lease, author, entry_ids)
        fold(state, entries)
        head = Head.from_rows(self._table.read([HEAD_KEY]))
        if head.seq != state.seq:
            raise ConflictError({HEAD_KEY: None})
        self._write_entries(head, entries, lease, writes)
        return entries

    def commit_manifest(self, state, values, base_version, author=None, commit_id=""):
        """
        Commit ``values`` as the version after ``base_version``.

        Return the state after the commit and the list of entries that were read or
        written meanwhile. Nothing is written if the manifest is unchanged or
        ``commit_id`` was committed before. Raise ManifestConflictError, with
        ``version`` and ``changes``, if other commits came after ``base_version``.
        """
        commit_id = commit_id or uuid.uuid4().hex
        entries_read = []
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            read = self.read_after(state.seq)
            state = fold(read.snapshot or state, read.entries)
            entries_read.extend(read.entries)
            if state.manifest_version != base_version:
                return self._resolve_commit_conflict(
                    state, base_version, commit_id, entries_read
                )
            patch = make_patch(state.manifest_values, values)
            if not patch:
                return state, entries_read
            check_patch(state.manifest_values, patch, values)
            body = {"patch": patch, "digest": digest(values)}
            try:
                entries = self.append(
                    state,
                    [("manifest_commit", body)],
                    author=author,
                    entry_ids=[commit_id],
                )
            except ConflictError:
                continue
            return fold(state, entries), entries_read + entries
        raise StoreUnavailableError("Too many writers at once; commit again.")

    def write_snapshot(self, state, lease):
        """
        Store ``state`` as a snapshot and record it in the head.

        The previous snapshot and the entries more than ENTRIES_BEFORE_SNAPSHOT before
        ``state`` are then deleted. If a step fails, the next snapshot updates the head
        and deletes the entries; a snapshot object that was not deleted stays in the
        object store.

        Raise StoreUnavailableError if the snapshot cannot be read back, and FencedError
        if the lease was lost.
        """
        data = canonical_json(state.to_values())
        name = snapshot_name(state.seq)
        try:
            self._objects.put(name, data)
        except StoreOutcomeUnknownError:
            log.info("snapshot_answer_lost", seq=state.seq)
        if self._objects.get(name) != data:
            raise StoreUnavailableError("The snapshot is not readable; write it again.")
        previous = self._update_head(lease, snapshot=state.seq)
        self._delete_before(state.seq - ENTRIES_BEFORE_SNAPSHOT, lease)
        if previous.snapshot and previous.snapshot != state.seq:
            self._objects.delete(snapshot_name(previous.snapshot))

    def snapshot_due(self, state):
        """Return whether SNAPSHOT_INTERVAL entries follow the last snapshot."""
        head = Head.from_rows(self._table.read([HEAD_KEY]))
        return state.seq - head.snapshot >= SNAPSHOT_INTERVAL

    def _build_entries(self, state, items, lease, author, entry_ids):
        ids = list(entry_ids) or [uuid.uuid4().hex for _ in items]
        return [
            LogEntry(
                state.seq + number,
                kind,
                body,
                entry_id,
                author or self._author,
                self._clock.time(),
                lease.epoch if lease else None,
            )
            for number, ((kind, body), entry_id) in enumerate(
                zip(items, ids, strict=True), 1
            )
        ]

    def _write_entries(self, head, entries, lease, writes):
        may_be_written = False
        for _ in range(WRITE_ATTEMPTS):
            failure = self._try_write(head, entries, lease, writes)
            if failure is None:
                return
            if isinstance(failure, StoreUnavailableError) and not may_be_written:
                raise failure
            may_be_written |= isinstance(failure, StoreOutcomeUnknownError)
            if isinstance(failure, ConflictError) and not may_be_written:
                self._raise_conflict(failure, head)
            try:
                rows = self._table.read([HEAD_KEY, entry_key(entries[0].seq)])
            except StoreUnavailableError:
                self._clock.sleep(RETRY_DELAY_S)
                continue
            row = rows.get(entry_key(entries[0].seq))
            if row is not None:
                if row.value["id"] == entries[0].entry_id:
                    return
                raise ConflictError({HEAD_KEY: rows[HEAD_KEY]})
            current_head = Head.from_rows(rows)
            if current_head.seq != head.seq:
                break
            if isinstance(failure, ConflictError):
                self._raise_conflict(failure, current_head)
            # The retry uses the same entry ids: if the lost write is applied first,
            # the retry conflicts and the next read finds its entry.
            head = current_head
            self._clock.sleep(RETRY_DELAY_S)
        raise StoreOutcomeUnknownError(
            f"Whether entry {entries[0].entry_id} was written as {entries[0].seq} is "
            "unknown; look for its id in the history before repeating it."
        )

    def _try_write(self, head, entries, lease, writes):
        transaction = [
            Write(HEAD_KEY, head.to_row(seq=entries[-1].seq), head.version),
            *(Write(entry_key(entry.seq), entry.to_row(), 0) for entry in entries),
            *writes,
        ]
        try:
            self._table.transact(transaction, [lease.check()] if lease else [])
        except (
            ConflictError,
            StoreOutcomeUnknownError,
            StoreUnavailableError,
        ) as error:
            return error
        return None

    def _raise_conflict(self, conflict, head):
        if LEASE_KEY in conflict.rows:
            raise FencedError(
                "Another process took the planner lease; stop planning."
            ) from None
        raise conflict

    def _read_entries(self, first, last):
        entries = []
        for start in range(first, last + 1, READ_BATCH):
            end = min(start + READ_BATCH, last + 1)
            keys = [entry_key(seq) for seq in range(start, end)]
            rows = self._table.read(keys)
            if len(rows) != len(keys):
                return []
            entries.extend(LogEntry.from_row(rows[key].value) for key in keys)
        return entries

    def _read_from_snapshot(self):
        head = Head.from_rows(self._table.read([HEAD_KEY]))
        data = self._objects.get(snapshot_name(head.snapshot))
        if data is None:
            raise StoreUnavailableError(
                f"Snapshot {head.snapshot} is not in the object store; try again."
            )
        snapshot = FleetState.from_values(json.loads(data))
        entries = self._read_entries(snapshot.seq + 1, head.seq)
        if len(entries) != head.seq - snapshot.seq:
            raise StoreUnavailableError(
                "Log entries were deleted during the read; try again."
            )
        return LogRead(head.seq, snapshot, entries)

    def _resolve_commit_conflict(self, state, base_version, commit_id, entries_read):
        entries = self.retained_entries()
        if any(entry.entry_id == commit_id for entry in entries):
            return state, entries_read
        changes = commits_between(entries, state, base_version)
        error = ManifestConflictError(
            f"Version {base_version} is not the newest; version "
            f"{state.manifest_version} is. Since then: {describe_commits(changes)}. "
            "Rebase the change on the newest version."
        )
        error.version = state.manifest_version
        error.changes = changes
        raise error

    def _update_head(self, lease, writes=(), **changes):
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            head = Head.from_rows(self._table.read([HEAD_KEY]))
            row = Write(HEAD_KEY, head.to_row(**changes), head.version)
            try:
                self._table.transact([row, *writes], [lease.check()])
            except ConflictError as error:
                if LEASE_KEY in error.rows:
                    self._raise_conflict(error, head)
                continue
            except StoreOutcomeUnknownError:
                continue
            return head
        raise StoreUnavailableError("Too many writers at once; try again.")

    def _delete_before(self, seq, lease):
        oldest = Head.from_rows(self._table.read([HEAD_KEY])).oldest
        while oldest < seq:
            end = min(oldest + READ_BATCH, seq)
            deletes = [
                Write(entry_key(deleted_seq), None)
                for deleted_seq in range(oldest, end)
            ]
            self._update_head(lease, deletes, oldest=end)
            oldest = end


def check_patch(old, patch, new):
    """
    Raise ManifestError if ``patch`` does not turn ``old`` into ``new``.

    A merge patch cannot set a value to null, because null removes the key.
    """
    if merge_patch(old, patch) != new:
        raise ManifestError(
            [Problem("$", "The manifest holds null.", "Leave out keys that are null.")]
        )


def changed_paths(patch, prefix=""):
    """Return the JSON paths that a merge patch touches, two levels deep."""
    paths = []
    for key, value in sorted(patch.items()):
        path = f"{prefix}{key}"
        if isinstance(value, dict) and value and not prefix:
            paths.extend(changed_paths(value, f"{path}."))
        else:
            paths.append(path)
    return paths


def list_commits(entries, state):
    """
    Return the commits among ``entries``, which end at ``state``, as dicts.

    Each has version, seq, id, author, time and the changed paths.
    """
    commits = [
        entry
        for entry in entries
        if entry.kind == "manifest_commit" and entry.seq <= state.seq
    ]
    first = state.manifest_version - len(commits) + 1
    return [
        {
            "version": version,
            "seq": entry.seq,
            "id": entry.entry_id,
            "author": entry.author,
            "time": entry.time,
            "changed": changed_paths(entry.body["patch"]),
        }
        for version, entry in enumerate(commits, first)
    ]


def commits_between(entries, state, base_version):
    """Return the commits after ``base_version``, oldest first."""
    return [
        commit
        for commit in list_commits(entries, state)
        if commit["version"] > base_version
    ]


def summarise_paths(paths):
    """Return the first paths as text, with the number of paths left out."""
    text = ", ".join(paths[:MAX_PATHS_LISTED])
    others = len(paths) - MAX_PATHS_LISTED
    return f"{text} and {others} more" if others > 0 else text


def describe_commits(commits):
    """Return commits as one line of text."""
    if not commits:
        return "the commits are no longer in the log"
    return "; ".join(
        f"version {commit['version']} by {commit['author']} changed "
        f"{summarise_paths(commit['changed'])}"
        for commit in commits
    )


class LogFollower:
    """
    The state in force and the staged state of one control process.

    A new seq is staged first. It comes into force once another live control process
    of the data centre has staged it too, or once no other one has been live for
    SOLO_ACTIVATION_DELAY_S after the staging. Neither the seq in force nor the staged
    seq ever decreases.
    """

    def __init__(self, clock):
        self._clock = clock
        self._state = FleetState()
        self._staged = self._state
        self._pending = deque()
        self._staged_at = clock.monotonic()
        self._no_peer_since = None
        self._recent = deque(maxlen=MAX_RECENT_ENTRIES)

    @property
    def state(self):
        """The :class:`FleetState` in force; its seq is 0 before there is one."""
        return self._state

    @property
    def staged(self):
        """The newest state that this process holds."""
        return self._staged

    @property
    def staged_seq(self):
        """The newest seq that this process holds."""
        return self._staged.seq

    def offer_entries(self, entries):
        """
        Stage the entries that follow the staged state; return whether any did.

        Staging stops at a gap and at an entry that cannot be applied.
        """
        before = self._staged.seq
        following = [entry for entry in entries if entry.seq > before]
        for entry in following:
            if entry.seq != self._staged.seq + 1:
                break
            try:
                staged = fold(self._staged, [entry])
            except (StateOrderError, KeyError, ManifestError) as error:
                log.error("entry_refused", seq=entry.seq, error=error)
                break
            self._staged = staged
            self._pending.append((entry, staged))
            self._recent.append(entry)
            self._staged_at = self._clock.monotonic()
        return self._staged.seq > before

    def offer_state(self, state):
        """Stage a complete state if it is newer; return whether it was."""
        if state.seq <= self._staged.seq:
            return False
        self._staged = state
        self._pending.clear()
        self._pending.append((None, state))
        self._recent.clear()
        self._staged_at = self._clock.monotonic()
        return True

    def activate_up_to(self, seq):
        """Put staged entries up to ``seq`` in force; return whether any were."""
        before = self._state.seq
        while self._pending and self._pending[0][1].seq <= seq:
            self._state = self._pending.popleft()[1]
        return self._state.seq > before

    def activate(self, peer_staged):
        """
        Put staged entries in force; return whether the state in force changed.

        ``peer_staged`` is the highest staged seq of the live control processes of
        this data centre, None if there is none.
        """
        now = self._clock.monotonic()
        if peer_staged is not None:
            self._no_peer_since = None
            return self.activate_up_to(peer_staged)
        if self._no_peer_since is None:
            self._no_peer_since = now
        if now - max(self._no_peer_since, self._staged_at) < SOLO_ACTIVATION_DELAY_S:
            return False
        return self.activate_up_to(self._staged.seq)

    def entries_after(self, seq, last=None):
        """
        Return the entries after ``seq`` up to ``last``, or None if memory lacks some.

        ``last`` is the staged seq by default.
        """
        last = self._staged.seq if last is None else last
        entries = [entry for entry in self._recent if seq < entry.seq <= last]
        return entries if len(entries) == max(0, last - seq) else None

    def recent_entries(self):
        """Return the entries held in memory, oldest first."""
        return list(self._recent)
