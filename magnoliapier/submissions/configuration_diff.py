"""
Differences between a configuration to be sent and the one in force.

Keys appear as numbers of keys and as short digests only.
"""

import msgspec

from magnoliapier.submissions.configuration_checks import (
    Finding,
    Severity,
    organisation_subject,
    short_digest,
)


def find_differences(proposal):
    """
    Yield a Finding for each thing that a :class:`Proposal` would change.

    There is none if the configuration in force is not known.
    """
    old, new = proposal.in_force, proposal.configuration
    if old is None:
        return
    yield from _compare_entries("queue", old.queues, new.queues)
    yield from _compare_entries("service", old.services, new.services)
    yield from _compare_organisations(old.organisations, new.organisations)
    yield from _compare_key_requirement(old, new)
    limits_before = msgspec.structs.asdict(proposal.limits_in_force)
    for name, after in msgspec.structs.asdict(proposal.limits).items():
        if after != limits_before[name]:
            yield _difference("limits", _step(name, limits_before[name], after))


def _difference(subject, message):
    return Finding(severity=Severity.DIFFERENCE, subject=subject, message=message)


def _step(name, before, after):
    """Return how a number changes."""
    verb = "lowered" if after < before else "raised"
    return f"{name} {verb} from {before:g} to {after:g}."


def _by_name(entries):
    """Return entries by name; of two equal names the first counts."""
    return {entry.name: entry for entry in reversed(entries)}


def _paired(old, new):
    """Yield ``(name, before, after)``; an entry that is absent is None."""
    before, after = _by_name(old), _by_name(new)
    for name in sorted(before.keys() | after.keys()):
        yield name, before.get(name), after.get(name)


def _compare_entries(kind, old, new):
    for name, before, after in _paired(old, new):
        subject = f"{kind} {name!r}"
        if before is None:
            yield _difference(subject, "added.")
        elif after is None:
            yield _difference(subject, "removed.")
        else:
            for field in before.__struct_fields__:
                values = getattr(before, field), getattr(after, field)
                if values[0] != values[1]:
                    yield _difference(
                        subject, f"{field} changed from {values[0]!r} to {values[1]!r}."
                    )


def _compare_organisations(old, new):
    for _, before, after in _paired(old, new):
        subject = organisation_subject(after or before)
        if before is None:
            yield _difference(subject, f"added with {_count_keys(after.api_keys)}.")
        elif after is None:
            yield _difference(subject, f"removed with {_count_keys(before.api_keys)}.")
        else:
            yield from _compare_organisation(subject, before, after)


def _compare_organisation(subject, before, after):
    for verb, keys in (
        ("added", set(after.api_keys) - set(before.api_keys)),
        ("withdrawn", set(before.api_keys) - set(after.api_keys)),
    ):
        if keys:
            digests = ", ".join(sorted(short_digest(key) for key in keys))
            yield _difference(subject, f"{_count_keys(keys)} {verb}: digest {digests}.")
    if before.weight != after.weight:
        yield _difference(subject, _step("weight", before.weight, after.weight))
    limits_after = msgspec.structs.asdict(after.limit)
    for name, amount in msgspec.structs.asdict(before.limit).items():
        if amount != limits_after[name]:
            yield _difference(
                subject, _limit_step(f"maximum {name}", amount, limits_after[name])
            )


def _limit_step(name, before, after):
    """Return how a limit changes, where 0 stands for no limit."""
    if after == 0:
        return f"{name} lifted, was {before}."
    if before == 0:
        return f"{name} set to {after}, was without limit."
    return _step(name, before, after)


def _compare_key_requirement(old, new):
    """Yield the queues of both configurations that change between public and not."""
    for name, before, after in _paired(old.queues, new.queues):
        if before is None or after is None:
            continue
        required = old.requires_key(before), new.requires_key(after)
        if required == (False, True):
            yield _difference(f"queue {name!r}", "Calls will need a key.")
        elif required == (True, False):
            yield _difference(f"queue {name!r}", "Calls will need no key any more.")


def _count_keys(keys):
    return "1 key" if len(keys) == 1 else f"{len(keys)} keys"
