import unittest
from unittest import mock

import msgspec

from magnoliapier.placement.durations import DurationModel
from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.placement.limits import NO_LIMITS, NoLimits
from magnoliapier.pools.need import HostNeed
from magnoliapier.pools.report import PoolReport, encode
from magnoliapier.service.fencing import EndpointFencing
from magnoliapier.service.incarnation import LeaseTerms
from magnoliapier.service.pool import (
    RELEASE_MEMORY_S,
    RETURNED_KEEP_S,
    PoolManager,
    long_running_to_save,
    runs_to_evacuate,
)
from magnoliapier.service.progress_rows import MAX_ROW_BYTES
from magnoliapier.service.session import LEAVES_SOON_S, EndpointSession
from magnoliapier.submissions.configuration import Queue
from magnoliapier.submissions.model import Resources, Step, Submission
from magnoliapier.submissions.progress import LiveRun, Progress, RunState
from tests.service.fakes import FakeClock, FakeEndpoints

SERVICE = "desk"
QUEUE = Queue("filings", "desk.example", "/f/", SERVICE)


def make_session(endpoint_id, started_ms=1, accelerators=0, labels=()):
    """Return an opened session of an endpoint that runs nothing."""
    record = EndpointRecord(
        endpoint_id,
        SERVICE,
        "e:1",
        "dc",
        False,
        Resources(1000, 1000, accelerators),
        labels,
        host=f"host-{endpoint_id}",
        started_ms=started_ms,
    )
    lease = LeaseTerms(5500, 6000)
    fencing = EndpointFencing(1, 1000)
    fencing.record_listing(1)
    session = EndpointSession(
        record, FakeEndpoints(), None, fencing, lease, FakeClock()
    )
    session.opened = True
    return session


def long_running_step(count, cpu_millicores):
    return Step(count, Resources(cpu_millicores, 100), long_running=True)


def open_progress(submission_id, step):
    """Return the progress of a submission of one step whose tasks may start."""
    submission = Submission(submission_id, QUEUE.name, "spec", (step,), accepted_ms=1)
    progress = Progress(submission, QUEUE)
    progress.open_occurrences(1)
    return progress


class ReleasedEndpointTests(unittest.TestCase):
    """Endpoints whose hosts the fleet controller may move at any moment."""

    def setUp(self):
        self.pool = PoolManager(SERVICE, DurationModel(), True, lambda: True)
        self.pool.restore(PoolReport({"e1": "host-e1"}))

    def update(self, sessions, now):
        self.pool.update(sessions, [], (), False, now)

    def test_released_endpoint_that_vanished_briefly_stays_released(self):
        """
        Guards against work on a host that is about to be moved.

        The row of an endpoint expires while the store is away and comes back; the fleet
        controller may still act on the report that released it.
        """
        self.update([make_session("e1")], now=0.0)
        self.update([], now=1.0)
        self.assertEqual(self.pool.report().released, {})
        returned = make_session("e1")
        self.update([returned], now=4.0)
        self.assertTrue(returned.released)
        self.assertEqual(self.pool.report().released, {"e1": "host-e1"})

    def test_released_endpoint_that_has_left_is_forgotten(self):
        """Guards against an endpoint that is never used after its host's last move."""
        self.update([make_session("e1")], now=0.0)
        self.update([], now=1.0)
        self.update([], now=1.1 + RELEASE_MEMORY_S)
        returned = make_session("e1")
        self.update([returned], now=2.0 + RELEASE_MEMORY_S)
        self.assertFalse(returned.released)


class SurplusTests(unittest.TestCase):
    """A pool has more hosts than it needs, for longer than it settles."""

    def released(self, wanted_by_others, has_standby):
        pool = PoolManager(SERVICE, DurationModel(), True, lambda: has_standby)
        sessions = [make_session(f"e{number}") for number in range(4)]
        for now in range(30):
            pool.update(sessions, [], (), wanted_by_others, float(now))
        return len(pool.report().released)

    def test_surplus_stays_where_no_pool_takes_it(self):
        """Guards against hosts that are released for good, and work that waits."""
        self.assertEqual(self.released(wanted_by_others=0, has_standby=False), 0)

    def test_surplus_is_released_to_the_standby_pool_or_to_others(self):
        """Guards against hosts that are kept, or kept from other pools."""
        self.assertEqual(self.released(wanted_by_others=0, has_standby=True), 3)
        self.assertEqual(self.released(wanted_by_others=3, has_standby=False), 3)

    def test_no_more_hosts_are_released_than_others_want(self):
        """Guards against a small need elsewhere that empties a pool."""
        self.assertEqual(self.released(wanted_by_others=1, has_standby=False), 1)
        self.assertEqual(self.released(wanted_by_others=1, has_standby=True), 3)


