import json
import unittest

from magnoliapier.exceptions import ManifestError
from magnoliapier.manifest import (
    MAX_MANIFEST_BYTES,
    canonical_json,
    make_patch,
    merge_patch,
    parse_manifest,
    read_json,
)
from tests.samples import sample_manifest


class ReadJsonTests(unittest.TestCase):
    """Guards against hostile manifests that exhaust memory or hide a value."""

    def assert_refused(self, data, text):
        with self.assertRaises(ManifestError) as caught:
            read_json(data)
        self.assertIn(text, str(caught.exception))

    def test_refuses_duplicate_keys(self):
        self.assert_refused(b'{"pools": {}, "pools": {}}', "given twice")

    def test_refuses_not_a_number(self):
        self.assert_refused(b'{"a": NaN}', "not a JSON number")

    def test_refuses_overflowing_float(self):
        self.assert_refused(b'{"a": 1e999}', "too large")

    def test_refuses_huge_integer(self):
        self.assert_refused(b'{"a": ' + b"9" * 5000 + b"}", "digits")

    def test_refuses_deep_nesting(self):
        self.assert_refused(b'{"a": ' + b"[" * 100_000 + b"}", "nested deeper")

    def test_refuses_large_input(self):
        self.assert_refused(b" " * (MAX_MANIFEST_BYTES + 1), "bytes")

    def test_refuses_other_encodings(self):
        self.assert_refused(b"\xff\xfe{}", "not usable JSON")


class ParseManifestTests(unittest.TestCase):
    def test_accepts_sample(self):
        manifest = parse_manifest(json.dumps(sample_manifest()).encode())
        self.assertEqual(manifest.services["wire"].slots_per_endpoint, 8)

    def test_reports_all_problems_with_paths(self):
        """Guards against reporting only the first of several problems."""
        values = sample_manifest()
        values["pools"]["wire"]["max_hosts"] = -1
        values["services"]["wire"]["color"] = "red"
        with self.assertRaises(ManifestError) as caught:
            parse_manifest(json.dumps(values).encode())
        paths = {problem.path for problem in caught.exception.problems}
        self.assertEqual(paths, {"$.pools.wire.max_hosts", "$.services.wire.color"})


class MergePatchTests(unittest.TestCase):
    def test_patch_restores_new_values(self):
        """Guards against a follower whose manifest drifts from the committed one."""
        old = {"a": {"b": 1, "c": [1, 2]}, "d": 4}
        new = {"a": {"b": 2, "c": [1]}, "e": {"f": 1}}
        patched = merge_patch(old, make_patch(old, new))
        self.assertEqual(canonical_json(patched), canonical_json(new))

    def test_no_change_gives_empty_patch(self):
        self.assertEqual(make_patch({"a": {"b": 1}}, {"a": {"b": 1}}), {})
