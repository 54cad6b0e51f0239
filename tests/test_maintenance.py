import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.fleet_replay import ReplayOptions, replay_fleet
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.planner import Planner, PlannerInputs
from magnoliapier.platform_api import HostStatus, ListedHost
from magnoliapier.traces import Commit, DemandSample, Fault
from tests.samples import sample_state
from tests.test_fleet_replay import make_header
from tests.test_planner import apply_all


def make_wave_header(duration_s=3600.0, spare=True, **changes):
    header = make_header(duration_s, hosts=8)
    values = header.manifest
    values["maintenance"] = {
        "kernel": {
            "pools": ["wire"],
            "start": 60,
            "end": duration_s,
            "work_s": 120,
            **changes,
        }
    }
    values["pools"]["wire"]["max_unavailable"] = 2
    if not spare:
        for name in list(values["hosts"]):
            if name.startswith("spare"):
                del values["hosts"][name]
    return header


def replay_planner(header, events=(), hosts=3.0, **options):
    options.setdefault("reboot_s", 60.0)
    options.setdefault("straggler_share", 0.0)
    demand = [DemandSample(0.0, "wire", hosts), DemandSample(0.0, "archive", 1.0)]
    return replay_fleet(
        header, [*demand, *events], "planner", 1, options=ReplayOptions(**options)
    )


def note_reasons(report):
    return " ".join(reason for _, _, reason in report.notes)


class MaintenanceTests(unittest.TestCase):
    def test_wave_reboots_every_host_within_the_budget(self):
        report = replay_planner(make_wave_header())
        wave = report.waves["kernel/wire"]
        self.assertEqual(wave.state, "finished")
        self.assertGreaterEqual(wave.done, 8)
        self.assertEqual(report.missed_minutes, [])
        self.assertEqual(report.rejected_entries, 0)

    def test_takeovers_do_not_lose_a_host(self):
        """Guards against a host left drained when its planner dies."""
        pauses = [Fault(t, "planner_paused", 8.0) for t in range(70, 3000, 47)]
        report = replay_planner(make_wave_header(), pauses)
        self.assertEqual(report.waves["kernel/wire"].state, "finished")
        self.assertGreaterEqual(report.waves["kernel/wire"].done, 8)
        self.assertGreater(report.planner_takeovers, 40)
        self.assertEqual(report.missed_minutes, [])

    def test_failures_in_the_middle_pause_the_wave(self):
        """Guards against a wave that takes hosts which the budget needs."""
        header = make_wave_header(spare=False)
        header.manifest["pools"]["wire"]["min_hosts"] = 8
        faults = [
            Fault(65.0, "endpoint_down", 900.0, "wire-5"),
            Fault(300.0, "endpoint_down", 900.0, "wire-7"),
        ]
        report = replay_planner(header, faults)
        self.assertEqual(report.missed_minutes, [])
        self.assertIn("hosts serve and 7 must", note_reasons(report))
        self.assertIn("Paused with", note_reasons(report))
        self.assertEqual(report.waves["kernel/wire"].done, 8)

    def test_draining_hosts_return_when_others_fail(self):
        """Guards against holding drained hosts that the budget needs again."""
        header = make_wave_header(900.0, spare=False)
        header.manifest["pools"]["wire"]["min_hosts"] = 8
        faults = [Fault(65.0, "endpoint_down", 900.0, f"wire-{n}") for n in (5, 7)]
        report = replay_planner(header, faults, straggler_share=1.0, straggler_s=300.0)
        self.assertIn(
            "returns to service: 5 hosts serve and 6 must", note_reasons(report)
        )

    def test_new_planner_waits_for_the_list_before_a_reboot(self):
        """Guards against a second reboot of a host that was just verified."""
        clock = VirtualClock(1000.0)
        platform = MemoryPlatform(clock)
        state = sample_state()
        for name, host in state.manifest.hosts.items():
            platform.hosts.set_host(ListedHost(name, HostStatus.LIVE, host.address))
        drain = {"host": "wire-0", "epoch": 2, "target": "wire", "reason": ""}
        steps = [("host_drain", drain), ("host_maintenance", {**drain, "epoch": 3})]
        apply_all(state, steps)
        planner = Planner(clock, platform)
        statuses = []
        for _ in range(3):
            listed = platform.hosts.hosts()
            inputs = PlannerInputs(state, {}, [], listed, 2, clock.time())
            apply_all(state, planner.tick(inputs).entries)
            rows = {host.name: host.status for host in platform.hosts.hosts()}
            statuses.append(rows["wire-0"])
            clock.advance(20.0)
        live = HostStatus.LIVE
        self.assertEqual(statuses, [live, live, HostStatus.REBOOTING])

    def test_bad_wave_is_rolled_back(self):
        """Guards against a fault of the maintenance that spreads over the fleet."""
        faults = [
            Fault(90.0, "endpoint_down", 3600.0, "wire-0"),
            Fault(90.0, "endpoint_down", 3600.0, "wire-2"),
        ]
        report = replay_planner(make_wave_header(), faults, hosts=0.5, drain_mean_s=1.0)
        wave = report.waves["kernel/wire"]
        self.assertEqual(wave.state, "rolled_back")
        self.assertIn("failed verification", wave.reason)
        self.assertEqual(wave.done, 0)

    def test_straggler_is_waited_for_and_then_deferred(self):
        """Guards against interrupting a request that outlasts the straggler limit."""
        report = replay_planner(
            make_wave_header(straggler_limit_s=200),
            straggler_share=1.0,
            straggler_s=400.0,
        )
        self.assertEqual(report.waves["kernel/wire"].done, 0)
        self.assertIn("requests in flight", note_reasons(report))
        self.assertIn("It returns to service: after 200 s", note_reasons(report))

    def test_note_shows_why_the_window_is_too_short(self):
        header = make_wave_header(start=3000, end=3300)
        report = replay_planner(header)
        first = next(t for t, _, reason in report.notes if "rounds" in reason)
        self.assertLess(first, 3000)
        self.assertIn("8 rounds of 120 s take 960 s", note_reasons(report))
        self.assertIn("the window has 300 s", note_reasons(report))

    def test_removed_maintenance_returns_its_hosts(self):
        """Guards against hosts held by a maintenance that no longer exists."""
        commit = Commit(70.0, "op", 1, {"maintenance": {"kernel": None}})
        report = replay_planner(make_wave_header(), [commit])
        last = [s for s in report.series if s.pool == "wire"][-1]
        self.assertEqual(last.serving, last.held)
