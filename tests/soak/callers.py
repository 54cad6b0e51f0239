"""Simulated callers that submit, poll and cancel work over persistent connections."""

import asyncio
import time

import aiohttp
import msgspec

from tests.soak.ledger import SubmissionRecord

CALL_TIMEOUT_S = 3.0
SUBMIT_ATTEMPTS = 6
SUBMIT_INTERVAL_S = 0.12  # mean of an exponential distribution
POLL_INTERVAL_S = 0.25
CANCEL_SHARE = 0.08
LONG_RUNNING_SHARE = 0.04
MAX_ATTEMPTS = 4
# Tasks with a lower estimate last a tenth of it: they often end before the next listing
# of their endpoint, which may be its first one after a restart.
SHORT_BELOW_MS = 260
MIN_CUT_WAIT_S = 0.3  # a request that is cut sooner breaks no invariant


class Callers:
    """
    Generates a load of submissions over all nodes and queues.

    Each call goes to a random node. A submission that gets no response or is refused is
    repeated with the same id, up to ``SUBMIT_ATTEMPTS`` times in total. Nothing new is
    submitted for the services in ``quiet_services``.
    """

    def __init__(self, nodes, queues, rng, ledger):
        self.quiet_services = set()
        self._nodes = nodes
        self._queues = queues
        self._rng = rng
        self._ledger = ledger
        self._session = None
        self._tasks = set()
        self._loop_task = None

    async def start(self):
        """Start submitting."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        self._session = aiohttp.ClientSession(connector=connector)
        self._loop_task = asyncio.create_task(self._submit_loop())

    async def stop_submitting(self):
        """Stop submitting and wait until the submissions under way have finished."""
        self._loop_task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self):
        """Cancel all calls and close the connections."""
        self._loop_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self._session.close()

    async def _submit_loop(self):
        while True:
            self._spawn(self._submit())
            await asyncio.sleep(self._rng.expovariate(1 / SUBMIT_INTERVAL_S))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_submission(self):
        submission_id = f"{self._rng.getrandbits(64):016x}"
        if self._rng.random() < LONG_RUNNING_SHARE:
            steps = [self._step(3, long_running=True)]
        else:
            steps = [self._step(self._rng.randint(1, 4))]
            if self._rng.random() < 0.5:
                steps.append(self._step(self._rng.randint(1, 3)) | {"after": [0]})
        submission = SubmissionRecord(submission_id, steps, MAX_ATTEMPTS)
        self._ledger.record_submission(submission)
        return submission

    def _step(self, count, long_running=False):
        step = {
            "count": count,
            "cpu": self._rng.randint(500, 4000),
            "mem_mb": self._rng.randint(500, 4000),
            "estimated_ms": self._rng.randint(100, 900),
        }
        if step["estimated_ms"] < SHORT_BELOW_MS:
            step["estimated_ms"] //= 10
        if long_running:
            step |= {"long_running": True, "max_per_server": 2, "cpu": 500}
        return step

    async def _call(self, method, queue, name, body=None, node=None):
        """Return (status, body), or (None, b"") if no complete response arrives."""
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
            disconnected = isinstance(error, aiohttp.ServerDisconnectedError)
            waited = time.monotonic() - sent_at
            if disconnected and waited > MIN_CUT_WAIT_S and node.is_undisturbed:
                detail = f"{method} at {node.name} after {waited:.2f} s: {error!r}"
                self._ledger.report("a graceful stop cuts no request", detail)
            return None, b""

    async def _submit(self):
        queue = self._rng.choice(self._queues)
        if queue.service in self.quiet_services:
            return
        submission = self._new_submission()
        submission_id = submission.submission_id
        for _ in range(SUBMIT_ATTEMPTS):
            maybe_accepted_before = submission.maybe_accepted
            submission.maybe_accepted = True
            body = {"spec": "soak", "steps": submission.steps}
            status, _ = await self._call("POST", queue, submission_id, body)
            if status is not None and 200 <= status < 300:
                submission.accepted = True
                self._ledger.count("accepted")
                break
            if status in (429, 503):
                submission.maybe_accepted = maybe_accepted_before
            await asyncio.sleep(self._rng.uniform(0.2, 0.8))
        if not submission.accepted:
            self._ledger.count("not accepted")
            return
        if self._rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            await self.cancel(queue, submission)
        elif not submission.long_running:
            await self._poll_until_final(queue, submission)

    async def cancel(self, queue, submission):
        """Cancel a submission, repeating the call until it returns 200 or 410."""
        while True:
            status, _ = await self._call("DELETE", queue, submission.submission_id)
            if status == 410:
                self._ledger.record_unknown_submission(submission)
            if status in (200, 410):
                submission.cancelled_at = time.monotonic()
                self._ledger.count("cancelled")
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_until_final(self, queue, submission):
        """Poll the state until the submission is completed, failed or unknown."""
        while submission.shown_state not in ("completed", "failed"):
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(1, 4))
            status, data = await self._call("GET", queue, submission.submission_id)
            if status == 200:
                state = msgspec.json.decode(data)["state"]
                self._ledger.record_state(submission, state)
            elif status == 410:
                self._ledger.record_unknown_submission(submission)
                return