class ReturnedEndpointTests(unittest.TestCase):
    """The fleet controller returns released hosts that nobody wants."""

    def setUp(self):
        self.pool = PoolManager(SERVICE, DurationModel(), False, lambda: False)
        self.sessions = [make_session(f"e{number}") for number in range(4)]

    def update(self, now, wanted=0, returned=None):
        self.pool.take_back(returned or {}, now)
        self.pool.update(self.sessions, [], (), wanted, now)
        return self.pool.report()

    def release(self, now):
        """Release a host for another pool; return the report and the endpoint's id."""
        report = self.update(now, wanted=1)
        [endpoint_id] = report.released
        return report, endpoint_id

    def test_returned_endpoint_is_used_again(self):
        """Guards against idle hosts beside work that waits for good."""
        report, endpoint_id = self.release(now=10.0)
        self.assertFalse(all(s.usable(10.0) for s in self.sessions))
        self.update(11.0, returned={endpoint_id: report.release_number(endpoint_id)})
        self.assertEqual(self.pool.report().released, {})
        self.assertTrue(all(s.usable(11.0) for s in self.sessions))

    def test_return_of_an_earlier_release_does_not_count(self):
        """Guards against work on a host that is about to be moved."""
        report, endpoint_id = self.release(now=10.0)
        earlier = report.release_number(endpoint_id)
        self.update(11.0, returned={endpoint_id: earlier})
        report, again = self.release(now=20.0)
        report = self.update(20.1, wanted=1, returned={endpoint_id: earlier})
        self.assertIn(again, report.released)
        self.assertNotEqual(report.release_number(again), earlier)

    def test_numbers_are_not_used_twice_after_a_takeover(self):
        """Guards against the same after another host has taken the shard."""
        report, _ = self.release(now=10.0)
        successor = PoolManager(SERVICE, DurationModel(), False, lambda: False)
        successor.restore(report)
        self.pool = successor
        report = self.update(11.0, wanted=2)
        self.assertEqual(sorted(report.release_numbers.values()), [1, 2])

    def test_release_keeps_its_time_after_a_takeover(self):
        """Guards against a release that never ends where hosts of ours restart."""
        pool = PoolManager(SERVICE, DurationModel(), True, lambda: True, lambda now: 7)
        pool.update(self.sessions, [], (), 3, now=10.0)
        report = pool.report()
        self.assertEqual(set(report.released_ms.values()), {7})
        successor = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        successor.restore(report)
        self.assertEqual(successor.report().released_ms, report.released_ms)

    def test_returned_endpoint_is_kept_for_a_while(self):
        """Guards against a host that is released and returned in turn."""
        report, endpoint_id = self.release(now=10.0)
        returned = {endpoint_id: report.release_number(endpoint_id)}
        report = self.update(10.5, wanted=1, returned=returned)
        self.assertEqual(len(report.released), 1)
        self.assertNotIn(endpoint_id, report.released)
        later = self.update(10.5 + RETURNED_KEEP_S, wanted=2, returned=returned)
        self.assertIn(endpoint_id, later.released)


class KeptEndpointTests(unittest.TestCase):
    """The hosts of some endpoints can be moved to no other pool now."""

    def test_other_hosts_are_released_in_their_place(self):
        """Guards against surplus that nobody gets, and hosts that are idle in vain."""
        pool = PoolManager(SERVICE, DurationModel(), True, lambda: True)
        sessions = [make_session(f"e{number}") for number in range(4)]
        for now in range(30):
            pool.update(
                sessions, [], (), 0, float(now), keeps={"e0", "e1"}.__contains__
            )
        self.assertEqual(sorted(pool.report().released), ["e2", "e3"])
        self.assertTrue(sessions[0].usable(30.0))


class AcceleratorTests(unittest.TestCase):
    def test_pool_asks_for_hosts_for_tasks_that_only_need_accelerators(self):
        """Guards against tasks that wait for good beside idle hosts in standby."""
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        step = Step(4, Resources(0, 0, 1), long_running=True)
        sessions = [make_session("e1", accelerators=1)]
        pool.update(sessions, [open_progress("a" * 16, step)], (), False, now=10.0)
        self.assertGreaterEqual(pool.report().wanted, 3)


