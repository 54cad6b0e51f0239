import tempfile
import unittest
from pathlib import Path

from magnoliapier.known_red import read_known_red, split_known_failures
from magnoliapier.outcomes.check_registry import Violation
from magnoliapier.outcomes.results import CheckResult

TEXT = """Known failures.

replay flood fair_share slot_use
  Seen: the word replay in an indented line does not start an entry.
replay flood goodput
"""


def result(name, passed):
    violation = None if passed else Violation("broken", None)
    return CheckResult(name, {}, violation)


class KnownRedTests(unittest.TestCase):
    def test_reads_entries(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "KNOWN-RED.txt")
            self.assertEqual(read_known_red(path), {})
            path.write_text(TEXT)
            checks = {"fair_share", "slot_use", "goodput"}
            self.assertEqual(read_known_red(path), {"flood": checks})

    def test_only_listed_failures_are_tolerated(self):
        """Guards against a list that hides other failures or keeps fixed ones."""
        results = [result("a", True), result("b", False), result("c", False)]
        unexpected, expected, fixed = split_known_failures(results, {"a", "b"})
        self.assertEqual([r.name for r in unexpected], ["c"])
        self.assertEqual([r.name for r in expected], ["b"])
        self.assertEqual(fixed, ["a"])
