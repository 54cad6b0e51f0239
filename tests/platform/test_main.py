import subprocess
import sys
import unittest

# Stands in for the program, whose imports take long, and tells how SIGHUP is handled.
START = """
import runpy, signal, sys, types
program = types.ModuleType("magnoliapier.platform.program")
program.main = lambda: print(signal.getsignal(signal.SIGHUP).name)
sys.modules["magnoliapier.platform.program"] = program
import magnoliapier.platform
magnoliapier.platform.program = program
runpy.run_module("magnoliapier.platform", run_name="__main__")
"""


class StartTests(unittest.TestCase):
    def test_sighup_does_not_end_a_process_that_starts(self):
        """Guards against a process that a change of its settings ends as it starts."""
        done = subprocess.run(
            [sys.executable, "-c", START], capture_output=True, text=True, timeout=20
        )
        self.assertEqual(done.stdout.strip(), "SIG_IGN", done.stderr)
