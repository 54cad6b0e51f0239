"""Logs with one line of key=value pairs for each event, written by logbook."""

import json
import sys

import logbook

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} level={record.level_name} "
    "module={record.channel} {record.message}"
)


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
        """Log an event that matters only when tracing a fault."""
        self._logger.debug("{}", EventLine(event, fields))

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
    """Formats an event only when a handler takes it."""

    __slots__ = ("_event", "_fields")

    def __init__(self, event, fields):
        self._event = event
        self._fields = fields

    def __str__(self):
        pairs = [f"event={self._event}"]
        pairs.extend(f"{key}={quote(value)}" for key, value in self._fields.items())
        return " ".join(pairs)


def quote(value):
    """Return ``value`` as text, quoted where it would break the line apart."""
    text = str(value)
    if text and not any(c.isspace() or c in '="' or ord(c) < 32 for c in text):
        return text
    return json.dumps(text)


def get_logger(name):
    """Return the logger of a module, called with ``__name__``."""
    return EventLogger(name.removeprefix("magnoliapier."))


def configure_logs(level="INFO", stream=None):
    """Send events from ``level`` upwards to ``stream``, standard error by default."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=level.upper(), format_string=LINE_FORMAT
    )
    logbook.set_datetime_format("utc")
    handler.push_application()
    return handler
