import tempfile
import unittest
from pathlib import Path
from unittest import mock

from magnoliapier.exceptions import SettingsError
from magnoliapier.settings import (
    build_settings,
    load_settings,
    warn_about_insecure_settings,
)


class SettingsTests(unittest.TestCase):
    def test_defaults_are_valid(self):
        self.assertEqual(build_settings().entry.threads, 64)

    def test_lists_every_wrong_key(self):
        with self.assertRaises(SettingsError) as caught:
            build_settings({"entry": {"threads": 0, "adress": "x"}, "seed": -1})
        for key in ("entry.threads", "entry.adress", "seed"):
            self.assertIn(key, str(caught.exception))

    def test_refuses_host_names(self):
        """Guards against name lookups, which fail when a data centre is cut off."""
        with self.assertRaises(SettingsError):
            build_settings({"entry": {"address": "localhost:80"}})

    def test_hides_secrets(self):
        public = build_settings({"auth": {"peer_key": "hidden-key"}}).public()
        self.assertNotIn("hidden-key", str(public))

    def test_empty_peer_key_gives_a_warning(self):
        """Guards against running without message authentication unnoticed."""
        log = mock.Mock()
        warn_about_insecure_settings(build_settings({"auth": {"peer_key": "k"}}), log)
        log.warning.assert_not_called()
        warn_about_insecure_settings(build_settings(), log)
        self.assertEqual(log.warning.call_args.args, ("peer_key_empty",))

    def test_file_errors_name_the_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            for text in ("{", "[]", "[" * 100_000):
                path.write_text(text)
                with self.assertRaises(SettingsError) as caught:
                    load_settings(path)
                self.assertIn("settings.json", str(caught.exception))
            with self.assertRaises(SettingsError):
                load_settings(Path(folder, "missing.json"))
