"""
Splits the time from a submission's acceptance to its first start into stages.

Which stage is long tells an operator what is short: the controller or its link
(INTAKE), hosts in the pool (ROOM), the platform's table (STORE) or the endpoints
(ORDER).
"""

from enum import StrEnum

METRIC_NAME = "start_delay_seconds"


class StartStage(StrEnum):
    """The stages before a task starts, in their order."""

    INTAKE = "intake"  # from acceptance until the controller knows the submission
    ROOM = "room"  # until the first of its tasks has been placed on an endpoint
    STORE = "store"  # until the run is stored, for every run
    ORDER = "order"  # until the endpoint has confirmed the start, for every run


class StartDelays:
    """
    Records the stages in the latency summary ``start_delay_seconds{service,stage}``.

    Times are seconds on the controller's monotonic clock, but for the acceptance, which
    another host has stamped with its wall clock.
    """

    def __init__(self, service, metrics):
        self._service = service
        self._metrics = metrics
        self._known_at = {}

    def submission_known(self, submission_id, accepted_ago_s, now):
        """Record that the controller has read a submission that awaits its start."""
        self._observe(StartStage.INTAKE, accepted_ago_s)
        self._known_at[submission_id] = now

    def run_placed(self, submission_id, now):
        """Record that a task was placed; only the first of a submission counts."""
        known_at = self._known_at.pop(submission_id, None)
        if known_at is not None:
            self._observe(StartStage.ROOM, now - known_at)

    def submission_ended(self, submission_id):
        """Forget a submission that ends before any of its tasks was placed."""
        self._known_at.pop(submission_id, None)

    def run_stored(self, placed_at, now):
        """Record that a run that was placed at ``placed_at`` has been stored."""
        self._observe(StartStage.STORE, now - placed_at)

    def run_confirmed(self, sent_at, now):
        """Record that an endpoint has confirmed a start sent at ``sent_at``."""
        self._observe(StartStage.ORDER, now - sent_at)

    def _observe(self, stage, seconds):
        self._metrics.observe(
            METRIC_NAME, max(0.0, seconds), service=self._service, stage=stage
        )
