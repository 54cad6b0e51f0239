"""
Starts the program that the platform runs on each of its machines.

With arguments it runs a command for operators instead; see ``commands``.
"""

import signal
import sys


def main():
    """Run the program and return its exit status."""
    if len(sys.argv) > 1:
        from magnoliapier.platform import commands

        return commands.app(prog_name="python -m magnoliapier.platform")
    # The imports below take a third of a second. Until the program handles SIGHUP, the
    # signal would end the process. No change of the settings is missed meanwhile, as
    # they are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from magnoliapier.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
