"""The model of a submission: its steps and tasks, their resources and states."""

import math
from enum import StrEnum

import msgspec

NO_REPEAT = 0  # ``repeat_count`` of a submission without a schedule


class SubmissionState(StrEnum):
    """The state of a submission as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Return whether the state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset(
    {SubmissionState.COMPLETED, SubmissionState.FAILED, SubmissionState.CANCELLED}
)


class EndReason(StrEnum):
    """How a run of a task ended on its endpoint."""

    DONE = "done"
    FAILED = "failed"  # the only reason that uses up an attempt
    STOPPED = "stopped"  # by a stop order
    LAPSED = "lapsed"  # the endpoint's lease lapsed
    BROKEN = "broken"
    ALONE = "alone"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """CPU in thousandths of a core, memory in MB and the number of accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def fits(required, available):
    """Return whether ``required`` is within ``available``, for every resource."""
    return (
        required.cpu_millicores <= available.cpu_millicores
        and required.memory_mb <= available.memory_mb
        and required.accelerators <= available.accelerators
    )


def tasks_that_fit(required, available):
    """
    Return how many tasks that each require ``required`` fit into ``available``.

    It is infinity for tasks that require nothing.
    """
    pairs = (
        (required.cpu_millicores, available.cpu_millicores),
        (required.memory_mb, available.memory_mb),
        (required.accelerators, available.accelerators),
    )
    return min((total // each for each, total in pairs if each > 0), default=math.inf)


class Step(msgspec.Struct, omit_defaults=True):
    """
    A group of tasks of the same kind.

    ``after`` holds the indexes of steps whose tasks must all be done first.
    ``estimated_ms`` is the submitter's estimate of a task's duration; it may be wrong
    by a factor of several. Tasks with a ``latency_target_ms`` are latency-sensitive:
    they serve users of their own. ``fills`` marks best-effort tasks, which use the CPU
    that other tasks leave idle. ``may_miss`` is the number of long-running tasks that
    may be unavailable at once; 0 sets no limit.
    """

    task_count: int
    resources: Resources = Resources()
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def allocated(self):
        """Return the Resources that a task is allocated, for best effort no CPU."""
        if self.fills:
            return msgspec.structs.replace(self.resources, cpu_millicores=0)
        return self.resources


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """The terms of a queue at the time when it accepted a submission."""

    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0


class Submission(msgspec.Struct, omit_defaults=True):
    """
    One accepted submission.

    ``accepted_ms`` and ``start_at_ms`` are Unix milliseconds. If ``repeat_count`` is
    above zero, the steps run that many times, ``interval_ms`` apart, from
    ``start_at_ms`` on. ``terms`` apply once the configuration has dropped the queue.
    ``former_services`` are those that the queue had before it was accepted; a tombstone
    under each of them keeps a repeat from being accepted there. ``home`` is the first
    of them, which names the part of the rows; it is empty without former services.
    ``organisation`` is the name of the one that submitted it, empty for none.
    """

    submission_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int
    repeat_count: int = NO_REPEAT
    start_at_ms: int = 0
    interval_ms: int = 0
    terms: QueueTerms = QueueTerms()
    former_services: tuple[str, ...] = ()
    home: str = ""
    organisation: str = ""

    @property
    def occurrence_count(self):
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    def occurrence_start_ms(self, occurrence):
        """Return the time from which an occurrence may start, in Unix ms."""
        if self.repeat_count == NO_REPEAT:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms

    @property
    def long_running(self):
        """Return whether any task runs until the submission is cancelled."""
        return any(step.long_running for step in self.steps)


class TaskName(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task: submission, occurrence, step and index in the step."""

    submission_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.submission_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text):
        """Parse ``ID.OCCURRENCE.STEP.INDEX``; raise ValueError if it is malformed."""
        submission_id, *numbers = text.split(".")
        occurrence, step, index = map(_parse_number, numbers)
        return cls(submission_id, occurrence, step, index)


def _parse_number(text):
    """Return the number in ``text``; a negative index would name another task."""
    number = int(text)
    if number < 0 or str(number) != text:
        raise ValueError(f"Write {text!r} as a whole number without leading zeros.")
    return number
