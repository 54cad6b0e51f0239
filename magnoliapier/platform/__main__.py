"""Starts the program that the platform runs on each of its machines."""

import signal
import sys


def main():
    """Run the program and return its exit status."""
    # The imports below take a third of a second, in which SIGHUP would end the process.
    # The settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from magnoliapier.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
