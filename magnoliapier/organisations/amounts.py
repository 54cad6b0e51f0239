"""
Arithmetic on Resources, resource by resource.

A resource without a limit has the amount ``UNLIMITED``, which is above every sum of
uses and which a reader that takes numbers for floats does not round.
"""

from magnoliapier.submissions.model import Resources

UNLIMITED = 2**50
NOTHING = Resources()
EVERYTHING = Resources(UNLIMITED, UNLIMITED, UNLIMITED)


def values(amount):
    """Return CPU, memory and accelerators of an amount as a tuple."""
    return (amount.cpu_millicores, amount.memory_mb, amount.accelerators)


def combine(function, *amounts):
    """Return the Resources that ``function`` makes of each resource's values."""
    return Resources(*map(function, *map(values, amounts)))


def plus(a, b):
    """Return the sum of two amounts."""
    return Resources(
        a.cpu_millicores + b.cpu_millicores,
        a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators,
    )


def minus(a, b):
    """Return what ``b`` leaves of ``a``, at least zero of each resource."""
    return Resources(
        max(0, a.cpu_millicores - b.cpu_millicores),
        max(0, a.memory_mb - b.memory_mb),
        max(0, a.accelerators - b.accelerators),
    )


def highest(a, b):
    """Return the higher amount of each resource."""
    return Resources(
        max(a.cpu_millicores, b.cpu_millicores),
        max(a.memory_mb, b.memory_mb),
        max(a.accelerators, b.accelerators),
    )


def lowest(a, b):
    """Return the lower amount of each resource."""
    return Resources(
        min(a.cpu_millicores, b.cpu_millicores),
        min(a.memory_mb, b.memory_mb),
        min(a.accelerators, b.accelerators),
    )


def times(amount, count):
    """Return ``count`` times an amount."""
    return Resources(
        amount.cpu_millicores * count,
        amount.memory_mb * count,
        amount.accelerators * count,
    )


def total(amounts):
    """Return the sum of any number of amounts."""
    result = NOTHING
    for amount in amounts:
        result = plus(result, amount)
    return result


def bounds_of(limit):
    """
    Return a configured limit, in which 0 means none, as amounts that bound a sum.

    A negative limit admits nothing that uses the resource, like an amount of zero.
    """
    return combine(lambda value: max(0, value) if value else UNLIMITED, limit)


def dominant_share(amount, limit):
    """Return the highest share that an amount takes of any limited resource."""
    share = 0.0
    for value, bound in zip(values(amount), values(limit), strict=True):
        if 0 < bound < UNLIMITED:
            share = max(share, value / bound)
    return share


def admits(required, room):
    """
    Return whether ``room`` admits a task.

    A resource that the task does not require admits it even if the organisation takes
    too much of it.
    """
    return (
        (not required.cpu_millicores or required.cpu_millicores <= room.cpu_millicores)
        and (not required.memory_mb or required.memory_mb <= room.memory_mb)
        and (not required.accelerators or required.accelerators <= room.accelerators)
    )