class WideTaskTests(unittest.TestCase):
    def test_pool_asks_for_a_host_on_which_a_wide_task_fits(self):
        """Guards against a step that never starts beside long-running tasks."""
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        serving = open_progress("a" * 16, long_running_step(2, 500))
        sessions = [make_session("e1"), make_session("e2")]
        for session, task in zip(sessions, serving.tasks(), strict=True):
            session.reserve(LiveRun(serving, task, task.begin_run("e", 0.0)))
        wide = open_progress("b" * 16, Step(1, Resources(800, 100), 1000))
        pool.update(sessions, [serving, wide], (), False, now=10.0)
        self.assertEqual(pool.report().wanted, 1)


class UnservableWorkTests(unittest.TestCase):
    """
    Work waits that no host of the pool can run.

    The pattern is the loss of the only host with a label, and a request that is larger
    than any host: further hosts of the usual kind would stay empty.
    """

    def update(self, *steps, has_standby=True, labels=()):
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: has_standby)
        progresses = [
            open_progress(f"{number:016x}", step) for number, step in enumerate(steps)
        ]
        sessions = [make_session("e1", labels=labels)]
        pool.update(sessions, progresses, (), False, now=10.0)
        return pool.report()

    def test_work_that_requires_a_lost_label_asks_for_hosts_with_it_only(self):
        """Guards against hosts that one service takes in vain and others wait for."""
        step = Step(30, Resources(500, 100), long_running=True, required_label="lost")
        report = self.update(step)
        self.assertEqual(report.wanted, 0)
        [need] = report.further_needs
        self.assertEqual((need.label, need.resources), ("lost", Resources()))
        self.assertGreaterEqual(need.count, 15)

    def test_work_that_requires_a_present_label_asks_for_more_hosts_with_it(self):
        """Guards against labelled work that is given up once one host has the label."""
        step = Step(30, Resources(500, 100), long_running=True, required_label="fast")
        report = self.update(step, labels=("a", "r1", "fast"))
        self.assertEqual(report.wanted, 0)
        self.assertGreaterEqual(report.further_needs[0].count, 14)

    def test_work_larger_than_a_host_asks_for_one_host_that_holds_it(self):
        """Guards against hosts that are moved for work which none of them holds."""
        large = Step(9, Resources(5000, 100), long_running=True)
        report = self.update(large, Step(9, Resources(100, 9000), estimated_ms=9000))
        self.assertEqual(report.wanted, 0)
        self.assertEqual(
            report.further_needs,
            (
                HostNeed("", Resources(5000, 100), 1),
                HostNeed("", Resources(100, 9000), 1),
            ),
        )

    def test_work_that_few_hosts_hold_asks_for_more_hosts_of_that_size(self):
        """Guards against small hosts that are moved for work which large ones hold."""
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        large = Step(6, Resources(1000, 100, 2), long_running=True)
        sessions = [make_session("e1"), make_session("e2", accelerators=2)]
        pool.update(sessions, [open_progress("a" * 16, large)], (), False, now=10.0)
        report = pool.report()
        self.assertEqual(report.wanted, 0)
        [need] = report.further_needs
        self.assertEqual(need.resources, Resources(1000, 100, 2))
        self.assertGreaterEqual(need.count, 5)

    def test_row_holds_the_report_whatever_is_required(self):
        """Guards against a row that the store refuses, so that nothing is stored."""
        steps = [
            Step(1, Resources(500, 100), required_label=f"lost-{n}" * 20)
            for n in range(3000)
        ]
        report = self.update(*steps, Step(1, required_label="x" * MAX_ROW_BYTES))
        self.assertLess(len(encode(report)), MAX_ROW_BYTES)
        self.assertGreater(len(report.further_needs), 0)

    def test_arrivals_that_no_host_can_run_ask_for_none(self):
        """Guards against a stream of work that can't run and keeps all hosts."""
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        sessions = [make_session("e1")]
        pool.update(sessions, [], (), False, now=10.0)
        for label, size in (("lost", 500), ("", 5000)):
            step = Step(30, Resources(size, 100), 9000, required_label=label)
            pool.submission_arrived(open_progress("a" * 16, step), 10.1)
        pool.update(sessions, [], (), False, now=10.2)
        self.assertEqual(pool.report().wanted, 0)
        pool.submission_arrived(
            open_progress("b" * 16, Step(30, Resources(500, 100), 9000)), 10.3
        )
        pool.update(sessions, [], (), False, now=10.4)
        self.assertGreater(pool.report().wanted, 0)

    def test_other_work_still_gets_hosts(self):
        """Guards against a pool that stays small beside work that can't run."""
        lost = Step(30, Resources(500, 100), long_running=True, required_label="lost")
        sound = Step(8, Resources(500, 100), long_running=True)
        self.assertGreaterEqual(self.update(lost, sound).wanted, 3)

    def test_any_host_is_wanted_without_a_standby_pool(self):
        """Guards against hosts that other pools release and nobody takes."""
        lost = Step(30, Resources(500, 100), long_running=True, required_label="lost")
        report = self.update(lost, has_standby=False)
        self.assertGreaterEqual(report.wanted, 15)
        self.assertEqual(report.further_needs, ())


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        step = Step(20, Resources(1, 1), long_running=True, may_miss=2)
        self.progress = open_progress("a" * 16, step)
        self.session = make_session("e1")
        for task in self.progress.tasks():
            live = LiveRun(self.progress, task, task.begin_run("e1", 0.0))
            live.run.state = RunState.CONFIRMED
            live.run.record_listing(100, 0.0)
            self.session.reserve(live)

    def evacuate(self):
        return runs_to_evacuate(self.session, lambda live: True, 0.0)

    def miss(self, count):
        """Let the first ``count`` tasks be unavailable."""
        for task in list(self.progress.tasks())[:count]:
            task.runs[0].percent = 0

    def test_step_may_miss_no_more_than_it_allows(self):
        """Guards against planned stops that end too many tasks of a step (AVAIL)."""
        self.assertEqual(len(self.evacuate()), 1)
        self.miss(1)
        self.assertEqual(len(self.evacuate()), 1)
        self.miss(3)
        self.assertEqual(self.evacuate(), [])

    def test_all_tasks_are_saved_from_an_endpoint_that_leaves(self):
        """Guards against tasks that end with it and wait for its lease (LOST)."""
        saved = long_running_to_save(self.session, lambda live: True)
        self.assertEqual(len(saved), 20)
        self.assertEqual(long_running_to_save(self.session, lambda live: False), [])

    def test_endpoint_leaves_soon_when_its_announced_time_has_passed(self):
        """Guards against tasks that are stopped all at once, or too late."""
        record = self.session.record
        now = self.session._clock()
        self.assertFalse(self.session.leaves_soon(now + 99))
        leaving = msgspec.structs.replace(record, draining=True, leaves_in_s=5.0)
        self.session.update(leaving)
        self.assertFalse(self.session.leaves_soon(now + 4.9 - LEAVES_SOON_S))
        self.assertTrue(self.session.leaves_soon(now + 5.0 - LEAVES_SOON_S))

    def test_task_that_is_unavailable_itself_does_not_count(self):
        """Guards against an evacuation that waits for the task that it would stop."""
        self.miss(2)
        first = next(self.progress.tasks())
        self.assertEqual([live.task for live in self.evacuate()], [first])

    def test_tasks_of_a_step_are_counted_once(self):
        """Guards against a cycle whose time grows with the square of a step (LOST)."""
        self.miss(20)
        siblings = mock.Mock(side_effect=self.progress.siblings)
        with mock.patch.object(self.progress, "siblings", siblings):
            self.assertEqual(self.evacuate(), [])
        self.assertEqual(siblings.call_count, 1)


