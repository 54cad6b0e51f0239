import subprocess
import sys
import unittest

# Replaces the program module, whose imports are slow, by one that prints how SIGHUP is
# handled when its main() is called.
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
        """Guards against a SIGHUP for changed settings that ends a starting process."""
        done = subprocess.run(
            [sys.executable, "-c", START], capture_output=True, text=True, timeout=20
        )
        self.assertEqual(done.stdout.strip(), "SIG_IGN", done.stderr)
