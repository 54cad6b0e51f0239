import unittest

from magnoliapier.exceptions import ManifestError
from magnoliapier.manifest import validate_manifest
from magnoliapier.manifest_checks import check_manifest
from magnoliapier.manifest_diff import Change, diff_manifests, overlapping_changes
from tests.samples import sample_manifest


class ManifestChecksTests(unittest.TestCase):
    def problems(self, change):
        values = sample_manifest()
        change(values)
        with self.assertRaises(ManifestError) as caught:
            check_manifest(validate_manifest(values))
        return [str(problem) for problem in caught.exception.problems]

    def test_accepts_sample(self):
        check_manifest(validate_manifest(sample_manifest()))

    def test_window_shorter_than_budget_allows(self):
        """Guards against maintenance that can only end in time by breaking a budget."""

        def change(values):
            values["maintenance"] = {
                "kernel": {"pools": ["wire"], "start": 0, "end": 1000, "work_s": 600}
            }

        (problem,) = self.problems(change)
        self.assertIn("ceil(4 / 1) * 600 = 2400 s and the window has 1000 s", problem)

    def test_budget_that_allows_no_maintenance(self):
        def change(values):
            values["services"]["wire"]["min_available"] = 1.0
            values["maintenance"] = {
                "kernel": {"pools": ["wire"], "start": 0, "end": 1e6}
            }

        self.assertIn("none can be maintained", self.problems(change)[0])

    def test_pool_minimum_above_its_number_of_hosts(self):
        def change(values):
            values["pools"]["wire"]["min_hosts"] = 5

        self.assertIn("min_hosts is 5", self.problems(change)[0])

    def test_undeclared_pool_and_organisation(self):
        def change(values):
            values["services"]["wire"]["pool"] = "lost"
            values["jobs"] = {
                "a": {
                    "organisation": "x",
                    "team": "t",
                    "pool": "wire",
                    "cores": 1,
                }
            }

        text = "\n".join(self.problems(change))
        self.assertIn("Pool 'lost'", text)
        self.assertIn("Organisation 'x'", text)

    def test_job_that_can_never_run(self):
        def change(values):
            team = {"cores": 10, "memory_gb": 999, "accelerators": 0}
            values["organisations"]["desk-a"] = {"teams": {"t": team}}
            values["jobs"] = {
                "a": {
                    "organisation": "desk-a",
                    "team": "t",
                    "pool": "wire",
                    "cores": 33,
                }
            }

        problems = self.problems(change)
        self.assertIn("largest host of pool 'wire' has 32", problems[0])
        self.assertIn("quota of team 't' is 10", problems[1])

    def test_shared_address_and_rack_in_two_data_centres(self):
        def change(values):
            values["hosts"]["wire-1"]["address"] = values["hosts"]["wire-0"]["address"]
            values["hosts"]["wire-1"]["rack"] = values["hosts"]["wire-0"]["rack"]
            values["hosts"]["wire-1"]["data_centre"] = "dc-2"

        text = "\n".join(self.problems(change))
        self.assertIn("own address", text)
        self.assertIn("unique across data centres", text)


class ManifestDiffTests(unittest.TestCase):
    def test_changes(self):
        old = {"a": {"x": 1, "y": 2}, "b": {"z": 1}}
        new = {"a": {"x": 3, "y": 2}, "c": {"z": 1}}
        self.assertEqual(
            list(diff_manifests(old, new)),
            [
                Change("$.a.x", "changed", 1, 3),
                Change("$.b", "removed", {"z": 1}, None),
                Change("$.c", "added", None, {"z": 1}),
            ],
        )

    def test_overlapping_changes_of_concurrent_operators(self):
        """Guards against a commit that undoes a change made since its base version."""
        mine = [Change("$.a.x", "changed", 1, 2), Change("$.d", "added")]
        theirs = [Change("$.a", "removed"), Change("$.da", "added")]
        self.assertEqual(overlapping_changes(mine, theirs), ["$.a.x"])