class FirstWaiting(NoLimits):
    """Limits that admit so many waiting tasks, and no further work."""

    def __init__(self, count):
        self.left = count

    def count_waiting(self, progress, step, count):
        admitted = min(count, self.left)
        self.left -= admitted
        return admitted

    def may_need_hosts(self, progress, step):
        return False


class LimitedPoolTests(unittest.TestCase):
    """An organisation's limit keeps work from starting, whatever hosts there are."""

    def wanted(self, step, limits):
        pool = PoolManager(SERVICE, DurationModel(), False, lambda: True)
        progress = open_progress("a" * 16, step)
        sessions = [make_session("e1")]
        pool.update(sessions, [], (), False, 10.0, limits)
        pool.submission_arrived(progress, 10.1)
        pool.update(sessions, [progress], (), False, 10.2, limits)
        return pool.report().wanted

    def test_work_beyond_the_limit_asks_for_no_hosts(self):
        """Guards against hosts that run nothing while other pools need them."""
        short = Step(40, Resources(900, 100), estimated_ms=9000)
        serving = long_running_step(9, 900)
        for step in (short, serving):
            with self.subTest(long_running=step.long_running):
                self.assertGreater(self.wanted(step, NO_LIMITS), 5)
                self.assertEqual(self.wanted(step, FirstWaiting(0)), 0)
        self.assertEqual(self.wanted(serving, FirstWaiting(2)), 2)
