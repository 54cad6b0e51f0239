import logging
import os
import unittest
from contextlib import contextmanager

import logbook

from magnoliapier.logs import BoundedHandler, LibraryHandler, get_logger

LINES_PER_S = 20


@contextmanager
def library_messages():
    """Pass on messages of the logging module while the context lasts."""
    handler = LibraryHandler()
    logging.getLogger().addHandler(handler)
    try:
        yield
    finally:
        logging.getLogger().removeHandler(handler)


class BoundedHandlerTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = BoundedHandler(self.writer, LINES_PER_S, clock=lambda: self.now)
        self.log = get_logger("magnoliapier.test")
        logbook.set_datetime_format("utc")

    def test_flood_is_bounded_and_counted(self):
        """Guards against logging that uses up the CPU during a flood of events."""
        with self.handler.applicationbound():
            for number in range(100):
                self.log.info("flood", number=number)
            self.now += 1
            self.log.info("after")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertEqual(len(lines), LINES_PER_S + 1)
        self.assertIn("lines_dropped=80", lines[-1])

    def test_routine_lines_leave_room_for_the_fate_of_a_request(self):
        """Guards against a refusal that is missing because many runs ended as usual."""
        with self.handler.applicationbound():
            for number in range(100):
                self.log.routine("run_ended", number=number)
            self.log.info("refused")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertIn("event=refused", lines[-1])
        self.assertLess(len(lines), LINES_PER_S)

    def test_full_pipe_never_blocks(self):
        """Guards against a process that blocks because its log reader has stopped."""
        handler = BoundedHandler(self.writer, 10**9, clock=lambda: self.now)
        with handler.applicationbound():
            for _ in range(5000):
                self.log.info("event", text="x" * 200)
        self.assertGreater(handler.dropped, 0)
        os.read(self.reader, 1_000_000)
        with handler.applicationbound():
            self.log.info("again")
        self.assertIn("lines_dropped=", os.read(self.reader, 1_000_000).decode())

    def test_messages_of_libraries_are_bounded_as_well(self):
        """
        Guards against malformed requests that block the process.

        The HTTP server logs a traceback for each. Without a handler of ours, it goes to
        standard error, and the process stops once nobody reads that.
        """
        with self.handler.applicationbound(), library_messages():
            for _ in range(100):
                try:
                    raise ValueError("two\nlines")
                except ValueError:
                    logging.getLogger("aiohttp.server").exception("Error %s", "a b")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertEqual(len(lines), LINES_PER_S)
        self.assertIn('event=library_message text="Error a b"', lines[0])
        self.assertIn("ValueError", lines[0])
