"""The HTTP client of the platform's interface for machines, the product's hosts."""

import aiohttp
from yarl import URL

from magnoliapier.exceptions import (
    HostOrderRefusedError,
    MessageError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.platform import wire
from magnoliapier.platform.http import call_timeout
from magnoliapier.pools.hosts import Host, HostState

CALL_TIMEOUT_S = 1.0  # within state.lease.ORDER_TIME_LIMIT_S
CALL_TIMEOUT_MS = round(CALL_TIMEOUT_S * 1000)
NO_EFFECT_STATUSES = (429, 503)
REFUSED_STATUSES = (400, 409)
MAX_LOGGED = 80  # bytes of an odd entry

log = get_logger(__name__)


class MachineClient:
    """
    Lists hosts and orders moves and maintenance.

    ``session`` must have a TCP user timeout of ``CALL_TIMEOUT_MS``, so that the kernel
    drops an order that a network partition holds back for longer. ``holder`` is this
    host's name in its leases.
    """

    def __init__(self, session, address, holder, metrics):
        self._session = session
        self._base_url = f"http://{address}"
        self._holder = holder
        self._metrics = metrics

    async def hosts(self):
        """Return all hosts as a list of ``pools.hosts.Host``."""
        hosts = []
        page_token = None
        while True:
            page = await self._fetch_page(page_token)
            hosts.extend(decode_hosts(page))
            page_token = page.next_page_token
            if not page_token:
                return hosts

    async def _fetch_page(self, page_token):
        url = URL(f"{self._base_url}/machines")
        if page_token:
            url = url.with_query({"page_token": page_token})
        status, data = await self._call("GET", url)
        if status != 200:
            raise StoreUnavailableError(
                f"Retry later; the host list returned {status}."
            )
        return wire.decode(wire.MachinePage, data)

    async def move(self, host, service, token, guard):
        """
        Move a host to the pool of a service.

        ``token`` is the fencing token. ``guard.check()`` is called just before the
        order's bytes are written; if it raises an error, they are not written.
        ``guard.record_sent()`` is called once they are.

        Raises StoreUnavailableError if the order was not sent or had no effect,
        HostOrderRefusedError if it was refused, and StoreOutcomeUnknownError if it may
        have been carried out or may still be.
        """
        await self._send_order(
            "/machine-move", wire.MoveBody(host, service), token, guard
        )

    async def maintain(self, host, wave, token, guard):
        """Take a host down for its maintenance in a wave; see ``move``."""
        await self._send_order(
            "/machine-upkeep", wire.UpkeepBody(host, wave), token, guard
        )

    async def _send_order(self, path, body, token, guard):
        data = wire.encode(body)
        headers = {
            wire.HOLDER_HEADER: self._holder,
            wire.TOKEN_HEADER: str(token),
            "Content-Length": str(len(data)),
        }
        guarded_body = _GuardedBody(data, guard)
        try:
            status, data = await self._call(
                "POST", URL(f"{self._base_url}{path}"), guarded_body, headers
            )
        except StoreOutcomeUnknownError as error:
            if guarded_body.may_be_sent:
                raise
            raise StoreUnavailableError(
                f"Repeat the order; it was not sent: {error}"
            ) from error
        if status == 200:
            return
        if status in NO_EFFECT_STATUSES:
            raise StoreUnavailableError(f"Retry later; {path} returned {status}.")
        if status in REFUSED_STATUSES:
            raise HostOrderRefusedError(f"{status}: {data[:200]}")
        raise StoreOutcomeUnknownError(
            f"Read the host list before repeating; {path} returned {status}."
        )

    async def _call(self, method, url, data=None, headers=None):
        try:
            async with self._session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=call_timeout(CALL_TIMEOUT_S),
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("host_calls_total", outcome="no_answer")
            raise StoreOutcomeUnknownError(
                f"Read the host list before repeating; no answer: {error!r}"
            ) from error
        self._metrics.count("host_calls_total", outcome=str(status))
        return status, content


class _GuardedBody:
    """
    A request body that calls its guard just before its bytes are written.

    The HTTP client writes the headers together with the body, so no byte of the request
    has been sent while ``may_be_sent`` is False.
    """

    def __init__(self, data, guard):
        self.may_be_sent = False
        self._data = data
        self._guard = guard

    async def __aiter__(self):
        self._guard.check()
        self.may_be_sent = True
        yield self._data
        self._guard.record_sent()


def decode_hosts(page):
    """
    Yield the hosts of a page.

    A host with an odd entry is in state UNKNOWN, so that its wave does not count as
    completed without it. An entry without a name is logged and skipped.
    """
    for entry in page.machines:
        try:
            yield wire.decode(wire.MachineBody, entry).host()
        except MessageError as error:
            log.warning("unreadable_host", entry=bytes(entry)[:MAX_LOGGED], error=error)
            host = _decode_name(entry)
            if host is not None:
                yield host


def _decode_name(entry):
    try:
        name = wire.decode(wire.MachineName, entry).machine
    except MessageError:
        return None
    return Host(name, service="", state=HostState.UNKNOWN)
