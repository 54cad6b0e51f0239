"""The HTTP client that sends orders to endpoints."""

import aiohttp
from yarl import URL

from magnoliapier.exceptions import (
    EndpointNotReachedError,
    EndpointUnreachableError,
    MessageError,
    OrderRefusedError,
)
from magnoliapier.platform import wire
from magnoliapier.platform.http import call_timeout
from magnoliapier.service.orders import OrderRefusal

ORDER_TIMEOUT_S = 0.7
INSPECT_GRACE_S = 0.6  # added to the requested wait

REFUSAL_OF_REASON = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.SUPERSEDED,
    "late": OrderRefusal.EXPIRED,
    "room": OrderRefusal.NO_ROOM,
    "ticket": OrderRefusal.TICKET,
}
REFUSAL_OF_STATUS = {
    400: OrderRefusal.INVALID,
    421: OrderRefusal.WRONG_INSTANCE,
    429: OrderRefusal.UNHEALTHY,
    503: OrderRefusal.UNHEALTHY,
}
# After any other status, an order may have been carried out.
REFUSAL_STATUSES = (*range(400, 500), 503)


class HttpEndpointClient:
    """Sends orders over HTTP. Implements ``service.orders.EndpointClient``."""

    def __init__(self, session, metrics):
        self._session = session
        self._metrics = metrics

    async def start(self, endpoint, order):
        """Start a run; return the endpoint's clock in ms."""
        body = wire.StartBody(
            order.task,
            order.run,
            order.spec,
            order.deadline_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        answer = await self._send_order(endpoint, "/run-start", body, wire.ClockBody)
        return answer.clock_ms

    async def stop(self, endpoint, task, run, token):
        """Stop a run; return the endpoint's clock in ms."""
        body = wire.StopBody(task, run, token)
        answer = await self._send_order(endpoint, "/run-stop", body, wire.ClockBody)
        return answer.clock_ms

    async def set_pace(self, endpoint, task, run, percent, token):
        """
        Throttle a run to ``percent`` of its full speed.

        Returns the endpoint's clock in ms.
        """
        body = wire.PaceBody(task, run, percent, token)
        answer = await self._send_order(endpoint, "/pace", body, wire.ClockBody)
        return answer.clock_ms

    async def inspect(self, endpoint, token, deadline_ms, acknowledged, wait_ms):
        """Extend the lease, acknowledge ended runs and return an Inspection."""
        data = wire.encode(wire.HoldBody(token, acknowledged, wait_ms, deadline_ms))
        timeout_s = wait_ms / 1000 + INSPECT_GRACE_S
        answer = await self._call(endpoint, "/hold", data, wire.HoldAnswer, timeout_s)
        return answer.inspection()

    async def _send_order(self, endpoint, path, body, answer_type):
        data = wire.encode(body)
        return await self._call(endpoint, path, data, answer_type, ORDER_TIMEOUT_S)

    async def _call(self, endpoint, path, data, answer_type, timeout_s):
        url = URL(f"http://{endpoint.address}{path}")
        headers = {wire.ENDPOINT_HEADER: endpoint.endpoint_id}
        try:
            async with self._session.post(
                url,
                data=data,
                headers=headers,
                timeout=call_timeout(timeout_s),
                allow_redirects=False,
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._metrics.count("endpoint_calls_total", path=path, outcome="not_sent")
            raise EndpointNotReachedError(
                f"Repeat the call; no connection to {endpoint.address}: {error!r}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("endpoint_calls_total", path=path, outcome="no_answer")
            raise EndpointUnreachableError(
                f"Stop the run before moving it; {endpoint.address} did not answer: "
                f"{error!r}"
            ) from error
        self._metrics.count("endpoint_calls_total", path=path, outcome=str(status))
        if status == 200:
            return self._decode(answer_type, content, endpoint)
        if status not in REFUSAL_STATUSES:
            raise EndpointUnreachableError(
                f"Stop the run before moving it; {endpoint.address} answered {status}."
            )
        raise OrderRefusedError(self._refusal_reason(status, content), content[:120])

    def _decode(self, answer_type, content, endpoint):
        try:
            return wire.decode(answer_type, content)
        except MessageError as error:
            raise EndpointUnreachableError(
                f"Treat {endpoint.address} as unreachable; unreadable answer: {error}"
            ) from error

    def _refusal_reason(self, status, content):
        if status == 409:
            try:
                reason = wire.decode(wire.ReasonBody, content).reason
            except MessageError:
                return OrderRefusal.INVALID
            return REFUSAL_OF_REASON.get(reason, OrderRefusal.INVALID)
        return REFUSAL_OF_STATUS.get(status, OrderRefusal.INVALID)
