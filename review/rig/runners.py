"""Runners, the gangs that their subtasks form, and the machines that they live on."""

import asyncio
import contextlib
import time

from review.rig.server import HttpServer, abort, answer

HOLD_MAX_MS = 6000
STOP_S = 0.1  # stop_grace_ms is 200
GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5
MOVE_S = 1.5
UPKEEP_S = 2.0
TICK_S = 0.02
MAX_ENDS = 500
CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
INSTANCE_HEADER = "X-Magnoliapier-Target-Instance"


class Run:
    """One run of a subtask on a runner."""

    def __init__(self, task, number, step, now):
        self.task = task
        self.number = number
        self.step = step
        self.begun_at = now
        self.works_since = None if step.get("gang") else now
        self.stops_at = None

    @property
    def gang(self):
        """Return what the members of one run of a gang share."""
        return (self.task.rpartition(".")[0], self.number)

    def percent(self, now):
        """Return the progress."""
        if self.works_since is None:
            return 0
        if self.step.get("long_running"):
            return 100
        share = (now - self.works_since) / self.step["work_s"]
        return min(99, int(share * 100))


class World:
    """
    All runners, and what the case knows of the submissions.

    ``steps`` maps the ids of submissions to their steps; each step has ``work_s``
    beside its fields on the wire. ``starts`` and ``ends`` list what has happened.
    """

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.steps = {}
        self.runners = []
        self.starts = []
        self.ends = []

    def step_of(self, task):
        """Return the step of a subtask, or None if nobody has submitted it."""
        submission, _, step, _ = task.split(".")
        steps = self.steps.get(submission)
        return steps[int(step)] if steps else None

    def members(self, gang):
        """Return (runner, run) of all present members of a gang's run."""
        return [
            (runner, run)
            for runner in self.runners
            if runner.up
            for run in runner.running.values()
            if run.step.get("gang") and run.gang == gang
        ]

    def start_gang(self, run):
        """Let a gang work once all of its members are present."""
        members = self.members(run.gang)
        if len(members) == run.step["count"]:
            now = time.monotonic()
            for _, member in members:
                member.works_since = now
            self.record.write("gang_works", gang=run.gang)

    def end_gang(self, run, how):
        """End the other members of a gang's run, as ``done`` or ``broken``."""
        for runner, member in self.members(run.gang):
            if member is not run and (how == "done" or member.works_since):
                runner.end(member, "done" if how == "done" else "broken", False)


