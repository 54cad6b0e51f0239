"""What callers and endpoints saw, and the invariants that it must keep."""

import time

import msgspec

LEASE_MS = 3000  # in which two holders may not both order a host


class Violation(msgspec.Struct, frozen=True):
    """A broken invariant."""

    invariant: str
    detail: str
    at: float


class Submitted(msgspec.Struct):
    """A submission as its caller sees it. Times are monotonic seconds."""

    submission_id: str
    steps: list
    max_attempts: int
    accepted: bool = False
    maybe_accepted: bool = False
    cancelled_at: float | None = None
    shown: str = ""

    @property
    def lasting(self):
        """Return whether its tasks run until it is cancelled."""
        return any(step.get("long_running") for step in self.steps)


class TaskRecord(msgspec.Struct):
    """What the endpoints saw of one task."""

    running: dict = {}
    failed: int = 0
    done_at: list = []
    done_acknowledged: bool = False
    starts: list = []


class HostOrders(msgspec.Struct):
    """The orders that one host was given, and the last of them."""

    holders: dict = {}
    holder: str = ""
    at: float = 0.0


class Ledger:
    """
    Records events and the violations they show.

    Example::

        ledger = Ledger()
        ledger.started("e1", "00000000000000aa.0.0.0", 1)
        ledger.violations
    """

    def __init__(self):
        self.violations = []
        self.submissions = {}
        self.counts = {}
        self._tasks = {}
        self._orders = {}
        self._began_at = time.monotonic()

    def report(self, invariant, detail):
        """Record a broken invariant."""
        at = round(time.monotonic() - self._began_at, 2)
        self.violations.append(Violation(invariant, detail, at))

    def count(self, name):
        """Count an event for the summary."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def _task(self, name):
        return self._tasks.setdefault(name, TaskRecord({}, 0, [], False, []))

    def submitted(self, submission):
        """Record a submission before it is sent for the first time."""
        self.submissions[submission.submission_id] = submission

    # What endpoints see

    def started(self, endpoint, name, run):
        """Check a start that an endpoint has begun."""
        self.count("starts")
        now = time.monotonic()
        submission_id, _, step, _ = name.split(".")
        submission = self.submissions.get(submission_id)
        if submission is None:
            self.report("no start that nobody asked for", f"{name} on {endpoint}")
            return
        if not submission.accepted and not submission.maybe_accepted:
            self.report("a refused submission never runs", f"{name} on {endpoint}")
        self._check_order(submission, name, int(step))
        task = self._task(name)
        if task.running:
            others = sorted(task.running)
            self.report("one run at a time", f"{name} run {run} beside {others}")
        if task.done_acknowledged:
            self.report("a done task is not repeated", f"{name} run {run}")
        lasting = submission.steps[int(step)].get("long_running")
        if task.failed >= submission.max_attempts and not lasting:
            self.report("attempts are bounded", f"{name} run {run}")
        self._check_spread(submission, name, endpoint)
        task.starts.append(now)
        task.running[endpoint, run] = now

    def _check_order(self, submission, name, step):
        submission_id, occurrence, _, _ = name.split(".")
        for earlier in submission.steps[step].get("after", ()):
            for index in range(submission.steps[earlier]["count"]):
                before = f"{submission_id}.{occurrence}.{earlier}.{index}"
                if not self._task(before).done_at:
                    self.report("steps run in order", f"{name} before {before}")
                    return

    def _check_spread(self, submission, name, endpoint):
        prefix, _, _ = name.rpartition(".")
        step = submission.steps[int(name.split(".")[2])]
        most = step.get("max_per_server", 0)
        if not most:
            return
        here = sum(
            any(place == endpoint for place, _ in self._task(f"{prefix}.{i}").running)
            for i in range(step["count"])
        )
        if here >= most:
            self.report("spread over endpoints", f"{name} on {endpoint}")

    def ended(self, endpoint, name, run, reason):
        """Record the end of a run."""
        task = self._task(name)
        task.running.pop((endpoint, run), None)
        self.count(f"ended {reason}")
        if reason == "done":
            task.done_at.append(time.monotonic())
        elif reason == "failed":
            task.failed += 1

    def acknowledged(self, name, reason, ended_at):
        """Record that an end was acknowledged to its endpoint."""
        if reason != "done":
            return
        task = self._task(name)
        task.done_acknowledged = True
        if any(at > ended_at for at in task.starts):
            self.report(
                "a done task is not repeated", f"{name}, acknowledged afterwards"
            )

    def gone(self, endpoint):
        """Record that an endpoint crashed with all that it ran."""
        for task in self._tasks.values():
            for place, run in list(task.running):
                if place == endpoint:
                    del task.running[place, run]

    # What the interface for machines sees

    def ordered(self, host, holder, token):
        """
        Check an order for a host; ``token`` fences the orders of ``holder``.

        Holders may not take turns within a lease even where they are cut off from each
        other, which is stricter than the platform's rule.
        """
        now = time.monotonic()
        orders = self._orders.setdefault(host, HostOrders())
        highest = max(orders.holders, default=token)
        if token < highest:
            detail = f"{host}: token {token} of {holder} after {highest}"
            self.report("one holder orders a host", detail)
        first = orders.holders.setdefault(token, holder)
        if first != holder:
            detail = f"{host}: token {token} of {first} and {holder}"
            self.report("a token has one holder", detail)
        since = now - orders.at
        if orders.holder not in ("", holder) and since * 1000 < LEASE_MS:
            detail = f"{host}: {holder} {since:.2f} s after {orders.holder}"
            self.report("holders take no turns within a lease", detail)
        orders.holder, orders.at = holder, now

    # What callers see

    def shown(self, submission, state):
        """Check a state that a caller was shown."""
        final = ("completed", "failed", "cancelled")
        if submission.shown in final and state != submission.shown:
            detail = f"{submission.submission_id}: {submission.shown}, then {state}"
            self.report("a final state stays", detail)
        submission.shown = state
        if state == "completed" and not self.all_done(submission):
            detail = submission.submission_id
            self.report("completed means that all tasks are done", detail)
        if state == "cancelled" and submission.cancelled_at is None:
            self.report("cancelled only when asked", submission.submission_id)
        if state == "failed" and not self._has_failed(submission):
            self.report("failed only after all attempts", submission.submission_id)

    def unknown(self, submission):
        """Record that an accepted submission is not known."""
        self.report("an accepted submission is known", submission.submission_id)

    def _names(self, submission):
        for step, body in enumerate(submission.steps):
            for index in range(body["count"]):
                yield f"{submission.submission_id}.0.{step}.{index}"

    def all_done(self, submission):
        """Return whether every task has ended done."""
        return all(self._task(name).done_at for name in self._names(submission))

    def _has_failed(self, submission):
        most = submission.max_attempts
        return any(self._task(name).failed >= most for name in self._names(submission))

    def running_of(self, submission):
        """Return how many tasks of a submission are running."""
        return sum(bool(self._task(name).running) for name in self._names(submission))

    def check_settled(self):
        """Check what must hold once faults have ended and work had time to finish."""
        for submission in self.submissions.values():
            if submission.cancelled_at is not None:
                if self.running_of(submission):
                    detail = submission.submission_id
                    self.report("cancelled work has ended", detail)
            elif not submission.accepted:
                continue
            elif submission.lasting:
                total = sum(step["count"] for step in submission.steps)
                running = self.running_of(submission)
                if running < total:
                    detail = f"{submission.submission_id}: {running} of {total}"
                    self.report("lasting work is restarted", detail)
            elif submission.shown not in ("completed", "failed"):
                detail = f"{submission.submission_id} is {submission.shown!r}"
                self.report("accepted work is finished", detail)
