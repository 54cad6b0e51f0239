"""
The interface of the platform that every adapter implements.

Row values and task descriptions are JSON objects. Any method may raise
StoreUnavailableError, which means that the call had no effect. A write may also raise
StoreOutcomeUnknownError, which means that it may have taken effect.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Row:
    """A row of the table service. ``version`` grows with each write of the row."""

    key: str
    value: dict
    version: int


@dataclass(frozen=True)
class Write:
    """
    One write of a transaction; a value of None deletes the row.

    ``expected`` is the version the row must have, 0 if it must not exist, None
    for an unconditional write.
    """

    key: str
    value: dict | None
    expected: int | None = None


@dataclass(frozen=True)
class Check:
    """A condition of a transaction on a row that it does not write."""

    key: str
    expected: int


class TableService(ABC):
    """The platform's transactional table service."""

    @abstractmethod
    def read(self, keys):
        """Return a dict from each key that exists to its :class:`Row`."""

    @abstractmethod
    def scan(self, prefix):
        """Return the rows whose keys start with ``prefix``, in key order."""

    @abstractmethod
    def transact(self, writes, checks=()):
        """
        Apply all writes or none and return a dict from key to new version.

        Raise ConflictError if a row has another version than expected.
        """


class ObjectStore(ABC):
    """The platform's object store."""

    @abstractmethod
    def get(self, name):
        """Return the bytes stored under ``name``, or None."""

    @abstractmethod
    def put(self, name, data):
        """Store bytes under ``name``."""

    @abstractmethod
    def delete(self, name):
        """Delete ``name`` if it exists."""


class HostStatus(enum.StrEnum):
    """The platform's view of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    REBOOTING = "rebooting"


@dataclass(frozen=True)
class ListedHost:
    """One row of the platform's host list; ``boots`` counts its reboots."""

    name: str
    status: HostStatus
    address: str
    boots: int = 0


class HostService(ABC):
    """The platform's host list, which lags behind, and reboots of hosts."""

    @abstractmethod
    def hosts(self):
        """Return a list of :class:`ListedHost`, entry hosts included."""

    @abstractmethod
    def reboot(self, name, fence):
        """
        Start a reboot of the host ``name``.

        Raise FencedError if a reboot of this host had a higher ``fence``.
        """


class TaskStatus(enum.StrEnum):
    """The state of a task on a worker."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class TaskRequest:
    """
    A task to start on a host.

    ``fence`` is the planner's epoch: the platform refuses a lower one than it has
    seen for the same task id. ``lease_s`` is how long it runs without renewal.
    """

    task_id: str
    host: str
    cores: int
    memory_gb: int
    accelerators: int
    fence: int
    lease_s: float
    checkpoint: str | None = None


@dataclass(frozen=True)
class Task:
    """A task as the platform reports it, possibly late; usage is in cores and GB."""

    task_id: str
    host: str
    status: TaskStatus
    fence: int
    used_cores: float = 0.0
    used_memory_gb: float = 0.0
    checkpoint: str | None = None
    detail: dict = field(default_factory=dict)


class TaskService(ABC):
    """
    The platform's tasks on workers, which run only while their lease is renewed.

    Methods that take a ``fence`` raise FencedError if it is lower than one that the
    platform has seen for the same task id.
    """

    @abstractmethod
    def start(self, request):
        """Start a :class:`TaskRequest`; raise FencedError if its fence is too low."""

    @abstractmethod
    def renew(self, task_ids, fence):
        """Extend the leases of running tasks."""

    @abstractmethod
    def checkpoint(self, task_id, fence):
        """Checkpoint a task and stop it once the checkpoint is stored."""

    @abstractmethod
    def throttle(self, task_id, share, fence):
        """Limit a task to ``share`` (0 to 1) of its cores."""

    @abstractmethod
    def stop(self, task_id, fence):
        """Stop a task and discard its state."""

    @abstractmethod
    def tasks(self):
        """Return all known tasks as a list of :class:`Task`."""


@dataclass(frozen=True)
class Platform:
    """The four services of a platform."""

    table: TableService
    objects: ObjectStore
    hosts: HostService
    tasks: TaskService
