"""
Starts, supervises and cancels the background tasks of an object.

An unexpected error in one task must neither end the process nor leave a part of it
standing still unseen. A supervised task is logged, counted and started again, after a
delay that grows while the error persists. What it keeps between two runs is therefore
kept in its owner, not in local variables.
"""

import asyncio
import random as random_module
import time

from magnoliapier.logs import get_logger

FIRST_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 2.0
MIN_DELAY_SHARE = 0.5  # of the full delay; the rest is random

log = get_logger(__name__)


class Backoff:
    """
    Delays between attempts, which double up to a limit.

    Each delay is partly random, so that processes that failed together do not try again
    together. ``random()`` returns a number from 0 to 1.

    Example::

        backoff = Backoff(0.05, 0.4)
        while not await attempt():
            await asyncio.sleep(backoff.next_s())
    """

    def __init__(self, first_s, max_s, random=random_module.random):
        self._first_s = first_s
        self._max_s = max_s
        self._random = random
        self._delay_s = first_s

    def next_s(self):
        """Return the seconds to wait before the next attempt."""
        delay_s = self._delay_s
        self._delay_s = min(self._max_s, delay_s * 2)
        return delay_s * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * self._random())

    def reset(self):
        """Start again from the first delay, after an attempt that succeeded."""
        self._delay_s = self._first_s


def report_failure(name, error, metrics=None):
    """Log and count an unexpected error of the background task ``name``."""
    log.error("task_failed", task=name, error=repr(error))
    if metrics is not None:
        metrics.count("task_failures_total", task=name)


def supervise(name, run, metrics=None, backoff=None):
    """
    Return a task that calls ``run()`` and calls it again after each unexpected error.

    The task ends when ``run()`` returns or the task is cancelled. ``metrics`` may be
    None where the owner has none; the error is logged in any case.
    """
    backoff = backoff or Backoff(FIRST_RESTART_DELAY_S, MAX_RESTART_DELAY_S)

    async def run_until_done():
        while True:
            started_at = time.monotonic()
            try:
                return await run()
            except Exception as error:
                report_failure(name, error, metrics)
            if time.monotonic() - started_at > MAX_RESTART_DELAY_S:
                backoff.reset()
            await asyncio.sleep(backoff.next_s())

    return asyncio.create_task(run_until_done(), name=name)


async def cancel_tasks(*tasks):
    """Cancel tasks and wait until they have ended; None stands for no task."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
