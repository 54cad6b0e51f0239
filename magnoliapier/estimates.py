"""
Learned run times, and the class that follows from them.

Run times are learned per service, organisation and kind. What a caller declares
only counts until enough runs were seen, and then only through the class.
"""

import math
from dataclasses import dataclass

from magnoliapier.request_tables import WorkClass

PROVEN_RUNS = 8
# The newest runs weigh at least this much, so a changed kind is learned in about
# 1 / MIN_WEIGHT runs.
MIN_WEIGHT = 0.05
# Two limits, so that a kind near one of them does not change class at each run.
LONG_ABOVE = 0.30
SHORT_BELOW = 0.15
# Fewer signs do not make a kind long, so that one straggler among the first runs
# does not.
MIN_SIGNS = 4
# Callers choose kinds freely; beyond this number per service and organisation
# the kinds of one class share one estimate.
MAX_KINDS = 256


@dataclass(slots=True)
class KindEstimate:
    """
    What is known of one kind of request.

    ``mean_s`` is the mean run time, ``long_share`` the share of recent runs that
    exceeded the service's threshold, learned from ``signs`` runs. ``runs`` counts
    those that ended, as far as it matters.
    """

    mean_s: float
    work_class: WorkClass
    long_share: float = 0.0
    runs: int = 0
    signs: int = 0

    @property
    def is_proven(self):
        """Whether enough runs were seen to trust the class."""
        return self.runs >= PROVEN_RUNS

    def add_class_sign(self, is_long):
        """Learn from one run whether it exceeded the threshold."""
        self.signs += 1
        weight = max(1 / self.signs, MIN_WEIGHT)
        self.long_share += weight * (is_long - self.long_share)
        if self.long_share > LONG_ABOVE and self.signs >= MIN_SIGNS:
            self.work_class = WorkClass.LONG
        elif self.long_share < SHORT_BELOW and (self.is_proven or is_long):
            self.work_class = WorkClass.SHORT

    def add_run(self, seconds):
        """Learn the run time of one run."""
        weight = max(1 / (self.runs + 1), MIN_WEIGHT)
        self.mean_s += weight * (seconds - self.mean_s)
        self.runs = min(self.runs + 1, PROVEN_RUNS + math.ceil(1 / MIN_WEIGHT))


class RunTimeEstimates:
    """The estimates of one service, by organisation and kind."""

    def __init__(self, service):
        self.set_service(service)
        self._kinds = {}

    def set_service(self, service):
        """Take the expected run times of the classes from the manifest."""
        expected = {
            WorkClass(name): declared.expected_ms / 1000
            for name, declared in service.classes.items()
        }
        self._expected = expected
        # The geometric mean is as far from either class, as run times spread over
        # orders of magnitude.
        self.threshold_s = math.sqrt(
            expected[WorkClass.SHORT] * expected[WorkClass.LONG]
        )

    def find(self, request):
        """Return the KindEstimate of a request's kind, made if it is new."""
        kinds = self._kinds.get(request.organisation)
        if kinds is None:
            kinds = self._kinds[request.organisation] = {}
        name = (request.declared_class, request.kind)
        estimate = kinds.get(name)
        if estimate is None:
            if len(kinds) >= MAX_KINDS:
                name = (request.declared_class, None)
                if name in kinds:
                    return kinds[name]
            declared = request.declared_class
            estimate = KindEstimate(self._expected[declared], declared)
            kinds[name] = estimate
        return estimate

    def forget_organisations(self, known):
        """Drop what was learned of organisations that are not in ``known``."""
        for name in [name for name in self._kinds if name not in known]:
            del self._kinds[name]
