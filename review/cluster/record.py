"""The record of what was sent, answered and run, for record.txt."""

import time


class Record:
    """Collects lines with the seconds since the start."""

    def __init__(self):
        self._started_at = time.monotonic()
        self.lines = []

    @property
    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Add a line."""
        self.lines.append(f"{self.now:8.3f} {text}")

    def save(self, path):
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")
