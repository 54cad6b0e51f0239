"""Whether a service can still take a submission before its target has passed."""

import msgspec


class Refusal(msgspec.Struct, frozen=True):
    """Why a submission is refused, and when to come back."""

    reason: str
    retry_after_s: int


class Admission:
    """Refuses submissions that a service has no capacity for."""

    def __init__(self):
        self._backlogs = {}

    def update(self, service, backlog_s):
        """Take note of the seconds of work that wait for a service."""
        self._backlogs[service] = backlog_s

    def refusal(self, queue, submission):
        """Return a Refusal, or None if the submission should be accepted."""
        return None
