import tempfile
import unittest
from pathlib import Path

from magnoliapier import generator
from magnoliapier.outcomes.language import read_outcomes
from magnoliapier.replay import drivers
from magnoliapier.traces import Arrival, read_trace

COMMITTED_FOLDER = Path(__file__).parent.parent / "traces"
MAX_FILE_BYTES = 300_000


class CommittedTraceTests(unittest.TestCase):
    def test_committed_files_are_those_of_seed_one(self):
        """Guards against traces or outcomes changed by hand to get a pass."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            generator.main(["--output", name, "--seed", "1"])
            generated_names = sorted(path.name for path in folder.iterdir())
            self.assertEqual(
                generated_names,
                sorted(path.name for path in COMMITTED_FOLDER.iterdir()),
            )
            for file_name in generated_names:
                with self.subTest(file=file_name):
                    self.assertEqual(
                        (folder / file_name).read_bytes(),
                        (COMMITTED_FOLDER / file_name).read_bytes(),
                    )

    def test_traces_are_small_and_valid(self):
        """Guards against files that are unreadable or too large for the repository."""
        for path in COMMITTED_FOLDER.glob("*.jsonl.gz"):
            with self.subTest(trace=path.name):
                self.assertLess(path.stat().st_size, MAX_FILE_BYTES)
                self.assertTrue(read_trace(path).events)
                name = path.name.removesuffix(".jsonl.gz")
                outcomes = read_outcomes(COMMITTED_FOLDER / f"{name}.outcomes.json")
                self.assertEqual(outcomes.trace, name)
                for driver in outcomes.drivers:
                    self.assertIn(driver, drivers)


class SizeTests(unittest.TestCase):
    """Guards against traces whose sizes differ from those on the design page."""

    def test_fleet_sizes_match_the_design_page(self):
        for deployment, memory_gb, entries in (
            (generator.CONSORTIUM, 128, 7),
            (generator.FROKOSTKASSA, 64, 6),
        ):
            header = generator.build_header(deployment, "x", "", 1.0, 1)
            hosts = header.manifest["hosts"].values()
            self.assertEqual(len(header.entry_hosts), entries)
            self.assertEqual({host["memory_gb"] for host in hosts}, {memory_gb})
            for pool in deployment.services:
                self.assertEqual(len(generator.initial_hosts(header, pool)), 8)
            racks = [host["rack"] for host in hosts]
            self.assertEqual({racks.count(rack) for rack in racks}, {4})
            placed = [(host["rack"], host["pool"]) for host in hosts]
            self.assertEqual(len(placed), len(set(placed)))

    def test_month_end_bursts_exceed_the_pool_and_keep_the_mean(self):
        """Guards against bursts that fit in the pool or that change the mean demand."""
        scenario = generator.scenarios.get("month-end")("month-end", 1)
        rotation_s = generator.BURST_S * 5
        work_s = sum(
            event.run_s
            for event in scenario.events
            if isinstance(event, Arrival) and event.t < rotation_s
        )
        mean_slots = work_s / rotation_s / 5
        self.assertAlmostEqual(mean_slots / generator.MONTH_END_SLOTS, 1.04, delta=0.2)
        self.assertGreater(
            generator.MONTH_END_SLOTS * generator.BURST_FACTOR, generator.POOL_SLOTS
        )
