"""A stand-in for a runner, which follows the section "Running subtasks"."""

import asyncio
import contextlib
import json
import time

from standin.platform import LOOPBACK, HttpServer, json_response

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.1  # within stop_grace_ms, 200
WARM_UP_S = 0.5  # of a subtask that lasts, until its percent is 100
MAX_ENDS = 500
TICK_S = 0.01
STANDBY = "spare"  # the standby pool


class Run:
    """A run of a subtask."""

    def __init__(self, task, run, step, seconds):
        self.task = task
        self.run = run
        self.step = step
        self.started_at = time.monotonic()
        self.seconds = seconds  # None: it lasts
        self.stops_at = None

    def percent(self, now):
        """Return how far the run is, or 100 for one that lasts and is at work."""
        elapsed = now - self.started_at
        if self.seconds is None:
            return 100 if elapsed >= WARM_UP_S else 0
        return min(99, int(100 * elapsed / self.seconds))


class Runner:
    """
    A machine and its runner. In the standby pool the machine is off.

    ``work_of(task)`` returns the step of a subtask and the seconds that it works, None
    for a subtask that lasts, or None if nobody submitted it.
    """

    def __init__(self, runner_id, machine, service, labels, store, record, work_of):
        self.runner_id = runner_id
        self.machine = machine
        self.service = service
        self.labels = labels
        self.capacity = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
        self.up = False
        self.state = "up"  # of the machine
        self.heard_at = time.monotonic()
        self._store = store
        self._record = record
        self._work_of = work_of
        self._server = HttpServer(self._answer)
        self._tasks = []
        self._moves = 0
        self._forget()

    def _forget(self):
        """Begin a new life, which holds and knows nothing of before."""
        self.running = {}
        self._ended = []
        self._barred = {}
        self._next_end = 1
        self._fence = 0
        self._lease_end_ms = 0
        self._lapsed = True
        self._unheard = False
        self._sequence = 0
        self._born_at = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._end_listed = asyncio.Event()

    async def start(self):
        """Begin a life: listen, and register in the store."""
        self._forget()
        await self._server.start()
        self.up = True
        self.state = "up"
        self._record.add(self.runner_id, f"is up, born {self._born_ms}")
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._end_runs()),
        ]

    async def crash(self):
        """End at once, with everything that runs here, and say nothing."""
        self.state = "down"
        await self._end_life("crash")
        self._record.add(self.runner_id, "crashed")

    async def leave(self, pool):
        """Leave for another pool; everything that runs here ends."""
        self.state = "moving"
        if self.up:
            await self._end_life("moved")
            self._store.remove("servers", self.runner_id)
        self.service = pool
        self._record.add(self.machine, f"moves to {pool}")

    async def arrive(self):
        """Join the pool that the machine moves to, as a new runner."""
        self._moves += 1
        self.runner_id = f"{self.runner_id[:12]}{self._moves:02x}"
        if self.service == STANDBY:
            self.state = "up"
        else:
            await self.start()

    async def _end_life(self, how):
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            self._record.run_ended(self.runner_id, run.task, run.run, how)
        self.running = {}
        await self._server.close()

    def machine_entry(self):
        """Return the entry in the list of machines."""
        return {
            "machine": self.machine,
            "pool": self.service,
            "state": self.state,
            "zone": "zone-1",
            "labels": self.labels,
            "capacity": self.capacity,
            "id": self.runner_id if self.up else None,
        }

    @property
    def cpu_in_use(self):
        """Return the thousandths of a core that are in use."""
        return sum(run.step.get("cpu", 0) for run in self.running.values())

    def _clock_ms(self):
        return int((time.monotonic() - self._born_at) * 1000) + 1000

    async def _heartbeat(self):
        while True:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": f"{LOOPBACK}:{self._server.port}",
                "zone": "zone-1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "machine": self.machine,
                "born": self._born_ms,
                "clock_ms": self._clock_ms(),
                "sequence": self._sequence,
            }
            if not self._store.down:
                self._store.put("servers", self.runner_id, body)
                self.heard_at = time.monotonic()
                if self._unheard:
                    self._record.add(self.runner_id, "writes its entry again")
            self._unheard = self._store.down
            await asyncio.sleep(HEARTBEAT_S)

    async def _end_runs(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self._clock_ms() > self._lease_end_ms
            if lapsed and not self._lapsed:
                self._record.lease_lapsed(self.runner_id)
            self._lapsed = lapsed
            for run in list(self.running.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif run.seconds is not None and now >= run.started_at + run.seconds:
                    self._end(run, "done")

    def _end(self, run, how):
        del self.running[run.task, run.run]
        self._bar(run.task, run.run)
        self._ended.append([self._next_end, run.task, run.run, how, ""])
        self._next_end += 1
        self._record.run_ended(self.runner_id, run.task, run.run, how)
        listed, self._end_listed = self._end_listed, asyncio.Event()
        listed.set()

    def _bar(self, task, run):
        self._barred[task] = max(run, self._barred.get(task, 0))

    async def _answer(self, request):
        if request.headers.get("X-Magnoliapier-Target-Instance") != self.runner_id:
            return self._refuse("", 421)
        body = json.loads(await request.read())
        if body.get("fencing_token", 0) < self._fence:
            return self._refuse("fence")
        self._fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/pace":
            return self._reply()
        return self._refuse("", 404)

    def _refuse(self, reason, status=409):
        return json_response({"clock_ms": self._clock_ms(), "reason": reason}, status)

    def _reply(self, **fields):
        answer = {"clock_ms": self._clock_ms(), "born": self._born_ms}
        return json_response(answer | fields)

    def _extend(self, deadline_ms):
        longest = self._clock_ms() + HOLD_MAX_MS
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, longest))

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return self._reply()
        if body["deadline_ms"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        if number <= self._barred.get(task, 0):
            return self._refuse("old")
        work = self._work_of(task)
        if work is None:
            self._record.add(self.runner_id, f"was told to start unknown {task}")
            return self._refuse("", 400)
        step, seconds = work
        if not self._fits(step):
            return self._refuse("room")
        self.running[task, number] = Run(task, number, step, seconds)
        self._record.run_started(self.runner_id, task, number)
        return self._reply()

    def _fits(self, step):
        for resource, room in self.capacity.items():
            used = sum(run.step.get(resource, 0) for run in self.running.values())
            if used + step.get(resource, 0) > room:
                return False
        return True

    def _stop_run(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            self._record.add(self.runner_id, f"was told to stop {task} run {number}")
        if run is None:
            self._bar(task, number)
        return self._reply()

    async def _hold(self, body):
        if body.get("deadline_ms") is not None:
            self._extend(body["deadline_ms"])
        self._acknowledge(body["acked_through"])
        if body.get("wait_ms") and not self._ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), body["wait_ms"] / 1000)
        now = time.monotonic()
        running = [
            [run.task, run.run, "", run.percent(now), 0]
            for run in self.running.values()
        ]
        return self._reply(running=running, ended=self._ended[:MAX_ENDS])

    def _acknowledge(self, number):
        for end in self._ended:
            if end[0] <= number:
                self._record.end_noted(self.runner_id, end[1], end[2], end[3])
        self._ended = [end for end in self._ended if end[0] > number]
