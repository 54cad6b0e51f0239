"""
Checks of a configuration before it is sent: faults that its message format allows.

Each check is a registered function that takes a :class:`Proposal` and yields a
:class:`Finding` for each fault. Keys of organisations appear in no finding, only short
digests of them.

Example::

    for finding in check_configuration(Proposal(configuration, in_force)):
        print(finding)
"""

import hashlib
import re
from collections import Counter
from enum import StrEnum

import msgspec

from magnoliapier.registry import Registry
from magnoliapier.submissions.configuration import Configuration

# The default; the bounds on the memory for bodies in progress were chosen for it.
LARGEST_BODY_BYTES = 262_144
SUBMISSION_ID_DIGITS = 16  # hexadecimal
RESERVED_SERVICES = frozenset({"fleet"})  # the name of the fleet's shard
# The key of a row has 200 bytes at most, of which "allowance/" takes 10.
MAX_ORGANISATION_BYTES = 190
DIGEST_DIGITS = 8  # enough to tell keys apart, too few to find out one
ESCAPED_IN_PATHS = re.compile(r"[?#\s]|%[0-9A-Fa-f]{2}")
CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")

configuration_checks = Registry("configuration check")


class Severity(StrEnum):
    """How serious a finding is. A configuration with errors should not be sent."""

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"  # from the version in force


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One finding: what it concerns, what is wrong or different, and the remedy."""

    severity: Severity
    subject: str
    message: str
    remedy: str = ""

    def __str__(self):
        text = f"{self.severity}: {self.subject}: {self.message}"
        return f"{text} {self.remedy}" if self.remedy else text


class DeclaredLimits(msgspec.Struct, frozen=True):
    """
    The limits on callers' requests as the operator declares them.

    A node uses the default in place of one that would leave no call answered.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Proposal(msgspec.Struct, frozen=True):
    """A configuration to be sent, and the one in force if it is known."""

    configuration: Configuration
    in_force: Configuration | None = None
    limits: DeclaredLimits = DeclaredLimits()
    limits_in_force: DeclaredLimits = DeclaredLimits()


def check_configuration(proposal):
    """Run all checks and return the findings, errors first."""
    findings = [
        finding
        for name in configuration_checks.names()
        for finding in configuration_checks.get(name)(proposal)
    ]
    return sorted(findings, key=lambda finding: finding.severity != Severity.ERROR)


def short_digest(key):
    """Return a few digits of a key's SHA-256 digest."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    return digest[:DIGEST_DIGITS]


def error(subject, message, remedy):
    """Return an error."""
    return Finding(
        severity=Severity.ERROR, subject=subject, message=message, remedy=remedy
    )


def warning(subject, message, remedy):
    """Return a warning."""
    return Finding(
        severity=Severity.WARNING, subject=subject, message=message, remedy=remedy
    )


def queue_subject(queue):
    """Return what findings call a queue."""
    return f"queue {queue.name!r}"


def organisation_subject(organisation):
    """Return what findings call an organisation."""
    return f"organisation {organisation.name!r}"


@configuration_checks.register("version")
def check_version(proposal):
    """Check that the version will be applied, as only a newer one is."""
    version = proposal.configuration.version
    if version < 0:
        yield error("version", f"{version} is negative.", "Count versions from 1.")
    in_force = proposal.in_force
    if in_force is not None and version <= in_force.version:
        yield error(
            "version",
            f"{version} is not above {in_force.version}, the one in force.",
            f"Use {in_force.version + 1} or more.",
        )


@configuration_checks.register("names")
def check_names(proposal):
    """Check that names are given and unique; of equal ones, the first entry is used."""
    configuration = proposal.configuration
    for kind, entries in (
        ("queue", configuration.queues),
        ("service", configuration.services),
        ("organisation", configuration.organisations),
    ):
        for name, count in Counter(entry.name for entry in entries).items():
            if not name:
                yield error(f"{kind} ''", "It has no name.", "Give it a name.")
            if count > 1:
                yield error(
                    f"{kind} {name!r}",
                    f"{count} entries have this name.",
                    "Give each its own name.",
                )


@configuration_checks.register("stored_names")
def check_stored_names(proposal):
    """Check names that become keys or parts of the product's own rows."""
    configuration = proposal.configuration
    services = {service.name for service in configuration.services}
    services |= {queue.service for queue in configuration.queues}
    for name in sorted(services & RESERVED_SERVICES):
        yield error(
            f"service {name!r}",
            "The product uses this name for rows of its own.",
            "Choose another name.",
        )
    for organisation in configuration.organisations:
        length = len(organisation.name.encode())
        if length > MAX_ORGANISATION_BYTES:
            yield error(
                f"organisation {organisation.name[:40]!r}...",
                f"Its name has {length} bytes.",
                f"Shorten it to {MAX_ORGANISATION_BYTES} bytes.",
            )


