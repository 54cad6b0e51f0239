import tempfile
import unittest
from pathlib import Path

from magnoliapier.exceptions import TraceError
from magnoliapier.outcomes.language import parse_outcomes, read_outcomes


class ParseTests(unittest.TestCase):
    def test_refuses_wrong_files(self):
        """Guards against a misspelt check or parameter that is ignored."""
        entry = {"check": "budgets"}
        valid = {"trace": "t", "drivers": ["fleet"], "checks": [entry]}
        for changes, text in (
            ({"checks": []}, "1 to"),
            ({"checks": [{"check": "mood"}]}, "unknown check"),
            ({"checks": [{**entry, "maximum": 1}]}, "no parameter"),
            ({"checks": [{**entry, "max_missed": "0"}]}, "type int"),
            ({"checks": [{**entry, "max_missed": True}]}, "type int"),
            ({"checks": [{"check": "moves"}]}, "max_moves"),
            ({"drivers": "fleet"}, "drivers"),
            ({"extra": 1}, "exactly"),
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(TraceError) as caught:
                    parse_outcomes(valid | changes)
                self.assertIn(text, str(caught.exception))

    def test_error_names_the_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "x.outcomes.json")
            for text in ("[]", "{", '{"trace": 1}'):
                path.write_text(text)
                with self.assertRaises(TraceError) as caught:
                    read_outcomes(path)
                self.assertIn("x.outcomes.json", str(caught.exception))
