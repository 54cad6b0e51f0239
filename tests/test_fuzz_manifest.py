import json
import unittest

from hypothesis import given, strategies as st

from magnoliapier.exceptions import ManifestError
from magnoliapier.manifest import (
    Manifest,
    canonical_json,
    digest,
    make_patch,
    merge_patch,
    parse_manifest,
    read_json,
    validate_manifest,
)
from tests.hostile_table import FUZZ_SETTINGS
from tests.samples import sample_manifest

SAMPLE = json.dumps(sample_manifest()).encode()

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["wire", "spare", "127.0.0.1:80", "\ud800", "a" * 5000]),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=20,
)
without_null = st.recursive(
    st.one_of(st.booleans(), st.integers(-9, 9), st.text(max_size=5)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=3), inner, max_size=4),
    ),
    max_leaves=15,
)
objects = st.dictionaries(st.text(max_size=3), without_null, max_size=5)


def paths_of(node, prefix=()):
    """Return the path of each value inside nested dicts."""
    paths = []
    if isinstance(node, dict):
        for key, value in node.items():
            paths.append((*prefix, key))
            paths.extend(paths_of(value, (*prefix, key)))
    return paths


PATHS = sorted(paths_of(sample_manifest(hosts=1)))


class ManifestFuzzTests(unittest.TestCase):
    """Guards against manifests that raise an error other than ManifestError."""

    def read(self, data):
        try:
            return parse_manifest(data)
        except ManifestError as error:
            self.assertTrue(error.problems)
            for problem in error.problems:
                self.assertTrue(problem.path.startswith("$"))
                self.assertTrue(problem.remedy)
            return None

    @FUZZ_SETTINGS
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        self.read(data)

    @FUZZ_SETTINGS
    @given(st.integers(0, len(SAMPLE)), st.integers(0, 12), st.binary(max_size=6))
    def test_mutated_bytes(self, start, length, data):
        self.read(SAMPLE[:start] + data + SAMPLE[start + length :])

    @FUZZ_SETTINGS
    @given(values)
    def test_any_values(self, value):
        try:
            validate_manifest(value)
        except ManifestError as error:
            self.assertTrue(error.problems)

    @FUZZ_SETTINGS
    @given(st.sampled_from(PATHS), values)
    def test_replaced_values(self, path, value):
        manifest = sample_manifest(hosts=1)
        node = manifest
        for key in path[:-1]:
            node = node[key]
        node[path[-1]] = value
        try:
            accepted = validate_manifest(manifest)
        except ManifestError as error:
            self.assertTrue(error.problems)
            return
        self.assertIsInstance(accepted, Manifest)
        digest(manifest)

    @FUZZ_SETTINGS
    @given(st.sampled_from(["[", '{"a":', '"\\', "1", "-", "1e"]), st.integers(1, 9999))
    def test_repeated_tokens(self, token, count):
        """Guards against nesting and numbers that exhaust the stack or hang."""
        self.read(f'{{"pools": {token * count}'.encode())

    @FUZZ_SETTINGS
    @given(objects, objects)
    def test_patch_restores_the_new_values(self, old, new):
        """Guards against followers whose manifest differs from the committed one."""
        patched = merge_patch(old, make_patch(old, new))
        self.assertEqual(canonical_json(patched), canonical_json(new))

    @FUZZ_SETTINGS
    @given(st.dictionaries(st.text(max_size=3), values, max_size=4))
    def test_accepted_json_round_trips(self, value):
        try:
            data = canonical_json(value)
            read = read_json(data)
        except (ManifestError, ValueError):
            return
        self.assertEqual(canonical_json(read), data)