@configuration_checks.register("services")
def check_services(proposal):
    """Check that queues name declared services; at most one may be a standby pool."""
    configuration = proposal.configuration
    services = {service.name: service for service in configuration.services}
    for queue in configuration.queues:
        service = services.get(queue.service)
        if service is None and services:
            yield error(
                queue_subject(queue),
                f"Its service {queue.service!r} is not declared.",
                "Declare the service or correct the name.",
            )
        elif service is not None and service.standby:
            yield warning(
                queue_subject(queue),
                f"Its service {queue.service!r} is the standby pool, whose hosts are "
                "off.",
                "Name another service.",
            )
    standby = [service.name for service in services.values() if service.standby]
    if len(standby) > 1:
        yield warning(
            "services",
            f"{len(standby)} are standby pools and only {standby[0]!r} is used.",
            "Declare one standby pool at most.",
        )
    if standby and len(standby) == len(services):
        yield warning(
            "services",
            "All are standby pools, so that no host is on.",
            "Declare a service that is no standby pool.",
        )


@configuration_checks.register("addresses")
def check_addresses(proposal):
    """Check that callers' requests can reach each queue."""
    first_at = {}
    for queue in proposal.configuration.queues:
        first = first_at.setdefault((queue.host, queue.path_prefix), queue)
        if first is not queue:
            yield error(
                queue_subject(queue),
                f"It has host and path prefix of {queue_subject(first)}, which gets "
                "all requests.",
                "Change one of the addresses.",
            )
        yield from _check_host(queue)
        yield from _check_path_prefix(queue)
        for other in proposal.configuration.queues:
            if _takes_ids_of(other, queue):
                yield warning(
                    queue_subject(queue),
                    f"Requests for ids that start as the path prefix of "
                    f"{queue_subject(other)} go there.",
                    "Let the two prefixes differ before the last slash.",
                )


def _check_host(queue):
    """Check a host as it is compared: with the Host header up to the first colon."""
    if not queue.host or ":" in queue.host or CONTROL_CHARACTERS.search(queue.host):
        yield error(
            queue_subject(queue),
            f"No request matches the host {queue.host!r}.",
            "Give a host name without port.",
        )
    elif queue.host != queue.host.strip() or "/" in queue.host:
        yield error(
            queue_subject(queue),
            f"No request matches the host {queue.host!r}.",
            "Give a host name without spaces, scheme and path.",
        )
    elif queue.host != queue.host.lower():
        yield warning(
            queue_subject(queue),
            f"Only requests that write the host exactly as {queue.host!r} match.",
            "Use lower case, as most clients do.",
        )


def _check_path_prefix(queue):
    """Check a path prefix, which the id of a submission follows at once."""
    prefix = queue.path_prefix
    if not prefix.startswith("/"):
        yield error(
            queue_subject(queue),
            f"No path starts with the prefix {prefix!r}.",
            "Let it begin and end with a slash.",
        )
    elif not prefix.endswith("/"):
        yield warning(
            queue_subject(queue),
            f"Requests for {prefix}/ID are not found, only those for {prefix}ID.",
            "Let the prefix end with a slash.",
        )
    if ESCAPED_IN_PATHS.search(prefix):
        yield warning(
            queue_subject(queue),
            f"The prefix {prefix!r} is compared with the decoded path without query.",
            "Leave out spaces, '?', '#' and percent codes.",
        )


