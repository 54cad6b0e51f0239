"""
Runners (the product's endpoints): they run subtasks under leases, as PROTOCOL.md says.

A gang works from the moment when all members of one run are present. Members that carry
different checkpoints can't resume together: each waits for members that carry its own,
and ends ``alone`` after the gang timeout.
"""

import asyncio
import base64
import contextlib
import time

import msgspec

from review.cluster.http import HttpServer, json_answer

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
HOLD_MAX_MS = 10_000
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
TICK_S = 0.02
MAX_LISTED_ENDS = 500
MAX_WAIT_MS = 2000
CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
INSTANCE_HEADER = "X-Magnoliapier-Target-Instance"


class Work:
    """
    A subtask that runs. ``done_s`` is the work done, ``saved`` the newest checkpoint.
    """

    def __init__(self, name, run, step, checkpoint, work_s):
        self.name = name
        self.run = run
        self.step = step
        self.checkpoint = checkpoint
        self.saved = checkpoint
        self.started_at = time.monotonic()
        self.done_s = decode_checkpoint(checkpoint)
        self.work_s = work_s
        self.stops_at = None

    @property
    def long_running(self):
        """Return whether the subtask lasts until it is stopped."""
        return bool(self.step.get("long_running"))

    @property
    def percent(self):
        """Return the progress in percent."""
        if self.long_running:
            return 100
        return min(99, int(100 * self.done_s / self.work_s))

    def advance(self, seconds):
        """Do work, and checkpoint it every CHECKPOINT_S."""
        self.done_s += seconds
        if self.step.get("checkpointing"):
            steps = int(self.done_s / CHECKPOINT_S + 1e-9)
            if steps > int(decode_checkpoint(self.saved) / CHECKPOINT_S + 1e-9):
                self.saved = encode_checkpoint(steps * CHECKPOINT_S)


def encode_checkpoint(seconds):
    """Return the checkpoint of work done."""
    return f"{int(seconds * 1000):08d}"


def decode_checkpoint(text):
    """Return the seconds of work in a checkpoint."""
    return int(text) / 1000 if text else 0.0


class Gangs:
    """Which members of each gang's run are present, over all runners."""

    def __init__(self):
        self._members = {}

    def join(self, runner, work):
        """Add a member that has started."""
        key = self._key(work)
        self._members.setdefault(key, {})[work.name] = (runner, work)

    def complete(self, work):
        """Return whether all members of a run with the same checkpoint are present."""
        return len(self._members.get(self._key(work), ())) == work.step["count"]

    def leave(self, work):
        """Remove a member; return the (runner, work) pairs of the others."""
        key = self._key(work)
        members = self._members.get(key, {})
        members.pop(work.name, None)
        return list(members.values())

    def _key(self, work):
        step_name = work.name.rpartition(".")[0]
        return (step_name, work.run, work.checkpoint)


