"""
Requests between hosts about shards that another host holds.

The answers are a few bytes of JSON over HTTP/1.1 on an internal port: the requests are
rare and small, and the process has an HTTP client and server anyway.
"""

import aiohttp
import msgspec
from aiohttp import web
from yarl import URL

from magnoliapier.logs import get_logger
from magnoliapier.submissions.model import SubmissionState

ASK_TIMEOUT_S = 0.3

log = get_logger(__name__)


class StateAnswer(msgspec.Struct):
    """The state of a submission."""

    state: SubmissionState


class PendingAnswer(msgspec.Struct):
    """The number of submissions of a queue that have not started."""

    pending: int


class PeerServer:
    """Answers requests of other hosts about the shards that this process holds."""

    def __init__(self, address, find_shard):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._find_shard = find_shard
        self._runner = None

    async def start(self):
        """Listen on the internal address."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def close(self):
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request):
        parts = request.path.strip("/").split("/")
        if len(parts) != 3:
            return web.Response(status=404)
        service, kind, name = parts
        shard = self._find_shard(service)
        if shard is None or not shard.loaded or not shard.may_act():
            return web.Response(status=503)
        if kind == "state":
            state = shard.tables.state_of(name)
            if state is None:
                return web.Response(status=404)
            return web.Response(body=msgspec.json.encode(StateAnswer(state)))
        return web.Response(
            body=msgspec.json.encode(PendingAnswer(shard.tables.pending(name)))
        )


class Peers:
    """Asks the holder of a shard, which may be this process."""

    def __init__(self, session, leases, find_shard):
        self._session = session
        self._leases = leases
        self._find_shard = find_shard

    async def state(self, service, submission_id):
        """Return a submission's state, or None if the holder does not give it."""
        shard = self._local_shard(service)
        if shard is not None:
            return shard.tables.state_of(submission_id)
        answer = await self._ask(service, "state", submission_id, StateAnswer)
        return answer.state if answer else None

    async def pending(self, service, queue_name):
        """Return a queue's pending count, or None if the holder does not give it."""
        shard = self._local_shard(service)
        if shard is not None:
            return shard.tables.pending(queue_name)
        answer = await self._ask(service, "pending", queue_name, PendingAnswer)
        return answer.pending if answer else None

    def _local_shard(self, service):
        shard = self._find_shard(service)
        if shard is not None and shard.loaded and shard.may_act():
            return shard
        return None

    async def _ask(self, service, kind, name, answer_type):
        holder = self._leases.holder(service)
        if holder is None:
            return None
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        try:
            url = URL(f"http://{holder.address}/{service}/{kind}/{name}")
            async with self._session.get(url, timeout=timeout) as response:
                data = await response.read()
                if response.status != 200:
                    return None
                return msgspec.json.decode(data, type=answer_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning("peer_unreadable", shard=service, error=error)
            return None
        # No URL can hold some addresses; they raise a ValueError.
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            log.info(
                "peer_unanswered", shard=service, holder=holder.holder, error=error
            )
            return None
