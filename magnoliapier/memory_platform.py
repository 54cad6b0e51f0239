"""
An in-memory platform with injected faults, for tests, replays and the stand-in server.

Example::

    platform = MemoryPlatform(VirtualClock())
    platform.faults.lose_answers = 1
    platform.table.transact([Write("k", {}, 0)])  # applies, then raises
"""

import threading
from dataclasses import dataclass, replace

from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.platform_api import (
    HostService,
    HostStatus,
    ObjectStore,
    Platform,
    Row,
    TableService,
    Task,
    TaskService,
    TaskStatus,
)


@dataclass
class Faults:
    """
    The faults to inject into calls of the platform.

    ``down`` fails every call before it takes effect. ``lose_answers`` is how many of
    the next writes take effect but lose their response; deletes of objects do not
    count. ``delay_s`` delays each call.
    """

    down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


class FaultyService:
    """Injects the faults into calls of an in-memory service."""

    def __init__(self, faults, clock, lock):
        self._faults = faults
        self._clock = clock
        self._lock = lock

    def _begin_call(self):
        if self._faults.delay_s:
            self._clock.sleep(self._faults.delay_s)
        if self._faults.down:
            raise StoreUnavailableError("The platform is down; try again later.")

    def _end_write(self):
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            raise StoreOutcomeUnknownError(
                "The response to a write was lost; read the rows back."
            )


class MemoryTable(FaultyService, TableService):
    """A transactional table in memory that counts its reads and writes."""

    def __init__(self, faults, clock, lock):
        super().__init__(faults, clock, lock)
        self._rows = {}
        self._versions = {}
        self.read_count = 0
        self.write_count = 0

    def read(self, keys):
        """Return the rows that exist among ``keys``."""
        self._begin_call()
        with self._lock:
            self.read_count += 1
            return {key: self._rows[key] for key in keys if key in self._rows}

    def scan(self, prefix):
        """Return the rows under ``prefix`` in key order."""
        self._begin_call()
        with self._lock:
            self.read_count += 1
            return [self._rows[k] for k in sorted(self._rows) if k.startswith(prefix)]

    def transact(self, writes, checks=()):
        """Apply all writes or raise ConflictError."""
        self._begin_call()
        with self._lock:
            self.write_count += 1
            conflicts = {
                part.key: self._rows.get(part.key)
                for part in (*writes, *checks)
                if part.expected is not None
                and part.expected != self._version(part.key)
            }
            if conflicts:
                raise ConflictError(conflicts)
            versions = {write.key: self._apply(write) for write in writes}
        self._end_write()
        return versions

    def _version(self, key):
        row = self._rows.get(key)
        return row.version if row else 0

    def _apply(self, write):
        # The counter outlives a deleted row, so that a new row under the same key never
        # gets a version that was used before.
        version = self._versions.get(write.key, 0) + 1
        self._versions[write.key] = version
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, write.value, version)
        return version


class MemoryObjects(FaultyService, ObjectStore):
    """An object store in memory."""

    def __init__(self, faults, clock, lock):
        super().__init__(faults, clock, lock)
        self._objects = {}

    def get(self, name):
        """Return the bytes under ``name``, or None."""
        self._begin_call()
        return self._objects.get(name)

    def put(self, name, data):
        """Store bytes."""
        self._begin_call()
        self._objects[name] = bytes(data)
        self._end_write()

    def delete(self, name):
        """Delete ``name`` if it exists."""
        self._begin_call()
        self._objects.pop(name, None)


class MemoryHosts(FaultyService, HostService):
    """A host list that shows changes only after ``lag_s``."""

    def __init__(self, faults, clock, lock, lag_s=0.0, reboot_s=60.0):
        super().__init__(faults, clock, lock)
        self.lag_s = lag_s
        self.reboot_s = reboot_s
        self._changes = {}
        self._rebooting = {}
        self._fences = {}

    def set_host(self, host):
        """Add or change a :class:`ListedHost`; the list shows it after the lag."""
        with self._lock:
            self._changes.setdefault(host.name, []).append(
                (self._clock.monotonic(), host)
            )

    def remove_host(self, name):
        """Remove a host; the list shows it after the lag."""
        with self._lock:
            self._changes.setdefault(name, []).append((self._clock.monotonic(), None))

    def hosts(self):
        """Return the hosts as they were ``lag_s`` ago."""
        self._begin_call()
        with self._lock:
            self._finish_reboots()
            as_of = self._clock.monotonic() - self.lag_s
            return [
                host
                for name in sorted(self._changes)
                if (host := self._listed_host(name, as_of)) is not None
            ]

    def reboot(self, name, fence):
        """Start a reboot, which takes ``reboot_s``."""
        self._begin_call()
        with self._lock:
            if fence < self._fences.get(name, 0):
                raise FencedError(f"A newer planner rebooted host {name}.")
            self._fences[name] = fence
            if name not in self._rebooting:
                now = self._clock.monotonic()
                current = self._changes[name][-1][1]
                self._changes[name].append(
                    (now, replace(current, status=HostStatus.REBOOTING))
                )
                self._rebooting[name] = now + self.reboot_s
        self._end_write()

    def _finish_reboots(self):
        now = self._clock.monotonic()
        for name, end in list(self._rebooting.items()):
            if now >= end:
                del self._rebooting[name]
                current = self._changes[name][-1][1]
                self._changes[name].append(
                    (
                        end,
                        replace(
                            current, status=HostStatus.LIVE, boots=current.boots + 1
                        ),
                    )
                )

    def _listed_host(self, name, as_of):
        listed = None
        for instant, host in self._changes[name]:
            if instant <= as_of:
                listed = host
        return listed


