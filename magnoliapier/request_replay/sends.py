"""
The sends of a request replay, from an entry host to an endpoint and back.

Endpoints run a request to its end even when the caller has left or the deadline has
passed, as most HTTP servers do, so a request that was given up keeps its slot on the
endpoint.
"""

from magnoliapier.reasons import RunState
from magnoliapier.request_replay.hosts import Send
from magnoliapier.request_tables import Dispatch, Refusal, SendOutcome, SendResult

LOCAL_DELAY_S = 0.0002
REMOTE_DELAY_S = 0.001
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 5.0
DRAIN_LIMIT_S = 3.0
MAX_IDLE_CONNECTIONS = 64


class SendsMixin:
    """The part of RequestReplay that carries out the decisions of entry hosts."""

    def _carry_out(self, entry, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._send(entry, decision)
            elif isinstance(decision, Refusal):
                self._refuse(
                    self._records[decision.request.request_id],
                    decision.reason,
                    decision.run_state,
                    decision.retry_after_s,
                )

    def _send(self, entry, dispatch):
        request = dispatch.request
        host = dispatch.endpoint.host
        endpoint = self._endpoints[(dispatch.endpoint.service, host)]
        record = self._records[request.request_id]
        record.sends += 1
        record.wait_s = self.now - record.arrived
        record.endpoints.append(endpoint.name)
        drained = self._leaving.get(host)
        if drained is not None and self.now > drained + DRAIN_LIMIT_S:
            self.report.late_sends.append((self.now, request.request_id, host))
        idle = entry.idle[endpoint.name]
        # Non-idempotent requests always use a new connection.
        reuse = bool(idle) and request.idempotent
        opened = idle.pop() if reuse else self.now
        send = Send(entry, entry.incarnation, request, endpoint, not reuse, opened)
        endpoint.sends.add(send)
        self.schedule(self.now + self._delay(send), self._reach, send)
        self.schedule(
            max(request.deadline, self.now),
            self._finish,
            send,
            SendOutcome.TIMEOUT,
            RunState.UNKNOWN,
        )

    def _delay(self, send):
        local = send.entry.data_centre == send.endpoint.data_centre
        return LOCAL_DELAY_S if local else REMOTE_DELAY_S

    def _later(self, send, seconds, outcome, run_state):
        instant = self.now + seconds + self._delay(send)
        self.schedule(instant, self._finish, send, outcome, run_state)

    def _reach(self, send):
        """Let a request arrive at its endpoint."""
        endpoint, request = send.endpoint, send.request
        if send.ended:
            return
        if self.is_cut(send.entry.data_centre, endpoint.data_centre):
            timeout = CONNECT_TIMEOUT_S if send.fresh else SILENCE_TIMEOUT_S
            outcome = SendOutcome.CONNECT_FAILED if send.fresh else SendOutcome.SILENT
            state = RunState.NOT_RUN if send.fresh else RunState.UNKNOWN
            self._later(send, timeout, outcome, state)
        elif self.is_down(endpoint):
            self._later(send, 0.0, SendOutcome.CONNECT_FAILED, RunState.NOT_RUN)
        elif self._is_silent(send):
            send.silent = True
            self._later(send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN)
        elif endpoint.running(self.now) >= endpoint.slots:
            self._later(send, 0.0, SendOutcome.BUSY, RunState.NOT_RUN)
        else:
            self._run(send, request)

    def _is_silent(self, send):
        if send.opened <= send.endpoint.silent_before:
            return True
        shares = self.fault_values("endpoint_silent", send.endpoint)
        return any(self._random.random() < share for share in shares)

    def _run(self, send, request):
        endpoint = send.endpoint
        send.started = True
        key = (request.service, request.organisation, request.key)
        repeated = request.key is not None and key in self._seen_keys
        deduplicates = self.manifest.services[request.service].deduplicates
        if not (deduplicates and repeated):
            self._records[request.request_id].runs += 1
        self._seen_keys.add(key)
        failing = self.fault_values("endpoint_failing", endpoint)
        if any(self._random.random() < share for share in failing):
            self._later(send, 0.0, SendOutcome.FAILED, RunState.RAN)
            return
        seconds = request.payload.run_s
        seconds += sum(self.fault_values("endpoint_slow", endpoint))
        endpoint.occupy(self.now + seconds)
        self._later(send, seconds, SendOutcome.OK, RunState.RAN)

    def _finish(self, send, outcome, run_state):
        """Report the end of a send to its entry host, once."""
        if send.ended:
            return
        if send.silent and outcome not in (SendOutcome.SILENT, SendOutcome.TIMEOUT):
            return
        entry, request = send.entry, send.request
        if entry.incarnation != send.incarnation:
            self._close_send(send)
            return
        if self._defer(entry, self._finish, send, outcome, run_state):
            return
        self._close_send(send)
        self._keep_connection(send, outcome)
        if outcome is SendOutcome.OK:
            self._end(request.request_id, "ok", RunState.RAN)
        result = SendResult(outcome, run_state, send.fresh)
        self._carry_out(entry, entry.decisions.complete(request, result))

    def _close_send(self, send):
        send.ended = True
        send.endpoint.sends.discard(send)

    def _keep_connection(self, send, outcome):
        """Keep the connection of an ended send for reuse if it still answers."""
        idle = send.entry.idle[send.endpoint.name]
        if outcome in (SendOutcome.OK, SendOutcome.BUSY, SendOutcome.FAILED):
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(send.opened)
        elif outcome is SendOutcome.SILENT:
            # The whole generation opened before the silence is retired.
            idle.clear()

    def silence_sends(self, endpoint):
        """Silence the connections of an endpoint that are open now."""
        endpoint.silent_before = self.now
        for send in endpoint.ordered_sends():
            send.silent = True
            self._later(send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN)

    def lose_sends(self, endpoint):
        """Reset the open connections of an endpoint and end what runs on it."""
        for send in endpoint.ordered_sends():
            self.schedule(
                self.now, self._finish, send, SendOutcome.RESET, RunState.UNKNOWN
            )
        endpoint.clear()
        for entry in self._entries.values():
            entry.idle.pop(endpoint.name, None)
