"""
A small deployment on loopback addresses: the project's processes and the stand-ins.

The processes are started with the command of the deploy file. Everything else (store,
list of machines, runners, consumers) is played by this process.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

from standin.platform import Machines, Store
from standin.record import Record
from standin.runner import STANDBY, Runner

ROOT = Path(__file__).resolve().parents[2]
TIME_LIMIT_S = 3.0  # of a consumer's request
RETRY_PAUSE_S = 0.3
FINISH_S = 14.0
MANY_PLACES = 1000  # of a step that requests nothing
IDLE_S = 3.0  # for how long a submission must have nothing running to count as LOST
READY_LIMIT_S = 20.0
ENTRY_LIFE_S = 4.5  # three heartbeats
HOST = "desk.example"
CONFIG_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def trouble():
    """Return whether the script is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, service, priority=0, max_attempts=3):
    """Return a route of the config; its path prefix is the name between slashes."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_completion_ms": 600,
        "priority": priority,
        "service": service,
        "max_attempts": max_attempts,
        "stretch": 1.6,
    }


def service(name):
    """Return a service of the config; ``STANDBY`` names the standby pool."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 64,
        "protocol": "h1",
        "tls": False,
        "rejects_overload": True,
        "standby": name == STANDBY,
    }


class Node:
    """One process of the project on an address of its own."""

    def __init__(self, index, world):
        self.name = f"front-{index}"
        self.process = None
        self._world = world
        pid = os.getpid()
        self.ip = f"127.{10 + pid % 200}.{pid // 200 % 250}.{10 + index}"
        self.front = f"{self.ip}:{self._free_port()}"
        self.ready = f"{self.ip}:{self._free_port()}"
        self._peer_port = self._free_port()

    def _free_port(self):
        with socket.socket() as sock:
            sock.bind((self.ip, 0))
            return sock.getsockname()[1]

    def launch(self):
        """Start the process."""
        boot = self._world.folder / f"{self.name}.json"
        boot.write_text(json.dumps(self._settings()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=kept
                | {
                    "MAGNOLIAPIER_BOOT": str(boot),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.record.add(self.name, f"is started, process {self.process.pid}")

    def _settings(self):
        world = self._world
        return {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen": {"front": self.front, "ready_address": self.ready},
            "internal_ports": [self._peer_port, self._peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"]
            + ["platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "contact_ms": 3000,
                "ack_timeout_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "hold_max_ms": 6000,
                "stop_grace_ms": 200,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "finish_s": 14,
                "status_s": 120,
                "notice_ms": 4500,
                "fencing_required": False,
                "lease_ms": 3000,
            },
            "orders": "call",
            "platform": {
                "address": world.store_address,
                "form": "table",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "tx_ms": 3.0,
                "part_writes_s": 300,
                "row_bytes": 65536,
                "across": True,
                "history_s": 20,
            },
            "cloud_api": {
                "address": world.machines_address,
                "rate_per_s": 64.0,
                "duties": [],
                "duty_per_s": 64.0,
            },
        }

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self._world.record.add(self.name, "is killed")


class World:
    """The deployment that a script plays with; use it with ``async with``."""

    def __init__(self, case, routes, services, runners, nodes=3, gpu=0):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case / "record.txt")
        self.store = Store(self.record)
        self.submissions = {}
        self._config = {
            "version": 7,
            "routes": routes,
            "services": [*services, service(STANDBY)],
            "limits": CONFIG_LIMITS,
        }
        self.runners = [
            Runner(
                f"i-{index:010x}",
                f"m-{index:05x}",
                runner_service,
                labels,
                self.store,
                self.record,
                self._work_of,
            )
            for index, (runner_service, labels) in enumerate(runners, 1)
        ]
        for runner in self.runners:
            runner.capacity["gpu"] = gpu
        self._machines = Machines(self.runners, self.record)
        self.store_address = self.machines_address = None
        self.nodes = [Node(index, self) for index in range(nodes)]
        self._session = None
        self._tasks = []

    async def __aenter__(self):
        self.store_address = await self.store.start()
        self.machines_address = await self._machines.start()
        self._session = aiohttp.ClientSession()
        self.store.put("op", "config", self._config)
        for runner in self.runners:
            if runner.service != STANDBY:
                await runner.start()
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        for node in self.nodes:
            node.launch()
        await self._wait_until_ready()
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        for runner in self.runners:
            if runner.up:
                await runner.crash()
        await self._session.close()
        await self._machines.close()
        await self.store.close()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)

    async def _expire_entries(self):
        """Remove the entries of runners that have been silent for too long."""
        while True:
            await asyncio.sleep(0.1)
            for runner in self.runners:
                silent = time.monotonic() - runner.heard_at > ENTRY_LIFE_S
                if silent and self.store.remove("servers", runner.runner_id):
                    self.record.add("store", f"removes the entry of {runner.runner_id}")

    async def _wait_until_ready(self):
        until = time.monotonic() + READY_LIMIT_S
        for node in self.nodes:
            while not await self._ready(node):
                if time.monotonic() > until:
                    raise CannotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        services = {entry["service"] for entry in self._config["routes"]}
        while any(self.store.holder(name) is None for name in services):
            if time.monotonic() > until:
                raise CannotRunError("a service has no holder")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def _ready(self, node):
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"http://{node.ready}/ready"
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def holder_of(self, service_name):
        """Return the node whose name stands in the lease row of a service."""
        row = self.store.holder(service_name) or b""
        for node in self.nodes:
            if node.name.encode() in row:
                return node
        raise CannotRunError(f"{service_name} has no holder")

    def _work_of(self, task):
        submission_id, _, step, _ = task.split(".")
        submission = self.submissions.get(submission_id)
        if submission is None:
            return None
        return submission["steps"][int(step)], submission["seconds"]

    # Consumers

    async def submit(self, queue, steps, seconds):
        """
        Hand in a submission and return its id.

        Each subtask works for ``seconds``; None stands for one that lasts.
        """
        submission_id = os.urandom(8).hex()
        self.submissions[submission_id] = {
            "queue": queue,
            "steps": steps,
            "seconds": seconds,
            "accepted": False,
        }
        body = {"spec": "review", "steps": steps}
        for attempt in range(8):
            node = self.nodes[attempt % len(self.nodes)]
            if node.process.poll() is not None:
                continue
            status, _ = await self._call("POST", node, queue, submission_id, body)
            self.record.add(
                "consumer",
                f"POST {queue}/{submission_id} {steps} at {node.name}: {status}",
            )
            if status == 200:
                self.submissions[submission_id]["accepted"] = True
                return submission_id
            await asyncio.sleep(RETRY_PAUSE_S)
        return submission_id

    async def state(self, submission_id, log=True):
        """Ask the nodes in turn for a submission's state; return it or the status."""
        queue = self.submissions[submission_id]["queue"]
        answer = None
        for node in self.nodes:
            if node.process.poll() is not None:
                continue
            status, body = await self._call("GET", node, queue, submission_id)
            answer = body.get("state") if status == 200 else status
            if status == 200:
                break
        if log:
            self.record.add("consumer", f"GET {queue}/{submission_id}: {answer}")
        return answer

    async def _call(self, method, node, queue, submission_id, body=None):
        url = f"http://{node.front}/{queue}/{submission_id}"
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Magnoliapier-Deadline-Ms": str(int(TIME_LIMIT_S * 1000)),
        }
        data = None if body is None else json.dumps(body)
        timeout = aiohttp.ClientTimeout(total=TIME_LIMIT_S)
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                return response.status, json.loads(content or b"{}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return repr(error), {}

    async def wait_for_starts(self, submission_id, count, limit_s):
        """Wait until ``count`` subtasks have been started; return whether they were."""
        until = time.monotonic() + limit_s
        while len(self.record.started_tasks(submission_id)) < count:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.02)
        return True

    async def wait_for_state(self, submission_id, state, limit_s):
        """Wait until a submission is shown in a state; return whether it was."""
        until = time.monotonic() + limit_s
        while await self.state(submission_id, log=False) != state:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.2)
        return True

    def stop_store(self):
        """Let the store refuse every call with 503."""
        self.store.down = True
        self.record.add("store", "is down")

    def start_store(self):
        """Let the store answer again."""
        self.store.down = False
        self.record.add("store", "is up")

    async def heartbeats(self):
        """Wait until the first runner has written its next heartbeat."""
        heard_at = self.runners[0].heard_at
        while self.runners[0].heard_at == heard_at:
            await asyncio.sleep(0.01)

    # LOST

    async def lost(self):
        """
        Wait until ``FINISH_S`` after the end of the traffic; return breaks of LOST.

        Call it when the last submission has been handed in. A submission is lost if it
        isn't known, gets no answer, or has nothing running for ``IDLE_S`` while a
        subtask's turn has come, there is capacity for it twice over, and under half of
        the service's capacity is in use.
        """
        await asyncio.sleep(FINISH_S)
        self.record.add("check", f"LOST is checked, {FINISH_S} s after the traffic")
        idle = {i: True for i, s in self.submissions.items() if s["accepted"]}
        idle_tasks = {task: True for i in idle for task in self._lasting_tasks(i)}
        until = time.monotonic() + IDLE_S
        while time.monotonic() < until:
            for submission_id in idle:
                if not self._idle_beside_room(submission_id):
                    idle[submission_id] = False
            for task in idle_tasks:
                if not self._task_idle_beside_room(task):
                    idle_tasks[task] = False
            await asyncio.sleep(0.05)
        broken = []
        for submission_id, was_idle in idle.items():
            state = await self.state(submission_id)
            if state not in ("queued", "running", "completed", "failed", "cancelled"):
                broken.append(f"{submission_id}: no state, {state}")
            elif was_idle and state in ("queued", "running"):
                broken.append(
                    f"{submission_id}: shown as {state}; nothing of it has run for "
                    f"{IDLE_S} s although its turn has come and there is room"
                )
        for task, was_idle in idle_tasks.items():
            if was_idle and idle[task.split(".")[0]] is False:
                broken.append(
                    f"{task}: lasts and has not run for {IDLE_S} s although there is "
                    f"room"
                )
        return broken

    def _lasting_tasks(self, submission_id):
        """Return the names of a submission's subtasks that last."""
        submission = self.submissions[submission_id]
        if submission["seconds"] is not None:
            return []
        count = submission["steps"][0]["count"]
        return [f"{submission_id}.0.0.{index}" for index in range(count)]

    def _task_idle_beside_room(self, task):
        """Return whether a subtask that lasts doesn't run although there is room."""
        if any("end" not in run for run in self.record.runs_of_task(task)):
            return False
        return self._has_room(self.submissions[task.split(".")[0]])

    def _idle_beside_room(self, submission_id):
        """Return whether nothing of a submission runs although there is room."""
        submission = self.submissions[submission_id]
        started = {
            int(task.split(".")[3]) for task in self.record.started_tasks(submission_id)
        }
        step = submission["steps"][0]
        runs = self.record.runs_of(submission_id)
        if any("end" not in run for run in runs):
            return False
        done = {run["run"] for run in runs if run.get("how") == "done"}
        if submission["seconds"] is not None and len(started) == step["count"] and done:
            return False
        return self._has_room(submission)

    def _has_room(self, submission):
        """Return whether there is room for a subtask twice over, and most is free."""
        step = submission["steps"][0]
        runners = [r for r in self.runners if r.up and self._may_run(r, submission)]
        places = sum(self._places(runner, step) for runner in runners)
        used = sum(runner.cpu_in_use for runner in runners)
        room = sum(runner.capacity["cpu"] for runner in runners)
        return places >= 2 and used < room / 2

    def _may_run(self, runner, submission):
        wanted = submission["steps"][0].get("required_label")
        for entry in self._config["routes"]:
            if entry["name"] == submission["queue"]:
                same = entry["service"] == runner.service
                return same and (not wanted or wanted in runner.labels)
        return False

    def _places(self, runner, step):
        places = MANY_PLACES
        for resource, room in runner.capacity.items():
            wanted = step.get(resource, 0)
            if wanted:
                used = sum(r.step.get(resource, 0) for r in runner.running.values())
                places = min(places, (room - used) // wanted)
        most = step.get("max_per_server")
        if most:
            here = sum(run.step is step for run in runner.running.values())
            places = min(places, most - here)
        return places


class CannotRunError(Exception):
    """The case cannot be played, for example because a process does not start."""


def main(play):
    """
    Run ``play(case)``, which returns the broken rules, and exit as a case does.

    ``case`` is the folder of the script that was started.
    """
    case = Path(sys.argv[0]).resolve().parent
    try:
        broken = asyncio.run(asyncio.wait_for(play(case), 115))
    except (CannotRunError, OSError, TimeoutError) as error:
        print("the case could not run:", repr(error))
        sys.exit(2)
    if broken is None:
        print("the case could not run")
        sys.exit(2)
    with (case / "record.txt").open("a", encoding="utf-8") as record:
        for line in broken[:20]:
            print("BROKEN", line)
            record.write(f"BROKEN {line}\n")
        verdict = f"{len(broken)} breaks; TROUBLE={'1' if trouble() else '0'}"
        print(verdict)
        record.write(verdict + "\n")
    sys.exit(1 if broken else 0)
