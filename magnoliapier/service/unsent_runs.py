"""Counts the runs of each submission whose start orders wait to be sent."""


class UnsentRuns:
    """
    The reserved runs of one endpoint whose start orders have not been sent.

    Example::

        unsent = UnsentRuns()
        unsent.add(live)
        assert unsent.count(live.progress.submission_id) == 1
    """

    def __init__(self):
        self._runs = {}

    def add(self, live):
        """Count a run that has been reserved."""
        self._runs.setdefault(live.progress.submission_id, set()).add(live)

    def discard(self, live):
        """Count a run no more, if it is counted: its order is sent or given up."""
        submission_id = live.progress.submission_id
        runs = self._runs.get(submission_id)
        if runs is not None:
            runs.discard(live)
            if not runs:
                del self._runs[submission_id]

    def count(self, submission_id):
        """Return how many runs of a submission are counted."""
        return len(self._runs.get(submission_id, ()))
