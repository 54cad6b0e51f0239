import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.fleet_replay import ReplayOptions, replay_fleet
from magnoliapier.fleet_state import FleetState
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.planner import Planner, PlannerInputs
from magnoliapier.platform_api import HostStatus, ListedHost, TaskStatus
from magnoliapier.traces import Commit, Fault
from tests.samples import commit_entry, sample_manifest
from tests.test_fleet_replay import make_header


def job(**changes):
    values = {"organisation": "desk-a", "team": "index", "pool": "archive", "cores": 8}
    return {**values, **changes}


def job_manifest(jobs, quota=1000, hosts=4):
    values = sample_manifest(services=("wire",), hosts=hosts)
    values["pools"]["archive"] = {"min_hosts": 1}
    for number in range(hosts):
        values["hosts"][f"archive-{number}"] = {
            "data_centre": f"dc-{number % 2 + 1}",
            "rack": f"rack-9-{number}",
            "pool": "archive",
            "address": f"127.0.0.1:{25000 + number}",
        }
    team = {"cores": quota, "memory_gb": 1000, "accelerators": 10}
    values["organisations"]["desk-a"] = {"teams": {"index": team}}
    values["jobs"] = jobs
    return values


class JobTests(unittest.TestCase):
    def prepare(self, jobs, **options):
        self.clock = VirtualClock(100.0)
        self.platform = MemoryPlatform(self.clock)
        self.tasks = self.platform.tasks
        self.state = FleetState()
        self.state.apply(commit_entry(self.state, job_manifest(jobs, **options)))
        self.boots = {}
        self.listed = set(self.state.manifest.hosts)

    def commit(self, jobs, **options):
        self.state.apply(commit_entry(self.state, job_manifest(jobs, **options)))

    def tick(self, epoch=1, seconds=1.0):
        """Run one tick of a new planner, as after a takeover."""
        self.clock.advance(seconds)
        hosts = [
            ListedHost(n, HostStatus.LIVE, "127.0.0.1:1", self.boots.get(n, 0))
            for n in sorted(self.listed)
        ]
        planner = Planner(self.clock, self.platform)
        inputs = PlannerInputs(self.state, {}, [], hosts, epoch, self.clock.time())
        output = planner.tick(inputs)
        return {note.subject: note.reason for note in output.notes}

    def running(self):
        return {
            task.task_id.split("/")[0]: task
            for task in self.tasks.tasks()
            if task.status is TaskStatus.RUNNING
        }

    def test_job_starts_once_over_takeovers(self):
        """Guards against a second task of a job that runs already."""
        self.prepare({"a": job()})
        for epoch in (1, 2, 3):
            self.tick(epoch)
        self.assertEqual(len(self.tasks.tasks()), 1)

    def test_jobs_that_never_fit_are_refused_with_the_reason(self):
        self.prepare(
            {"a": job(cores=64), "b": job(accelerators=50), "c": job(team="x")},
            quota=100,
        )
        notes = self.tick()
        self.assertIn("no worker of pool archive has 64 cores", notes["job/a"])
        self.assertIn("quota is 10", notes["job/b"])
        self.assertIn("not declared", notes["job/c"])
        self.assertEqual(self.running(), {})

    def test_quota_holds_jobs_back(self):
        """Guards against a team that takes the workers of other teams."""
        self.prepare({f"j{n}": job() for n in range(4)}, quota=16)
        self.tick()
        self.assertEqual(len(self.running()), 2)

    def test_urgent_job_throttles_in_the_same_tick(self):
        jobs = {f"j{n}": job(cores=32) for n in range(4)}
        self.prepare(jobs)
        self.tick()
        self.commit({**jobs, "now": job(cores=16, urgent=True)})
        self.tick()
        running = self.running()
        self.assertIn("now", running)
        self.assertEqual(len(running), 5)
        shares = [t.detail.get("share") for t in running.values() if t.detail]
        self.assertEqual(shares, [0.25])
        self.tasks.finish(running["now"].task_id)
        self.tick()
        self.assertEqual(
            {t.detail.get("share", 1.0) for t in self.running().values()}, {1.0}
        )

    def test_restored_cores_stay_within_the_quota(self):
        """
        Guards against a team that runs more than its quota after an urgent job.

        While a task is throttled, its team may start another job with the cores that
        the quota has free.
        """
        quota = 56
        cores = {"first": 32, "now": 16, "second": 32}
        first = {"first": job(cores=32)}
        self.prepare(first, quota=quota, hosts=2)
        self.tick()
        urgent = {**first, "now": job(cores=16, urgent=True)}
        self.listed = {name for name in self.listed if name != "archive-1"}
        self.commit(urgent, quota=quota, hosts=2)
        self.tick()
        self.listed = set(self.state.manifest.hosts)
        self.commit({**urgent, "second": job(cores=32)}, quota=quota, hosts=2)
        self.tick()
        self.assertEqual(set(self.running()), set(cores))
        self.tasks.finish(self.running()["now"].task_id)
        for _ in range(3):
            self.tick()
            used = sum(
                cores[name] * task.detail.get("share", 1.0)
                for name, task in self.running().items()
            )
            self.assertLessEqual(used, quota)

    def test_urgent_job_checkpoints_when_memory_is_short(self):
        """Guards against losing the work of the tasks that an urgent job displaces."""
        jobs = {f"j{n}": job(memory_gb=128) for n in range(4)}
        self.prepare(jobs)
        self.tick()
        self.commit({**jobs, "now": job(memory_gb=64, urgent=True)})
        for _ in range(3):
            self.tick()
        self.assertIn("now", self.running())
        statuses = [task.status for task in self.tasks.tasks()]
        self.assertEqual(statuses.count(TaskStatus.CHECKPOINTED), 1)
        self.tasks.finish(self.running()["now"].task_id)
        self.tick()
        resumed = [t for t in self.running().values() if t.checkpoint]
        self.assertEqual(len(resumed), 1)

    def test_failures_of_three_jobs_do_not_count_as_attempts(self):
        """Guards against giving up good jobs because one worker is faulty."""
        self.prepare({f"j{n}": job(max_attempts=1) for n in range(3)}, hosts=2)
        self.tick()
        hosts = {task.host for task in self.running().values()}
        self.assertEqual(len(hosts), 1)
        for task in self.running().values():
            self.tasks.finish(task.task_id, TaskStatus.FAILED)
        notes = self.tick()
        self.assertIn(f"host/{next(iter(hosts))}", notes)
        self.assertEqual(len(self.running()), 3)
        self.assertFalse(hosts & {task.host for task in self.running().values()})

    def test_job_waits_for_a_worker_that_it_did_not_fail_on(self):
        """Guards against a worker that fails fast and uses up a job's attempts."""
        for urgent in (False, True):
            self.prepare(
                {"a": job(cores=32, urgent=urgent), "b": job(cores=32, urgent=True)},
                hosts=2,
            )
            self.tick()
            first = self.running()["a"]
            self.tasks.finish(first.task_id, TaskStatus.FAILED)
            notes = self.tick()
            self.assertNotIn("a", self.running())
            self.assertIn("job/a", notes)
            self.tasks.finish(self.running()["b"].task_id)
            self.tick()
            self.assertNotEqual(self.running()["a"].host, first.host)

    def test_retries_are_bounded(self):
        self.prepare({"a": job(max_attempts=2)})
        for _ in range(4):
            self.tick()
            for task in self.running().values():
                self.tasks.finish(task.task_id, TaskStatus.FAILED)
        self.assertEqual(len(self.tasks.tasks()), 2)
        self.assertIn("2 times", self.tick()["job/a"])

    def test_lapses_are_bounded_but_use_no_attempt(self):
        """Guards against a job that brings down one worker after another."""
        self.prepare({"a": job(max_attempts=1)})
        for _ in range(15):
            self.tick()
            self.clock.advance(500.0)
        self.assertEqual(len(self.tasks.tasks()), 10)
        self.assertIn("lapsed 10 times", self.tick()["job/a"])

    def test_lapsed_non_idempotent_job_waits_for_a_confirmed_stop(self):
        """Guards against two runs while the first worker is only paused."""
        self.prepare({"a": job(idempotent=False)})
        self.tick()
        host = self.running()["a"].host
        stop = self.tasks.stop
        self.tasks.stop = self.refuse_stop
        self.listed.discard(host)
        self.clock.advance(500.0)
        for _ in range(3):
            notes = self.tick(epoch=2)
            self.assertEqual(self.running(), {})
        self.assertIn("confirmed stopped", notes["job/a"])
        self.listed.add(host)
        self.boots[host] = 1
        self.tick(epoch=2)
        self.assertIn("a", self.running())
        self.tasks.stop = stop

    @staticmethod
    def refuse_stop(task_id, fence):
        raise StoreUnavailableError("The host does not answer; try later.")

    def test_cancelled_job_is_stopped(self):
        self.prepare({"a": job()})
        self.tick()
        self.state.cancelled["a"] = "job"
        self.tick()
        self.assertEqual(self.running(), {})


class JobReplayTests(unittest.TestCase):
    def test_cut_and_takeovers_never_run_a_job_twice(self):
        jobs = {f"j{n}": job(idempotent=False, expected_s=300) for n in range(12)}
        header = make_header(1800.0)
        header.manifest.update(job_manifest(jobs))
        events = [
            Fault(60.0, "data_centre_cut", 400.0, "dc-1"),
            Fault(100.0, "planner_paused", 30.0),
            Fault(200.0, "store_down", 200.0),
            Fault(700.0, "rack_lost", 120.0, "rack-9-1"),
            Commit(800.0, "op", 1, {"jobs": {"now": job(urgent=True)}}),
        ]
        options = ReplayOptions(tick_s=1.0)
        report = replay_fleet(header, events, "planner", 5, options=options)
        self.assertEqual(report.double_runs, 0)
        ended = {end.job for end in report.job_ends if end.outcome == "succeeded"}
        self.assertGreaterEqual(len(ended), 10)
        urgent = report.first_starts(urgent=True)[0]
        self.assertLessEqual(urgent.wait_s, 4.7)
