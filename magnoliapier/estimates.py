"""
Estimate run times of requests and classify kinds of requests as short or long.

Run times are learned per service, organisation, declared class and kind. Of what a
caller declares, only the class is used, and only until enough runs were measured.
"""

import math
from dataclasses import dataclass

from magnoliapier.request_tables import WorkClass

# Completed runs after which the learned class of a kind is trusted.
PROVEN_RUNS = 8
# The least weight of the newest run in the averages, so that a change of a kind is
# learned in about 1 / MIN_WEIGHT runs.
MIN_WEIGHT = 0.05
# Hysteresis: a kind becomes long above the first limit and short below the second, so
# that a kind near one of them does not change class at each run.
LONG_IF_SHARE_ABOVE = 0.30
SHORT_IF_SHARE_BELOW = 0.15
# Runs needed before a kind can become long, so that a single slow run among the first
# ones cannot make it long.
MIN_CLASS_SAMPLES = 4
# Callers choose kinds freely. Beyond this number per service and organisation, new
# kinds of one declared class share one estimate.
MAX_KINDS = 256


@dataclass(slots=True)
class KindEstimate:
    """
    The learned run time and class of one kind of request.

    ``mean_s`` is the mean run time. ``long_share`` is the share of recent runs that
    exceeded the service's threshold, learned from ``class_samples`` runs. ``runs``
    counts the runs that ended; it stops growing once it no longer affects the result.
    """

    mean_s: float
    work_class: WorkClass
    long_share: float = 0.0
    runs: int = 0
    class_samples: int = 0

    @property
    def is_proven(self):
        """Whether enough runs ended to trust the class."""
        return self.runs >= PROVEN_RUNS

    def add_class_sample(self, is_long):
        """Update the class with whether one run exceeded the threshold."""
        self.class_samples += 1
        weight = max(1 / self.class_samples, MIN_WEIGHT)
        self.long_share += weight * (is_long - self.long_share)
        if (
            self.long_share > LONG_IF_SHARE_ABOVE
            and self.class_samples >= MIN_CLASS_SAMPLES
        ):
            self.work_class = WorkClass.LONG
        elif self.long_share < SHORT_IF_SHARE_BELOW and (self.is_proven or is_long):
            self.work_class = WorkClass.SHORT

    def add_run(self, seconds):
        """Update the mean with the run time of one run."""
        weight = max(1 / (self.runs + 1), MIN_WEIGHT)
        self.mean_s += weight * (seconds - self.mean_s)
        self.runs = min(self.runs + 1, PROVEN_RUNS + math.ceil(1 / MIN_WEIGHT))


class RunTimeEstimates:
    """
    The estimates of one service, by organisation and kind.

    ``threshold_s`` is the run time in seconds above which a run counts as long.
    """

    def __init__(self, service):
        self.set_service(service)
        self._kinds = {}

    def set_service(self, service):
        """Set the expected run times of the classes from the manifest."""
        expected = {
            WorkClass(name): declared.expected_ms / 1000
            for name, declared in service.classes.items()
        }
        self._expected = expected
        # Run times differ by orders of magnitude, and the geometric mean is at the
        # same ratio from both classes.
        self.threshold_s = math.sqrt(
            expected[WorkClass.SHORT] * expected[WorkClass.LONG]
        )

    def find(self, request):
        """Return the KindEstimate of a request's kind, creating it for a new kind."""
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
        """Drop the estimates of organisations that are not in ``known``."""
        for name in [name for name in self._kinds if name not in known]:
            del self._kinds[name]
