"""
Expected task durations, learned for each queue.

Submitters' estimates are often wrong by a factor of several, so they only adjust the
mean duration that was observed for the queue.
"""

import math

ESTIMATE_WEIGHT = 0.25  # of the submitter's estimate, on a logarithmic scale
SMOOTHING = 0.04  # weight of the newest observation
INITIAL_SMOOTHING = 0.25  # weight of each of the first observations
INITIAL_OBSERVATIONS = 12
DEFAULT_TASK_MS = 1000.0  # for a queue without observations or estimates
ESTIMATE_CORRECTION = 0.67  # widely spread estimates have too high a mean
WIDTH_GROWTH = 0.35  # relative growth of the slowest task per ln(task count)


class DurationModel:
    """
    Expected durations of tasks and steps by queue, in milliseconds.

    Example::

        model = DurationModel()
        model.observe("filings", 700.0)
        model.task_ms("filings", step)
    """

    def __init__(self):
        self._mean_ms = {}
        self._count = {}

    def add_estimate(self, queue, estimated_ms):
        """Update the mean from an estimate; ignored once a task has been observed."""
        if estimated_ms > 0 and not self._count.get(queue):
            corrected_ms = estimated_ms * ESTIMATE_CORRECTION
            mean_ms = self._mean_ms.get(queue, corrected_ms)
            self._mean_ms[queue] = mean_ms + SMOOTHING * (corrected_ms - mean_ms)

    def observe(self, queue, duration_ms):
        """Update the mean from the measured duration of a task."""
        count = self._count.get(queue, 0)
        self._count[queue] = count + 1
        weight = INITIAL_SMOOTHING if count < INITIAL_OBSERVATIONS else SMOOTHING
        mean_ms = self._mean_ms.get(queue, duration_ms)
        self._mean_ms[queue] = mean_ms + weight * (duration_ms - mean_ms)

    def task_ms(self, queue, step):
        """Return the expected duration of one task of ``step``."""
        mean_ms = self._mean_ms.get(queue, DEFAULT_TASK_MS)
        if step.estimated_ms <= 0:
            return mean_ms
        return mean_ms * (step.estimated_ms / mean_ms) ** ESTIMATE_WEIGHT

    def step_ms(self, queue, step):
        """Return the expected duration of the slowest task of ``step``."""
        growth = 1 + WIDTH_GROWTH * math.log(step.task_count)
        return self.task_ms(queue, step) * growth

    def critical_path_ms(self, queue, steps, done=()):
        """
        Return the expected duration of the longest chain of dependent steps.

        Steps whose index is in ``done`` take no time.
        """
        finish_ms = []
        for index, step in enumerate(steps):
            start_ms = max((finish_ms[i] for i in step.after), default=0.0)
            duration_ms = 0.0 if index in done else self.step_ms(queue, step)
            finish_ms.append(start_ms + duration_ms)
        return max(finish_ms, default=0.0)
