"""The report of a replay: its observations in order of time, and totals."""

from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.exceptions import TraceError

CONTEXT_EVENTS = 5


@dataclass(frozen=True, slots=True)
class Observation:
    """
    Something that happened in a replay, ``t`` seconds after its start.

    ``docs/replay.md`` lists the kinds and their fields.
    """

    t: float
    kind: str
    fields: dict

    def __getitem__(self, name):
        return self.fields[name]

    def get(self, name, default=None):
        """Return a field, or ``default``."""
        return self.fields.get(name, default)

    def __str__(self):
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"t={self.t:.4f} {self.kind} {pairs}"


@dataclass
class ReplayReport:
    """
    The observations of one replay, in order of time.

    ``figures`` holds totals such as buffer host-hours. ``baselines`` maps the name of
    a policy to the report of the same trace under that policy.
    """

    name: str
    observations: list
    figures: dict = field(default_factory=dict)
    baselines: dict = field(default_factory=dict)

    def __post_init__(self):
        self.observations = sorted(
            self.observations, key=lambda observation: observation.t
        )
        self._by_kind = defaultdict(list)
        for index, observation in enumerate(self.observations):
            self._by_kind[observation.kind].append((index, observation))

    def of_kind(self, *kinds):
        """Return (index, observation) pairs of the given kinds, in order of time."""
        if len(kinds) == 1:
            return self._by_kind.get(kinds[0], [])
        return sorted(
            (pair for kind in kinds for pair in self._by_kind.get(kind, [])),
            key=lambda pair: pair[0],
        )

    def baseline(self, policy):
        """Return the report under ``policy``; raise TraceError if it was not run."""
        if policy not in self.baselines:
            raise TraceError(
                f"Trace {self.name} was not replayed with policy {policy!r}; "
                "name it in the check or give --compare."
            )
        return self.baselines[policy]

    def observations_around(self, index, context_field=None, count=CONTEXT_EVENTS):
        """
        Return the observation at ``index`` with up to ``count`` before and after it.

        With ``context_field``, the name of a field, only observations with the same
        value in that field are counted and returned.
        """
        centre = self.observations[index]
        value = centre.get(context_field) if context_field else None
        if value is None:
            return self.observations[max(0, index - count) : index + count + 1]
        related = [
            (number, observation)
            for number, observation in enumerate(self.observations)
            if observation.get(context_field) == value
        ]
        position = next(i for i, (number, _) in enumerate(related) if number == index)
        return [
            observation
            for _, observation in related[
                max(0, position - count) : position + count + 1
            ]
        ]