class Runner:
    """One life of a machine, in the pool of a service."""

    def __init__(self, runner_id, machine, service, cluster):
        self.runner_id = runner_id
        self.machine = machine
        self.service = service
        self.up = True
        self._cluster = cluster
        self._record = cluster.record
        self._started_at = time.monotonic()
        self._born = int(time.time() * 1000)
        self._running = {}
        self._ended = []
        self._barred = {}
        self._next_end = 1
        self._token = 0
        self._lease_end_ms = 0
        self._sequence = 0
        self._ended_event = asyncio.Event()
        self._server = HttpServer(self._answer)
        self._tasks = []

    @property
    def running(self):
        """Return the subtasks that run, as Work objects."""
        return list(self._running.values())

    async def start(self):
        """Serve orders and register in the store."""
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self):
        """End at once; the platform removes the entry after three heartbeats."""
        await self._end("crashed")
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        self._cluster.store.remove("servers", self.runner_id)

    async def leave(self):
        """End at once with all subtasks, and remove the entry."""
        await self._end("left")
        self._cluster.store.remove("servers", self.runner_id)

    async def _end(self, how):
        self.up = False
        for task in self._tasks:
            task.cancel()
        for work in self.running:
            self._record.write(f"run {work.name} #{work.run} {how} {self.runner_id}")
            self._cluster.runs.ended(work.name, work.run, how)
            self._break_gang(work)
        self._running.clear()
        self._record.write(f"runner {self.runner_id} {how}")
        await self._server.close()

    def _clock_ms(self):
        return int((time.monotonic() - self._started_at) * 1000) + 1000

    async def _heartbeat(self):
        while True:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": self._server.address,
                "zone": "zone-1",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "capacity": CAPACITY,
                "labels": ["kind-a", "rack-1"],
                "machine": self.machine,
                "born": self._born,
            }
            value = base64.b64encode(msgspec.json.encode(body)).decode()
            self._cluster.store.put("servers", self.runner_id, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            elapsed_s, last = now - last, now
            lapsed = self._clock_ms() > self._lease_end_ms
            for work in self.running:
                if (work.name, work.run) not in self._running:
                    continue  # ended with its gang
                if lapsed:
                    self._finish(work, "lapsed")
                elif work.stops_at is not None and now >= work.stops_at:
                    self._finish(work, "stopped")
                else:
                    self._advance(work, elapsed_s, now)

    def _advance(self, work, elapsed_s, now):
        if work.step.get("gang") and not self._cluster.gangs.complete(work):
            if now - work.started_at > GANG_TIMEOUT_S:
                self._finish(work, "alone")
            return
        work.advance(elapsed_s)
        if not work.long_running and work.done_s >= work.work_s:
            self._finish(work, "done")

    def _finish(self, work, how):
        if self._running.pop((work.name, work.run), None) is None:
            return
        self._bar(work.name, work.run)
        self._ended.append([self._next_end, work.name, work.run, how, work.saved])
        self._next_end += 1
        self._record.write(
            f"run {work.name} #{work.run} {how} on {self.runner_id} "
            f"saved={work.saved!r}"
        )
        self._cluster.runs.ended(work.name, work.run, how)
        self._ended_event.set()
        self._ended_event = asyncio.Event()
        if work.step.get("gang"):
            if how == "done":
                for runner, other in self._cluster.gangs.leave(work):
                    runner._finish(other, "done")
            else:
                self._break_gang(work)

    def _break_gang(self, work):
        if not work.step.get("gang"):
            return
        complete = self._cluster.gangs.complete(work)
        for runner, other in self._cluster.gangs.leave(work):
            if complete:
                runner._finish(other, "broken")

    def _bar(self, name, run):
        self._barred[name] = max(run, self._barred.get(name, 0))

    async def _answer(self, request):
        if request.headers.get(INSTANCE_HEADER) != self.runner_id:
            return json_answer({"clock_ms": self._clock_ms()}, 421)
        body = msgspec.json.decode(await request.read())
        token = body.get("fencing_token", 0)
        if token < self._token:
            self._record.write(f"refused fence {request.path} {body} {self.runner_id}")
            return self._refuse("fence")
        self._token = token
        handlers = {
            "/run-start": self._start_run,
            "/run-stop": self._stop_run,
            "/hold": self._hold,
            "/pace": self._pace,
        }
        return await handlers[request.path](body)

    def _refuse(self, reason):
        return json_answer({"clock_ms": self._clock_ms(), "reason": reason}, 409)

    def _extend_lease(self, deadline_ms):
        longest = self._clock_ms() + HOLD_MAX_MS
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, longest))

    async def _start_run(self, body):
        name, run, checkpoint = body["task"], body["run"], body.get("checkpoint", "")
        if body["deadline_ms"] <= self._clock_ms():
            return self._refuse("late")
        self._extend_lease(body["deadline_ms"])
        if (name, run) in self._running:
            return json_answer({"clock_ms": self._clock_ms()})
        if run <= self._barred.get(name, 0):
            return self._refuse("old")
        step, work_s = self._cluster.step_of(name)
        used_cpu = sum(work.step.get("cpu", 0) for work in self.running)
        used_mb = sum(work.step.get("mem_mb", 0) for work in self.running)
        if (
            used_cpu + step.get("cpu", 0) > CAPACITY["cpu"]
            or used_mb + step.get("mem_mb", 0) > CAPACITY["mem_mb"]
        ):
            return self._refuse("room")
        work = Work(name, run, step, checkpoint, work_s)
        self._running[name, run] = work
        self._record.write(
            f"run {name} #{run} started on {self.runner_id} ({self.service}) "
            f"token={body['fencing_token']} checkpoint={checkpoint!r}"
        )
        self._cluster.runs.started(name, run, self.runner_id, checkpoint)
        if step.get("gang"):
            self._cluster.gangs.join(self, work)
        return json_answer({"clock_ms": self._clock_ms()})

    async def _stop_run(self, body):
        name, run = body["task"], body["run"]
        self._record.write(f"stop of {name} #{run} at {self.runner_id}")
        work = self._running.get((name, run))
        if work is not None and work.stops_at is None:
            work.stops_at = time.monotonic() + STOP_S
        self._bar(name, run)
        return json_answer({"clock_ms": self._clock_ms()})

    async def _pace(self, body):
        return json_answer({"clock_ms": self._clock_ms()})

    async def _hold(self, body):
        if body.get("deadline_ms") is not None:
            self._extend_lease(body["deadline_ms"])
        acked = body["acked_through"]
        self._ended = [end for end in self._ended if end[0] > acked]
        wait_ms = min(body.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self._ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended_event.wait(), wait_ms / 1000)
        running = [[w.name, w.run, w.saved, w.percent, 0] for w in self.running]
        return json_answer(
            {
                "clock_ms": self._clock_ms(),
                "born": self._born,
                "running": running,
                "ended": self._ended[:MAX_LISTED_ENDS],
            }
        )