class MemoryTasks(FaultyService, TaskService):
    """Tasks in memory; tests end them with :meth:`finish`."""

    def __init__(self, faults, clock, lock):
        super().__init__(faults, clock, lock)
        self._tasks = {}
        self._leases = {}
        self._fences = {}

    def start(self, request):
        """Start a task unless it runs already; raise FencedError for a low fence."""
        self._begin_call()
        with self._lock:
            self._check_fence(request.task_id, request.fence)
            current = self._tasks.get(request.task_id)
            if current is None or current.status is not TaskStatus.RUNNING:
                self._tasks[request.task_id] = Task(
                    request.task_id,
                    request.host,
                    TaskStatus.RUNNING,
                    request.fence,
                    request.cores,
                    request.memory_gb,
                    request.checkpoint,
                )
                self._leases[request.task_id] = (
                    self._clock.monotonic() + request.lease_s,
                    request.lease_s,
                )
        self._end_write()

    def renew(self, task_ids, fence):
        """Extend the leases of running tasks."""
        self._begin_call()
        with self._lock:
            for task_id in task_ids:
                self._check_fence(task_id, fence)
                if task_id in self._leases:
                    lease_s = self._leases[task_id][1]
                    self._leases[task_id] = (self._clock.monotonic() + lease_s, lease_s)
        self._end_write()

    def checkpoint(self, task_id, fence):
        """Checkpoint a task and stop it at once."""
        self._begin_call()
        with self._lock:
            self._check_fence(task_id, fence)
            task = self._tasks[task_id]
            if task.status is TaskStatus.RUNNING:
                self._tasks[task_id] = replace(
                    task,
                    status=TaskStatus.CHECKPOINTED,
                    checkpoint=f"checkpoint/{task_id}/{fence}",
                )
        self._end_write()

    def throttle(self, task_id, share, fence):
        """Limit a task to a share of its cores."""
        self._begin_call()
        with self._lock:
            self._check_fence(task_id, fence)
            self._tasks[task_id] = replace(
                self._tasks[task_id], detail={"share": share}
            )
        self._end_write()

    def stop(self, task_id, fence):
        """Stop a task."""
        self._begin_call()
        with self._lock:
            self._check_fence(task_id, fence)
            self._tasks[task_id] = replace(
                self._tasks[task_id], status=TaskStatus.STOPPED
            )
        self._end_write()

    def tasks(self):
        """Return all tasks; those whose lease lapsed are stopped."""
        self._begin_call()
        with self._lock:
            now = self._clock.monotonic()
            for task_id, task in self._tasks.items():
                if task.status is TaskStatus.RUNNING and self._leases[task_id][0] < now:
                    self._tasks[task_id] = replace(task, status=TaskStatus.STOPPED)
            return list(self._tasks.values())

    def finish(self, task_id, status=TaskStatus.SUCCEEDED):
        """End a task with ``status``."""
        with self._lock:
            self._tasks[task_id] = replace(self._tasks[task_id], status=status)

    def _check_fence(self, task_id, fence):
        if fence < self._fences.get(task_id, 0):
            raise FencedError(f"A newer planner acts on task {task_id}.")
        self._fences[task_id] = fence


class MemoryPlatform(Platform):
    """The four in-memory services, which share one :class:`Faults`."""

    def __init__(self, clock, lag_s=0.0):
        faults = Faults()
        lock = threading.RLock()
        super().__init__(
            MemoryTable(faults, clock, lock),
            MemoryObjects(faults, clock, lock),
            MemoryHosts(faults, clock, lock, lag_s),
            MemoryTasks(faults, clock, lock),
        )
        object.__setattr__(self, "faults", faults)
