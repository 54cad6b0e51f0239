import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from typer.testing import CliRunner

from magnoliapier.clock import Clock
from magnoliapier.commands import app
from magnoliapier.control import Control
from magnoliapier.exceptions import (
    AuthenticationError,
    ManifestConflictError,
    ManifestError,
    StoreUnavailableError,
)
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.operator_client import OperatorClient
from magnoliapier.settings import build_settings
from tests.samples import sample_manifest

KEY = "operator-key"
ANY_PORT = "127.0.0.1:0"


class CommandsTests(unittest.TestCase):
    """Guards against a command line that misreports what the control process did."""

    def setUp(self):
        self.platform = MemoryPlatform(Clock())
        settings = build_settings(
            {
                "auth": {"operator_key": KEY},
                "control": {
                    "address": ANY_PORT,
                    "operator_address": ANY_PORT,
                    "metrics_address": ANY_PORT,
                },
            }
        )
        self.control = Control(settings, self.platform).start()
        self.addCleanup(self.control.close)
        environment = {
            "MAGNOLIAPIER_SERVER": self.control.operator_address,
            "MAGNOLIAPIER_KEY": KEY,
        }
        patch = mock.patch.dict(os.environ, environment)
        patch.start()
        self.addCleanup(patch.stop)
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, values):
        path = Path(self.folder.name, "fleet.json")
        path.write_text(json.dumps(values))
        return str(path)

    def run_command(self, *arguments):
        result = CliRunner().invoke(app, arguments, catch_exceptions=True)
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    def commit(self, values, base):
        path = self.write(values)
        return self.run_command("manifest", "commit", path, "--base", base)

    def test_commit_is_shown_by_later_commands(self):
        output = self.commit(sample_manifest(), "0")
        self.assertIn("In force on 1 of 1 entry hosts.", output)
        status = json.loads(self.run_command("status", "--json"))
        self.assertEqual(status["entry_hosts"][0]["version"], 1)
        self.assertIn("wire-0", self.run_command("hosts", "--pool", "wire"))
        self.assertIn("entry-1", self.run_command("status"))
        history = json.loads(self.run_command("manifest", "history", "--json"))
        self.assertEqual([row["version"] for row in history], [1])
        shown = json.loads(self.run_command("manifest", "show"))
        self.assertEqual(shown["manifest"], sample_manifest())
        entry = self.run_command("watch", "--after", "0", "--limit", "1")
        self.assertIn("1 manifest_commit by", entry)

    def test_commit_on_an_old_version_reports_later_changes(self):
        self.commit(sample_manifest(), "0")
        values = sample_manifest()
        values["organisations"]["desk-c"] = {}
        self.commit(values, "1")
        with self.assertRaises(ManifestConflictError) as caught:
            self.commit(sample_manifest(), "1")
        self.assertIn("desk-c", str(caught.exception))

    def test_diff(self):
        self.commit(sample_manifest(), "0")
        values = sample_manifest()
        values["organisations"]["desk-c"] = {}
        output = self.run_command("manifest", "diff", self.write(values))
        self.assertIn("+ $.organisations.desk-c", output)

    def test_invalid_manifest_is_not_sent(self):
        values = sample_manifest()
        del values["pools"]["spare"]
        with self.assertRaises(ManifestError):
            self.commit(values, "0")
        self.assertEqual(self.platform.table.scan("log/"), [])

    def test_drain_and_explain(self):
        self.commit(sample_manifest(), "0")
        self.run_command("drain", "wire-0", "--reason", "noise")
        rows = json.loads(self.run_command("hosts", "--json"))
        states = {row["name"]: row["state"] for row in rows}
        seq = json.loads(self.run_command("manifest", "show"))["seq"]
        self.assertGreaterEqual(seq, 1)
        self.assertIn(states["wire-0"], ("assigned", "draining"))
        output = self.run_command("explain", "refusal", "queue_full")
        self.assertIn("503", output)

    def test_wrong_key_and_wrong_address(self):
        other_key = mock.patch.dict(os.environ, {"MAGNOLIAPIER_KEY": "other"})
        with other_key, self.assertRaises(AuthenticationError):
            self.run_command("status")
        client = OperatorClient("127.0.0.1:1", KEY, "ann")
        self.addCleanup(client.close)
        with self.assertRaises(StoreUnavailableError):
            client.status()
