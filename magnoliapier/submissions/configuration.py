"""The configuration in force: queues, services and limits."""

import msgspec

from magnoliapier.submissions.model import QueueTerms


class Queue(msgspec.Struct, frozen=True):
    """
    A queue of submissions.

    Takes the requests to ``host`` whose path starts with ``path_prefix``; ``service``
    names the pool that runs its tasks. A submission should complete within ``stretch``
    times the duration of its critical path plus ``target_ms``. Priority 0 comes first.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    advised: bool = False

    @property
    def terms(self):
        """Return the terms that a submission to this queue keeps."""
        return QueueTerms(
            self.priority, self.max_attempts, self.stretch, self.target_ms
        )

    @classmethod
    def retired(cls, submission, service):
        """Return a queue for a submission whose queue is no longer configured."""
        terms = submission.terms
        return cls(
            submission.queue,
            host="",
            path_prefix="",
            service=service,
            priority=terms.priority,
            max_attempts=terms.max_attempts,
            stretch=terms.stretch,
            target_ms=terms.target_ms,
        )


class Service(msgspec.Struct, frozen=True):
    """A pool of hosts. The hosts of a standby pool are off and cost nothing."""

    name: str
    rejects_overload: bool = True
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, always complete."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    max_body_bytes: int = 262_144

    def queue_for(self, host, path):
        """Return the queue of ``host`` with the longest prefix of ``path``, or None."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

    def queue_named(self, name):
        """Return the queue called ``name``, or None."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

    def standby_service(self):
        """Return the name of the standby pool, or None."""
        for service in self.services:
            if service.standby:
                return service.name
        return None
