"""The configuration in force: queues, services, organisations and limits."""

import hashlib
from functools import cached_property

import msgspec

from magnoliapier.submissions.model import QueueTerms, Resources


class Queue(msgspec.Struct, frozen=True):
    """
    A queue of submissions.

    Takes the requests to ``host`` whose path starts with ``path_prefix``; ``service``
    names the pool that runs its tasks. A submission should complete within ``stretch``
    times the duration of its critical path plus ``target_ms``. Priority 0 comes first.
    Calls to a ``public`` queue need no key, and its tasks belong to no organisation.
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
    public: bool = False

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


class Organisation(msgspec.Struct, frozen=True):
    """
    An organisation whose submissions share the fleet with those of others.

    ``weight`` is its share when all capacity is in use. ``limit`` is what its runs may
    take together on all endpoints; 0 means no limit of that resource.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Resources = Resources()


class RequestLimits(msgspec.Struct, frozen=True):
    """
    Limits on the heads and pauses of callers' requests.

    ``max_header_bytes`` bounds a request's head, ``header_timeout_ms`` the time that it
    takes to arrive, and ``idle_timeout_ms`` a silence between or within requests.
    """

    max_header_bytes: int = 16_384
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(msgspec.Struct, frozen=True, dict=True):
    """
    One version of the configuration, always complete.

    Without ``organisations``, calls need no key, and no limits or shares apply.

    Example::

        organisation = configuration.organisation_with_key(key)
        if organisation is None:
            refuse()
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    max_body_bytes: int = 262_144
    organisations: tuple[Organisation, ...] = ()
    request_limits: RequestLimits = RequestLimits()

    def requires_key(self, queue):
        """Return whether calls to a queue need the key of an organisation."""
        return bool(self.organisations) and not queue.public

    def organisation_with_key(self, key):
        """Return the organisation that has an API key, or None."""
        return self._organisations_by_digest.get(_digest(key))

    def organisation_named(self, name):
        """Return the organisation called ``name``, or None."""
        return self._organisations_by_name.get(name)

    @cached_property
    def _organisations_by_digest(self):
        # Looking up digests does not reveal by its duration how much of a key is right.
        return {
            _digest(key): organisation
            for organisation in self.organisations
            for key in organisation.api_keys
        }

    @cached_property
    def _organisations_by_name(self):
        return {organisation.name: organisation for organisation in self.organisations}

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


def _digest(key):
    """Return the SHA-256 digest of an API key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
