"""
How long tasks take, learned for each queue.

Submitters' estimates are off several times over, so they only shade the mean that was
observed for the queue.
"""

import math

ESTIMATE_WEIGHT = 0.25  # of the submitter's estimate, on a logarithmic scale
SMOOTHING = 0.04  # weight of the newest observation
FIRST_SMOOTHING = 0.25  # until enough observations have been made
FIRST_OBSERVATIONS = 12
DEFAULT_MS = 1000.0
ESTIMATE_BIAS = 0.67  # the mean of widely spread estimates lies above the true one
WIDTH_GROWTH = 0.35  # growth of the slowest task's duration with the log of the width


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
        """Take note of an estimate, which counts until tasks have been observed."""
        if estimated_ms > 0 and not self._count.get(queue):
            guess = estimated_ms * ESTIMATE_BIAS
            mean = self._mean_ms.get(queue, guess)
            self._mean_ms[queue] = mean + SMOOTHING * (guess - mean)

    def observe(self, queue, duration_ms):
        """Take note of how long a task took."""
        count = self._count.get(queue, 0)
        self._count[queue] = count + 1
        weight = FIRST_SMOOTHING if count < FIRST_OBSERVATIONS else SMOOTHING
        mean = self._mean_ms.get(queue, duration_ms)
        self._mean_ms[queue] = mean + weight * (duration_ms - mean)

    def task_ms(self, queue, step):
        """Return the expected duration of a task of a step."""
        mean = self._mean_ms.get(queue, DEFAULT_MS)
        if step.estimated_ms <= 0:
            return mean
        return mean * (step.estimated_ms / mean) ** ESTIMATE_WEIGHT

    def step_ms(self, queue, step):
        """Return the expected duration of a step's slowest task."""
        growth = 1 + WIDTH_GROWTH * math.log(step.task_count)
        return self.task_ms(queue, step) * growth

    def chain_ms(self, queue, steps, done=()):
        """Return the longest chain of the steps whose index is not in ``done``."""
        finish = []
        for index, step in enumerate(steps):
            begin = max((finish[i] for i in step.after), default=0.0)
            length = 0.0 if index in done else self.step_ms(queue, step)
            finish.append(begin + length)
        return max(finish, default=0.0)
