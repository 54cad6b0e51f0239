import random
import unittest

from magnoliapier.fleet_policies import plan_peaks, policies
from magnoliapier.fleet_replay import ReplayOptions, replay_fleet
from magnoliapier.traces import DemandSample, Drain, Fault
from tests.test_jobs import job, job_manifest
from tests.test_maintenance import make_wave_header


def random_faults(rng, header, count):
    """Return faults of all kinds that a fleet replay knows, at random instants."""
    hosts = sorted(header.manifest["hosts"])
    racks = sorted({host["rack"] for host in header.manifest["hosts"].values()})
    targets = {
        "endpoint_down": hosts,
        "endpoint_failing": hosts,
        "rack_lost": racks,
        "data_centre_cut": ["dc-1", "dc-2"],
        "entry_paused": sorted(header.entry_hosts),
        "store_down": [""],
        "planner_paused": [""],
    }
    faults = []
    for _ in range(count):
        kind = rng.choice(sorted(targets))
        t, duration = rng.uniform(0, header.duration_s), rng.uniform(3, 400)
        faults.append(Fault(t, kind, duration, rng.choice(targets[kind])))
    return faults


class PolicyTests(unittest.TestCase):
    def test_offline_plan_closes_short_dips_only(self):
        rows = [
            DemandSample(t * 600.0, "wire", hosts)
            for t, hosts in enumerate([5, 1, 5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 5])
        ]
        plan = plan_peaks(rows, 13 * 600.0)
        self.assertEqual(plan[15], 5)
        self.assertEqual(plan[60], 1)
        self.assertEqual(plan[119], 5)

    def test_serial_maintenance_holds_one_host(self):
        """Guards against a serial baseline that is as fast as the planner."""
        header = make_wave_header(900.0, pools=["archive", "wire"])
        header.manifest["pools"]["archive"]["max_unavailable"] = 3
        done = {}
        options = ReplayOptions(reboot_s=60.0)
        for name in ("serial_maintenance", "planner"):
            waves = replay_fleet(header, [], name, 1, options=options).waves
            done[name] = sum(wave.done for wave in waves.values())
        self.assertLess(done["serial_maintenance"], done["planner"])
        # One host after the other, none faster than the 60 s of a reboot.
        self.assertLessEqual(done["serial_maintenance"], 900 // 60)

    def test_all_policies_run_with_random_faults(self):
        """
        Guards against rejected entries, interrupted work and double runs.

        An entry with a wrong epoch stops every process from applying the log.
        """
        for seed, name in enumerate([*policies.names(), *["planner"] * 4]):
            rng = random.Random(seed)
            header = make_wave_header(1500.0)
            jobs = {
                f"j{n}": job(idempotent=n % 2 == 0, expected_s=200) for n in range(20)
            }
            values = job_manifest(jobs)
            for key in ("organisations", "jobs"):
                header.manifest[key] = values[key]
            events = [
                DemandSample(t, pool, rng.uniform(0, 6), rng.choice([0.0, 20.0]))
                for t in range(0, 1500, 100)
                for pool in ("wire", "archive")
            ]
            events += random_faults(rng, header, 12)
            events.append(Drain(rng.uniform(0, 900), "wire-3", "wire"))
            events.append(Drain(rng.uniform(0, 900), "spare-1", None, 100.0))
            with self.subTest(policy=name, seed=seed):
                report = replay_fleet(header, events, name, seed)
                self.assertEqual(report.rejected_entries, 0)
                self.assertEqual(report.double_runs, 0)
                self.assertEqual(report.interrupted, 0)
