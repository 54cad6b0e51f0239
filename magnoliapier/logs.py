"""Logging of events as lines of key=value pairs, written with logbook."""

import json
import logging
import os
import sys
import time

import logbook

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} level={record.level_name} "
    "module={record.channel} {record.message}"
)
ROUTINE_SHARE = 0.7  # of the lines in a second


class EventLogger:
    """
    Logs events of one module.

    Example::

        log = get_logger(__name__)
        log.info("drain_started", host="w-17", seq=42)

    writes ``... event=drain_started host=w-17 seq=42``.
    """

    def __init__(self, name):
        self._logger = logbook.Logger(name)

    def debug(self, event, **fields):
        """Log an event that is only needed to diagnose a fault."""
        self._logger.debug("{}", EventLine(event, fields))

    def routine(self, event, **fields):
        """Log an expected event that comes many times for each request."""
        self._logger.info("{}", EventLine(event, fields, routine=True))

    def info(self, event, **fields):
        """Log an expected event."""
        self._logger.info("{}", EventLine(event, fields))

    def warning(self, event, **fields):
        """Log an event that an operator may have to act on."""
        self._logger.warning("{}", EventLine(event, fields))

    def error(self, event, **fields):
        """Log a failed operation."""
        self._logger.error("{}", EventLine(event, fields))


class EventLine:
    """An event that is formatted only if a handler writes it."""

    __slots__ = ("_event", "_fields", "routine")

    def __init__(self, event, fields, routine=False):
        self._event = event
        self._fields = fields
        self.routine = routine

    def __str__(self):
        pairs = [f"event={self._event}"]
        pairs.extend(f"{key}={quote(value)}" for key, value in self._fields.items())
        return " ".join(pairs)


def quote(value):
    """Return ``value`` as text, quoted if the line could not be parsed otherwise."""
    text = str(value)
    if text and not any(c.isspace() or c in '="' or ord(c) < 32 for c in text):
        return text
    return json.dumps(text)


def get_logger(name):
    """Return the logger of a module, called with ``__name__``."""
    return EventLogger(name.removeprefix("magnoliapier."))


class BoundedHandler(logbook.Handler):
    """
    Writes lines to a file descriptor without ever waiting for its reader.

    At most ``lines_per_s`` lines are written in a second, of which routine ones may
    take ``ROUTINE_SHARE``, so that they don't displace the lines that tell what became
    of a request. Further lines, and lines for which a pipe has no room, are dropped;
    the next line that is written says how many.
    """

    def __init__(self, descriptor, lines_per_s, level="INFO", clock=time.monotonic):
        super().__init__(level=level)
        self._format_line = logbook.StringFormatter(LINE_FORMAT)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._current_second = None
        self._lines_in_second = 0
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one record, or count it as dropped."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        if self._lines_in_second >= self._limit_for(record):
            self.dropped += 1
            return
        line = self._format_line(record, self)
        if self.dropped:
            line += f" lines_dropped={self.dropped}"
        if self._write(line.encode("utf-8", "replace") + b"\n"):
            self._lines_in_second += 1
            self.dropped = 0
        else:
            self.dropped += 1

    def _limit_for(self, record):
        """Return how many lines a second may hold before ``record`` is dropped."""
        routine = any(getattr(value, "routine", False) for value in record.args)
        return self._lines_per_s * ROUTINE_SHARE if routine else self._lines_per_s

    def _write(self, data):
        """
        Write the rest of a partly written line, then ``data``.

        Return whether any of ``data`` was written; its rest is kept for the next call.
        """
        if self._unwritten:
            self._unwritten = self._unwritten[self._write_some(self._unwritten) :]
            if self._unwritten:
                return False
        self._unwritten = data[self._write_some(data) :]
        if len(self._unwritten) == len(data):
            self._unwritten = b""
            return False
        return True

    def _write_some(self, data):
        try:
            return os.write(self._descriptor, data)
        except OSError:
            # The caller counts the line as dropped; a later line reports the number.
            return 0


class LibraryHandler(logging.Handler):
    """
    Logs warnings of libraries as events, each in one line.

    Without any handler, the ``logging`` module writes them to standard error, and waits
    for its reader.
    """

    def __init__(self):
        super().__init__(logging.WARNING)

    def emit(self, record):
        """Log one message and the type and text of its error."""
        error = record.exc_info[1] if record.exc_info else None
        try:
            text = record.getMessage()
        except (TypeError, ValueError):  # its arguments do not fit its format
            text = record.msg
        get_logger(record.name).warning("library_message", text=text, error=repr(error))


def configure_bounded_logs(lines_per_s, level="INFO"):
    """Write events to standard output without waiting for its reader."""
    logbook.set_datetime_format("utc")
    handler = BoundedHandler(sys.stdout.fileno(), lines_per_s, level)
    handler.push_application()
    logging.getLogger().addHandler(LibraryHandler())
    return handler


def configure_logs(level="INFO", stream=None):
    """Write events from ``level`` upwards to ``stream``, by default standard error."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=level.upper(), format_string=LINE_FORMAT
    )
    logbook.set_datetime_format("utc")
    handler.push_application()
    return handler
