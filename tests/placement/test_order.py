import unittest

from magnoliapier.placement.durations import DurationModel
from magnoliapier.placement.order import Rank, order_key
from magnoliapier.submissions.configuration import Queue
from magnoliapier.submissions.model import Resources, Step, Submission
from magnoliapier.submissions.progress import Progress

QUEUE = Queue("filings", "h", "/f/", "desk", stretch=1.6, target_ms=600)
TASK_MS = 1000.0
SLOTS = 10
STEP_MS = 100


def make_progress(number, accepted_ms, **fields):
    step = Step(1, Resources(1000, 10), **fields)
    item = Submission(f"{number:016x}", QUEUE.name, "s", (step,), accepted_ms)
    progress = Progress(item, QUEUE)
    progress.open_occurrences(accepted_ms)
    return progress


def durations():
    model = DurationModel()
    for _ in range(20):
        model.observe(QUEUE.name, TASK_MS)
    return model


class OrderKeyTests(unittest.TestCase):
    def test_long_running_submission_comes_first(self):
        """Guards against a service that stays down while short submissions queue."""
        model = durations()
        long_running = order_key(make_progress(1, 5000, long_running=True), model, 5000)
        short = order_key(make_progress(2, 0), model, 1500)
        self.assertLess(long_running, short)

    def test_late_submission_comes_last(self):
        """Guards against slots spent on submissions whose due time has passed."""
        model = durations()
        late = order_key(make_progress(1, 0), model, 9000)
        new = order_key(make_progress(2, 9000), model, 9000)
        self.assertEqual(late[0], Rank.LATE)
        self.assertLess(new, late)

    def test_earlier_due_time_comes_first(self):
        """Guards against a newer submission that is served before an older one."""
        model = durations()
        older = order_key(make_progress(1, 0), model, 100)
        newer = order_key(make_progress(2, 90), model, 100)
        self.assertLess(older, newer)


class BurstTests(unittest.TestCase):
    """
    Simulates a burst of 8 s that arrives at 1.3 times the capacity of the pool.

    Tasks take 1 s on 10 slots, 13 arrive per second, and each is due 2.2 s after its
    arrival.
    """

    def simulate(self, key_of):
        waiting, running, in_time, number = [], [], 0, 0
        for now in range(0, 12_000, STEP_MS):
            for progress, end in list(running):
                if end <= now:
                    running.remove((progress, end))
                    due = progress.submission.accepted_ms + 2200
                    in_time += end <= due
            arrivals = 13 * (now + STEP_MS) // 1000 - 13 * now // 1000
            for _ in range(arrivals if now < 8000 else 0):
                number += 1
                waiting.append(make_progress(number, now))
            waiting.sort(key=lambda progress, t=now: key_of(progress, t))
            while waiting and len(running) < SLOTS:
                running.append((waiting.pop(0), now + int(TASK_MS)))
        return in_time, number

    def test_most_submissions_of_a_burst_complete_in_time(self):
        """Guards against an order that makes every submission of a burst late."""
        model = durations()
        in_time, number = self.simulate(lambda p, t: order_key(p, model, t))
        oldest_first, _ = self.simulate(lambda p, t: p.submission.accepted_ms)
        self.assertGreater(in_time, 0.7 * number)
        self.assertGreater(in_time, oldest_first)
