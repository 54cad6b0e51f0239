"""
The state of the fleet, computed by applying the entries of the fleet log in order.

Every process applies the same entries in the same order, so two processes at the
same sequence number (seq) hold the same state.
"""

import enum
from dataclasses import dataclass, field, replace

from magnoliapier.exceptions import StateOrderError, UnknownNameError
from magnoliapier.manifest import digest, merge_patch, validate_manifest
from magnoliapier.registry import Registry

entry_kinds = Registry("log entry kind")


class HostState(enum.StrEnum):
    """What an assigned host may be used for."""

    ASSIGNED = "assigned"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True)
class Assignment:
    """
    The pool of one host.

    ``epoch`` grows with every change. ``seq`` is the log entry of the last change
    and ``target`` the pool that a draining host moves to (its own pool for
    maintenance). ``reason`` is a short text for operators.
    """

    pool: str
    epoch: int
    state: HostState
    seq: int
    target: str | None = None
    reason: str = ""

    @property
    def takes_work(self):
        """Whether new work may be sent to the host."""
        return self.state is HostState.ASSIGNED


@dataclass(frozen=True)
class LogEntry:
    """
    One entry of the fleet log.

    ``entry_id`` is chosen by the writer, which finds the entry by it after a lost
    answer. ``planner_epoch`` is None for entries written without the planner lease.
    """

    seq: int
    kind: str
    body: dict
    entry_id: str
    author: str
    time: float
    planner_epoch: int | None = None

    def to_row(self):
        """Return the entry as the JSON value of its row."""
        return {
            "seq": self.seq,
            "kind": self.kind,
            "body": self.body,
            "id": self.entry_id,
            "author": self.author,
            "time": self.time,
            "planner_epoch": self.planner_epoch,
        }

    @classmethod
    def from_row(cls, value):
        """Build an entry from the JSON value of its row."""
        return cls(
            seq=value["seq"],
            kind=value["kind"],
            body=value["body"],
            entry_id=value["id"],
            author=value["author"],
            time=value["time"],
            planner_epoch=value.get("planner_epoch"),
        )


@dataclass
class FleetState:
    """
    The state of the fleet after the log entries up to ``seq``.

    ``manifest_values`` is the manifest as plain JSON, ``manifest`` the validated
    model, ``manifest_version`` the number of commits so far. ``waves`` and
    ``cancelled`` hold maintenance progress and cancelled work by name.
    """

    seq: int = 0
    manifest_version: int = 0
    manifest_values: dict = field(default_factory=dict)
    manifest: object = None
    assignments: dict = field(default_factory=dict)
    waves: dict = field(default_factory=dict)
    cancelled: dict = field(default_factory=dict)

    def apply(self, entry):
        """
        Apply the entry that follows this state.

        Each kind of entry has a function in the registry ``entry_kinds``. Raise
        StateOrderError for any other entry and for one of an unknown kind or with an
        unusable body, and ManifestError for a commit of an invalid manifest.
        """
        if entry.seq != self.seq + 1:
            raise StateOrderError(
                f"Entry {entry.seq} does not follow state {self.seq}; "
                f"read the entries from {self.seq + 1} again."
            )
        try:
            entry_kinds.get(entry.kind)(self, entry)
        except UnknownNameError as error:
            raise StateOrderError(f"Entry {entry.seq}: {error}") from None
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            raise StateOrderError(
                f"Entry {entry.seq} has an unusable body ({type(error).__name__}); "
                "check the version of the program that wrote it."
            ) from None
        self.seq = entry.seq

    def hosts_of(self, pool):
        """Return the names of the hosts that belong to ``pool``, sorted."""
        return sorted(
            name
            for name, assignment in self.assignments.items()
            if assignment.pool == pool
        )

    def to_values(self):
        """Return the state as plain JSON for a snapshot."""
        return {
            "seq": self.seq,
            "manifest_version": self.manifest_version,
            "manifest": self.manifest_values,
            "assignments": {
                name: [a.pool, a.epoch, a.state.value, a.seq, a.target, a.reason]
                for name, a in self.assignments.items()
            },
            "waves": self.waves,
            "cancelled": self.cancelled,
        }

    @classmethod
    def from_values(cls, values):
        """Build a state from a snapshot made by :meth:`to_values`."""
        manifest_values = values["manifest"]
        return cls(
            seq=values["seq"],
            manifest_version=values["manifest_version"],
            manifest_values=manifest_values,
            manifest=validate_manifest(manifest_values) if manifest_values else None,
            assignments={
                name: Assignment(pool, epoch, HostState(state), seq, target, reason)
                for name, (pool, epoch, state, seq, target, reason) in values[
                    "assignments"
                ].items()
            },
            waves=values["waves"],
            cancelled=values["cancelled"],
        )

    def copy(self):
        """Return a copy that can be changed independently."""
        return replace(
            self,
            assignments=dict(self.assignments),
            waves=dict(self.waves),
            cancelled=dict(self.cancelled),
        )


