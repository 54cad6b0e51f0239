"""
Events of a recorded trace.

A trace is a JSON Lines file: a :class:`Header`, then events in order of time.
Times and durations are seconds; ``t`` counts from the start of the trace.
"""

from dataclasses import dataclass, field

from magnoliapier.registry import Registry

event_types = Registry("trace event")


@event_types.register("header")
@dataclass(slots=True)
class Header:
    """The setting of a trace: its entry hosts (name to data centre) and manifest."""

    name: str
    description: str
    duration_s: float
    entry_hosts: dict
    manifest: dict
    seed: int = 0
    version: int = 1


@event_types.register("arrival")
@dataclass(slots=True)
class Arrival:
    """
    A request of a caller at one entry host.

    ``run_s`` is the true run time on an endpoint, which decisions do not see;
    ``declared_s`` is what the caller says. ``work_class`` is short or long.
    ``cancel_s`` is when the caller leaves, counted from the arrival.
    """

    t: float
    entry: str
    request_id: str
    service: str
    organisation: str
    kind: str
    work_class: str
    run_s: float
    deadline_s: float
    idempotent: bool = True
    declared_s: float | None = None
    key: str | None = None
    cancel_s: float | None = None
    body_bytes: int = 0


@event_types.register("fault")
@dataclass(slots=True)
class Fault:
    """
    A fault from ``t`` for ``duration_s``.

    Kinds and targets: endpoint_failing, endpoint_down, endpoint_silent,
    endpoint_slow (host name), store_down, store_slow, store_lost_answers,
    data_centre_cut (data centre), rack_lost (rack), entry_paused, entry_restart
    (entry host), planner_paused. ``value`` is a share or a delay where the kind
    needs one.
    """

    t: float
    kind: str
    duration_s: float
    target: str = ""
    value: float = 1.0


@event_types.register("drain")
@dataclass(slots=True)
class Drain:
    """A host is drained, for maintenance or for a move to ``target``."""

    t: float
    host: str
    target: str | None = None
    duration_s: float = 0.0


@event_types.register("commit")
@dataclass(slots=True)
class Commit:
    """An operator commits a merge patch that builds on manifest version ``base``."""

    t: float
    operator: str
    base: int
    patch: dict = field(default_factory=dict)


@event_types.register("demand")
@dataclass(slots=True)
class DemandSample:
    """The hosts' worth of work that a pool is asked for, for fleet traces."""

    t: float
    pool: str
    hosts: float
    burst: float = 0.0