class Runner:
    """One life of a machine that is in the pool of a service."""

    def __init__(self, world, name, machine, service, rack="r1", kind="a"):
        self.world = world
        self.name = name
        self.machine = machine
        self.service = service
        self.rack = rack
        self.kind = kind
        self.running = {}
        self.ended = []
        self.up = False
        self.draining = False
        self.unanswered = lambda path, body: False
        self.unreachable = False
        self._connections = set()
        self._barred = {}
        self._next_end = 1
        self._token = 0
        self._lease_ms = 0
        self._born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._sequence = 0
        self._listed = asyncio.Event()
        self._server = HttpServer(self._answer)
        self._tasks = []
        self.address = ""

    async def start(self):
        """Serve orders and register."""
        self.address = await self._server.start()
        self.up = True
        self.world.runners.append(self)
        self.world.record.write("runner_up", id=self.name, service=self.service)
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._clock()),
        ]

    async def leave(self, unlist=True):
        """End at once with everything that runs there."""
        if not self.up:
            return
        self.world.record.write("runner_left", id=self.name, runs=len(self.running))
        self.up = False
        gone, self.running = list(self.running.values()), {}
        for run in gone:
            self.world.ends.append((time.monotonic(), run.task, run.number, "lost"))
            if run.step.get("gang") and run.works_since:
                self.world.end_gang(run, "lost")
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        if unlist:
            self.world.store.remove("servers", self.name)

    def clock_ms(self):
        """Return the runner's clock."""
        return int((time.monotonic() - self._began) * 1000) + 5000

    def cut(self):
        """Let the network reset all calls to the runner, which works on."""
        self.unreachable = True
        for connection in list(self._connections):
            connection.abort()

    def heal(self):
        """Let calls reach the runner again."""
        self.unreachable = False

    async def _heartbeat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write the runner's entry in the store."""
        self._sequence += 1
        self.world.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-1",
                "version": "1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "capacity": CAPACITY,
                "labels": [self.kind, self.rack],
                "machine": self.machine,
                "born": self._born,
            },
        )

    async def _clock(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.clock_ms() > self._lease_ms
            for run in list(self.running.values()):
                if run.task_key not in self.running:
                    continue
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self.end(run, "stopped")
                elif run.works_since is None:
                    if now - run.begun_at >= GANG_TIMEOUT_S:
                        self.end(run, "alone")
                elif not run.step.get("long_running"):
                    if now - run.works_since >= run.step["work_s"]:
                        self.end(run, "done")

    def end(self, run, how, tell_gang=True):
        """End a run and list its end."""
        if self.running.pop(run.task_key, None) is None:
            return
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self.ended.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self.world.ends.append((time.monotonic(), run.task, run.number, how))
        self.world.record.write(
            "ended", on=self.name, task=run.task, run=run.number, how=how
        )
        self._listed.set()
        self._listed = asyncio.Event()
        if tell_gang and run.step.get("gang") and run.works_since:
            self.world.end_gang(run, how)

    async def _answer(self, request):
        if self.unreachable:
            return abort(request)
        self._connections.add(request.transport)
        data = await request.json()
        if request.headers.get(INSTANCE_HEADER) != self.name:
            return answer({"clock_ms": self.clock_ms()}, 421)
        if self.unanswered(request.path, data):
            self.world.record.write(
                "unanswered", on=self.name, path=request.path, task=data.get("task")
            )
            return abort(request)
        return await self._carry_out(request.path, data)

    async def _carry_out(self, path, data):
        if data.get("fencing_token", 0) < self._token:
            return self._refuse("fence")
        self._token = data["fencing_token"]
        if path == "/run-start":
            return self._start(data)
        if path == "/run-stop":
            return self._stop(data)
        if path == "/hold":
            return await self._hold(data)
        return answer({"clock_ms": self.clock_ms()})  # /pace changes nothing here

    def _refuse(self, reason):
        return answer({"clock_ms": self.clock_ms(), "reason": reason}, 409)

    def _extend(self, data):
        deadline = min(data["deadline_ms"], self.clock_ms() + HOLD_MAX_MS)
        self._lease_ms = max(self._lease_ms, deadline)

    def _start(self, data):
        task, number = data["task"], data["run"]
        step = self.world.step_of(task)
        if step is None:
            self.world.record.write("unasked", task=task)
            return answer({"clock_ms": self.clock_ms()}, 400)
        if data["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(data)
        if (task, number) in self.running:
            return answer({"clock_ms": self.clock_ms()})
        if number <= self._barred.get(task, 0):
            return self._refuse("old")
        for resource in ("cpu", "mem_mb"):
            used = sum(r.step.get(resource, 0) for r in self.running.values())
            if used + step.get(resource, 0) > CAPACITY[resource]:
                return self._refuse("room")
        run = Run(task, number, step, time.monotonic())
        run.task_key = (task, number)
        self.running[run.task_key] = run
        self.world.starts.append((time.monotonic(), task, number, self.name))
        self.world.record.write("begun", on=self.name, task=task, run=number)
        if step.get("gang"):
            self.world.start_gang(run)
        return answer({"clock_ms": self.clock_ms()})

    def _stop(self, data):
        run = self.running.get((data["task"], data["run"]))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        self._barred[data["task"]] = max(
            data["run"], self._barred.get(data["task"], 0)
        )
        return answer({"clock_ms": self.clock_ms()})

    async def _hold(self, data):
        if data.get("deadline_ms") is not None:
            self._extend(data)
        acked = data.get("acked_through", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        if data.get("wait_ms") and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._listed.wait(), data["wait_ms"] / 1000)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), 0]
            for run in self.running.values()
        ]
        return answer(
            {
                "clock_ms": self.clock_ms(),
                "running": running,
                "ended": self.ended[:MAX_ENDS],
                "born": self._born,
            }
        )


