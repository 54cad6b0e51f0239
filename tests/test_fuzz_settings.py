import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, strategies as st

from magnoliapier.exceptions import SettingsError
from magnoliapier.settings import DEFAULT_SETTINGS, build_settings, load_settings
from magnoliapier.transport import parse_address
from tests.hostile_table import FUZZ_SETTINGS
from tests.test_fuzz_manifest import paths_of, values

PATHS = sorted(paths_of(DEFAULT_SETTINGS))
addresses = st.one_of(
    st.text(max_size=30),
    st.builds(
        "{}{}{}".format,
        st.sampled_from(["127.0.0.1", "[::1]", "::1", "[[::1]]", "1.1", "fe80::1%lo"]),
        st.sampled_from([":", "", "::"]),
        st.sampled_from(["80", "0", "65536", "٣", "²", "-1", "9" * 5000, ""]),
    ),
)


class SettingsFuzzTests(unittest.TestCase):
    """Guards against settings that raise an error other than SettingsError."""

    def build(self, changes):
        try:
            return build_settings(changes)
        except SettingsError as error:
            self.assertIn("Correct the settings", str(error))
            return None

    @FUZZ_SETTINGS
    @given(st.sampled_from(PATHS), values)
    def test_replaced_values(self, path, value):
        changes = {path[-1]: value}
        for key in reversed(path[:-1]):
            changes = {key: changes}
        settings = self.build(changes)
        if settings:
            json.dumps(settings.public(), allow_nan=False)

    @FUZZ_SETTINGS
    @given(addresses)
    def test_addresses(self, text):
        """Guards against an address that is accepted but cannot be used."""
        settings = self.build({"entry": {"address": text}})
        if settings:
            host, port = parse_address(settings.entry.address)
            self.assertTrue(host)
            self.assertTrue(0 <= port <= 65535)

    @FUZZ_SETTINGS
    @given(st.one_of(st.binary(max_size=100), values.map(repr)))
    def test_any_file(self, content):
        data = content
        if isinstance(content, str):
            data = content.encode(errors="replace")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_bytes(data)
            try:
                load_settings(path)
            except SettingsError:
                return