@entry_kinds.register("manifest_commit")
def apply_manifest_commit(state, entry):
    """
    Apply ``{"patch", "digest"}``: the next version of the manifest.

    New hosts start in the pool that the manifest names, and hosts that it no longer
    names lose their assignment. The pools of all others change only by host_assign.
    """
    values = merge_patch(state.manifest_values, entry.body["patch"])
    if digest(values) != entry.body["digest"]:
        raise StateOrderError(
            f"The manifest of entry {entry.seq} does not match its digest; "
            "load the newest snapshot."
        )
    manifest = validate_manifest(values)
    for name, host in manifest.hosts.items():
        if name not in state.assignments:
            state.assignments[name] = Assignment(
                host.pool, 1, HostState.ASSIGNED, entry.seq
            )
    for name in list(state.assignments):
        if name not in manifest.hosts:
            del state.assignments[name]
    state.manifest_values = values
    state.manifest = manifest
    state.manifest_version += 1


@entry_kinds.register("host_drain")
def apply_host_drain(state, entry):
    """Apply ``{"host", "epoch", "target", "reason"}``: no new work for a host."""
    body = entry.body
    current = check_epoch(state, entry)
    state.assignments[body["host"]] = Assignment(
        current.pool,
        body["epoch"],
        HostState.DRAINING,
        entry.seq,
        body.get("target"),
        body.get("reason", ""),
    )


@entry_kinds.register("host_maintenance")
def apply_host_maintenance(state, entry):
    """Apply ``{"host", "epoch"}``: a drained host is being rebooted."""
    body = entry.body
    current = check_epoch(state, entry)
    state.assignments[body["host"]] = replace(
        current, epoch=body["epoch"], state=HostState.MAINTENANCE, seq=entry.seq
    )


@entry_kinds.register("host_assign")
def apply_host_assign(state, entry):
    """Apply ``{"host", "epoch", "pool", "reason"}``: the host takes work for a pool."""
    body = entry.body
    check_epoch(state, entry)
    state.assignments[body["host"]] = Assignment(
        body["pool"],
        body["epoch"],
        HostState.ASSIGNED,
        entry.seq,
        None,
        body.get("reason", ""),
    )


@entry_kinds.register("wave_update")
def apply_wave_update(state, entry):
    """Apply ``{"name", "wave"}``: progress of a maintenance wave, None to end it."""
    if entry.body["wave"] is None:
        state.waves.pop(entry.body["name"], None)
    else:
        state.waves[entry.body["name"]] = entry.body["wave"]


@entry_kinds.register("cancel")
def apply_cancel(state, entry):
    """Apply ``{"name", "what"}``: a job or maintenance is cancelled."""
    state.cancelled[entry.body["name"]] = entry.body["what"]


@entry_kinds.register("sender_removed")
def apply_sender_removed(state, entry):
    """
    Apply ``{"name", "incarnation"}``: an entry host is known to be gone.

    The entry changes only the seq of the state.
    """


def check_epoch(state, entry):
    """
    Return the present assignment of the entry's host.

    Raise StateOrderError unless the entry's epoch is the one after it.
    """
    host = entry.body["host"]
    current = state.assignments.get(host)
    if current is None or entry.body["epoch"] != current.epoch + 1:
        raise StateOrderError(
            f"Entry {entry.seq} does not follow the epoch of host {host}; "
            "read the host's assignment again."
        )
    return current
