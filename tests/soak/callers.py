"""Callers that submit, ask and cancel, and keep their connections open."""

import asyncio
import time

import aiohttp
import msgspec

from tests.soak.ledger import Submitted

CALL_TIMEOUT_S = 3.0
SUBMIT_ATTEMPTS = 6
SUBMIT_GAP_S = 0.12
POLL_GAP_S = 0.25
CANCEL_SHARE = 0.08
LASTING_SHARE = 0.04
MAX_ATTEMPTS = 4
FAIR_WAIT_S = 0.3


class Callers:
    """
    A load of submissions spread over the nodes and queues.

    Submissions go to any node; a call without an answer is repeated with the same id,
    and so is a refused one.
    """

    def __init__(self, nodes, queues, rng, ledger):
        self._nodes = nodes
        self._queues = queues
        self._rng = rng
        self._ledger = ledger
        self._session = None
        self._tasks = set()
        self._loop_task = None

    async def start(self):
        """Begin to submit."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        self._session = aiohttp.ClientSession(connector=connector)
        self._loop_task = asyncio.create_task(self._submit_loop())

    async def stop_submitting(self):
        """Submit nothing more; what is under way goes on."""
        self._loop_task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self):
        """End all calls."""
        self._loop_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self._session.close()

    async def _submit_loop(self):
        while True:
            self._spawn(self._submit())
            await asyncio.sleep(self._rng.expovariate(1 / SUBMIT_GAP_S))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_submission(self):
        submission_id = f"{self._rng.getrandbits(64):016x}"
        if self._rng.random() < LASTING_SHARE:
            steps = [self._step(3, lasting=True)]
        else:
            steps = [self._step(self._rng.randint(1, 4))]
            if self._rng.random() < 0.5:
                steps.append(self._step(self._rng.randint(1, 3)) | {"after": [0]})
        submission = Submitted(submission_id, steps, MAX_ATTEMPTS)
        self._ledger.submitted(submission)
        return submission

    def _step(self, count, lasting=False):
        step = {
            "count": count,
            "cpu": self._rng.randint(500, 4000),
            "mem_mb": self._rng.randint(500, 4000),
            "estimated_ms": self._rng.randint(100, 900),
        }
        if lasting:
            step |= {"long_running": True, "max_per_server": 2, "cpu": 500}
        return step

    async def _call(self, method, queue, name, body=None, node=None):
        """Return (status, body), or (None, b"") where there is no whole answer."""
        node = node or self._rng.choice(self._nodes)
        url = f"http://{node.front}{queue.path_prefix}{name}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = msgspec.json.encode(body) if body is not None else None
        sent_at = time.monotonic()
        try:
            async with self._session.request(
                method, url, data=data, headers={"Host": queue.host}, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            cut = isinstance(error, aiohttp.ServerDisconnectedError)
            waited = time.monotonic() - sent_at
            if cut and waited > FAIR_WAIT_S and node.only_stopped_gracefully:
                detail = f"{method} at {node.name} after {waited:.2f} s: {error!r}"
                self._ledger.report("a planned stop cuts no request", detail)
            return None, b""

    async def _submit(self):
        queue = self._rng.choice(self._queues)
        submission = self._new_submission()
        submission_id = submission.submission_id
        for _ in range(SUBMIT_ATTEMPTS):
            certain = submission.maybe_accepted
            submission.maybe_accepted = True
            body = {"spec": "soak", "steps": submission.steps}
            status, _ = await self._call("POST", queue, submission_id, body)
            if status is not None and 200 <= status < 300:
                submission.accepted = True
                self._ledger.count("accepted")
                break
            if status in (429, 503):
                submission.maybe_accepted = certain
            await asyncio.sleep(self._rng.uniform(0.2, 0.8))
        if not submission.accepted:
            self._ledger.count("not accepted")
            return
        if self._rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            await self.cancel(queue, submission)
        elif not submission.lasting:
            await self._follow(queue, submission)

    async def cancel(self, queue, submission):
        """Cancel a submission, repeating the call until it is answered."""
        while True:
            status, _ = await self._call("DELETE", queue, submission.submission_id)
            if status == 410:
                self._ledger.unknown(submission)
            if status in (200, 410):
                submission.cancelled_at = time.monotonic()
                self._ledger.count("cancelled")
                return
            await asyncio.sleep(POLL_GAP_S)

    async def _follow(self, queue, submission):
        """Ask for the state until it is final."""
        while submission.shown not in ("completed", "failed"):
            await asyncio.sleep(POLL_GAP_S * self._rng.uniform(1, 4))
            status, data = await self._call("GET", queue, submission.submission_id)
            if status == 200:
                state = msgspec.json.decode(data)["state"]
                self._ledger.shown(submission, state)
            elif status == 410:
                self._ledger.unknown(submission)
                return