class Machine:
    """A machine of the fleet; its state is as in the platform's list."""

    def __init__(self, name, pool, kind="a"):
        self.name = name
        self.pool = pool
        self.kind = kind
        self.state = "up"
        self.boots = 0
        self.runner = None


class Machines:
    """
    The platform's list of machines, and the moves and upkeeps that it carries out.

    ``kinds`` maps pools to the kind of their machines, "a" by default; a machine can't
    be moved to a pool of other machines.
    """

    def __init__(self, world, pools, standby=None, kinds=()):
        self.world = world
        self.machines = {}
        self._standby = standby
        self._kinds = dict(kinds)
        self._tasks = set()
        self._server = HttpServer(self._answer)
        for pool, count in pools.items():
            for _ in range(count):
                name = f"m{len(self.machines)}"
                kind = self._kinds.get(pool, "a")
                self.machines[name] = Machine(name, pool, kind)

    async def start(self):
        """Start the runners and listen; return the address."""
        for machine in self.machines.values():
            await self._boot(machine)
        return await self._server.start()

    async def close(self):
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        for machine in self.machines.values():
            if machine.runner is not None:
                await machine.runner.leave()

    def runners_of(self, pool):
        """Return the runners that are up in a pool."""
        machines = self.machines.values()
        runners = (m.runner for m in machines if m.pool == pool and m.runner)
        return [runner for runner in runners if runner.up]

    async def _boot(self, machine):
        machine.state = "up"
        if machine.pool == self._standby:
            return  # it is off
        machine.boots += 1
        name = f"i-{machine.name}-{machine.boots}"
        rack = f"r{int(machine.name[1:]) // 4}"
        machine.runner = Runner(
            self.world, name, machine.name, machine.pool, rack, machine.kind
        )
        await machine.runner.start()

    async def reboot(self, machine, down_s):
        """Crash a machine; a new runner comes after ``down_s``."""
        runner, machine.runner, machine.state = machine.runner, None, "down"
        await runner.leave()
        await asyncio.sleep(down_s)
        await self._boot(machine)

    async def _answer(self, request):
        if request.path == "/machines":
            return answer({"machines": [self._entry(m) for m in self.machines.values()]})
        data = await request.json()
        machine = self.machines.get(data["machine"])
        if machine is None:
            return answer({}, 400)
        if machine.state != "up":
            return answer({"reason": "busy"}, 409)
        if request.path == "/machine-move":
            if self._kinds.get(data["pool"], "a") != machine.kind:
                self.world.record.write(
                    "move_400", machine=machine.name, to=data["pool"], of=machine.pool
                )
                return answer({"error": "a pool of other machines"}, 400)
            if machine.pool != data["pool"]:
                self.world.record.write(
                    "moved", machine=machine.name, to=data["pool"], of=machine.pool
                )
                machine.pool = data["pool"]
                self._restart(machine, "moving", MOVE_S)
        else:
            self.world.record.write("upkeep", machine=machine.name, wave=data["wave"])
            self._restart(machine, "upkeep", UPKEEP_S)
        return answer({})

    def _restart(self, machine, state, seconds):
        runner, machine.runner, machine.state = machine.runner, None, state
        task = asyncio.create_task(self._boot_later(machine, runner, seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _boot_later(self, machine, runner, seconds):
        if runner is not None:
            await runner.leave()
        await asyncio.sleep(seconds)
        await self._boot(machine)

    def _entry(self, machine):
        entry = {
            "machine": machine.name,
            "pool": machine.pool,
            "state": machine.state,
            "zone": "zone-1",
            "labels": [machine.kind, f"r{int(machine.name[1:]) // 4}"],
            "capacity": CAPACITY,
        }
        if machine.runner is not None:
            entry["id"] = machine.runner.name
        return entry