def _takes_ids_of(other, queue):
    """Return whether some ids under a queue's prefix match another queue's prefix."""
    rest = other.path_prefix[len(queue.path_prefix) :]
    return (
        other.host == queue.host
        and other.path_prefix.startswith(queue.path_prefix)
        and re.fullmatch(rf"[0-9a-f]{{1,{SUBMISSION_ID_DIGITS}}}", rest) is not None
    )


@configuration_checks.register("queue_terms")
def check_queue_terms(proposal):
    """Check that the numbers of each queue are possible and fit together."""
    for queue in proposal.configuration.queues:
        subject = queue_subject(queue)
        for name in ("priority", "target_ms", "timeout_ms"):
            value = getattr(queue, name)
            if value < 0:
                yield error(subject, f"{name} is {value}.", "Use 0 or more.")
        if queue.max_attempts < 1:
            yield error(
                subject,
                f"Its tasks get {queue.max_attempts} attempts.",
                "Allow at least 1.",
            )
        if queue.stretch < 1:
            yield warning(
                subject,
                f"A stretch of {queue.stretch:g} asks for less time than the critical "
                "path takes.",
                "Use 1 or more.",
            )
        if 0 < queue.timeout_ms < queue.target_ms:
            yield warning(
                subject,
                f"The target of {queue.target_ms} ms is above the timeout of "
                f"{queue.timeout_ms} ms.",
                "Lower the target or raise the timeout.",
            )


@configuration_checks.register("request_limits")
def check_request_limits(proposal):
    """Check the limits on requests."""
    limits = proposal.limits
    for name, value in msgspec.structs.asdict(limits).items():
        if value < 1:
            yield error("limits", f"{name} is {value}.", "Use 1 or more.")
    if limits.max_body_bytes > LARGEST_BODY_BYTES:
        yield warning(
            "limits",
            f"max_body_bytes is {limits.max_body_bytes}; the memory for bodies is "
            f"chosen for {LARGEST_BODY_BYTES}.",
            "Lower it, or expect refusals of large bodies.",
        )
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield warning(
            "limits",
            f"header_timeout_ms {limits.header_timeout_ms} is above idle_timeout_ms "
            f"{limits.idle_timeout_ms}.",
            "Lower it, as the connection is closed before that time.",
        )


@configuration_checks.register("organisations")
def check_organisations(proposal):
    """Check that organisations can be used, and their weights and limits."""
    configuration = proposal.configuration
    if configuration.organisations and all(q.public for q in configuration.queues):
        yield warning(
            "organisations",
            "All queues are public, so that no key, limit or weight is ever used.",
            "Remove the organisations, or 'public' from a queue.",
        )
    for organisation in configuration.organisations:
        subject = organisation_subject(organisation)
        if organisation.weight <= 0:
            yield error(
                subject, f"Its weight is {organisation.weight:g}.", "Use more than 0."
            )
        for name, amount in msgspec.structs.asdict(organisation.limit).items():
            if amount < 0:
                yield error(
                    subject,
                    f"Its maximum of {name} is {amount}.",
                    "Use 0 for no limit, or more.",
                )
        if not organisation.api_keys:
            yield warning(
                subject, "It has no keys, so no call can belong to it.", "Add a key."
            )


@configuration_checks.register("keys")
def check_keys(proposal):
    """Check that each key can be sent and belongs to one organisation."""
    first_with = {}
    for organisation in proposal.configuration.organisations:
        subject = organisation_subject(organisation)
        for key, count in Counter(organisation.api_keys).items():
            first = first_with.setdefault(key, organisation)
            digest = short_digest(key)
            if first is not organisation:
                yield error(
                    subject,
                    f"Its key with digest {digest} is also a key of "
                    f"{organisation_subject(first)}.",
                    "Give each organisation keys of its own.",
                )
            elif count > 1:
                yield warning(
                    subject,
                    f"It has the key with digest {digest} twice.",
                    "Remove one of them.",
                )
            if not key:
                yield warning(
                    subject, "An empty key is never accepted.", "Leave it out."
                )
            elif key != key.strip() or CONTROL_CHARACTERS.search(key):
                yield warning(
                    subject,
                    f"No call can carry its key with digest {digest}.",
                    "Use a key without control characters and spaces around it.",
                )
