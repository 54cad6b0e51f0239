"""
The sends of a request replay, from an entry host to an endpoint and back.

Like most HTTP servers, an endpoint runs a request to completion even if the caller
has disconnected or the deadline has passed. An abandoned request therefore keeps its
slot on the endpoint.
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

    def _apply_decisions(self, entry, decisions):
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
        drain_started = self._drain_started.get(host)
        if drain_started is not None and self.now > drain_started + DRAIN_LIMIT_S:
            self.report.late_sends.append((self.now, request.request_id, host))
        idle_connections = entry.idle_connections[endpoint.name]
        # Non-idempotent requests always use a new connection.
        reuse = bool(idle_connections) and request.idempotent
        connection_opened = idle_connections.pop() if reuse else self.now
        send = Send(
            entry, entry.incarnation, request, endpoint, not reuse, connection_opened
        )
        endpoint.sends.add(send)
        self.schedule(
            self.now + self._network_delay_s(send), self._reach_endpoint, send
        )
        self.schedule(
            max(request.deadline, self.now),
            self._finish_send,
            send,
            SendOutcome.TIMEOUT,
            RunState.UNKNOWN,
        )

    def _network_delay_s(self, send):
        local = send.entry.data_centre == send.endpoint.data_centre
        return LOCAL_DELAY_S if local else REMOTE_DELAY_S

    def _schedule_finish(self, send, seconds, outcome, run_state):
        instant = self.now + seconds + self._network_delay_s(send)
        self.schedule(instant, self._finish_send, send, outcome, run_state)

    def _reach_endpoint(self, send):
        """Deliver a request to its endpoint and schedule the end of the send."""
        endpoint, request = send.endpoint, send.request
        if send.ended:
            return
        if self.is_cut(send.entry.data_centre, endpoint.data_centre):
            timeout = CONNECT_TIMEOUT_S if send.new_connection else SILENCE_TIMEOUT_S
            outcome = (
                SendOutcome.CONNECT_FAILED
                if send.new_connection
                else SendOutcome.SILENT
            )
            state = RunState.NOT_RUN if send.new_connection else RunState.UNKNOWN
            self._schedule_finish(send, timeout, outcome, state)
        elif self.is_down(endpoint):
            self._schedule_finish(
                send, 0.0, SendOutcome.CONNECT_FAILED, RunState.NOT_RUN
            )
        elif self._is_silent(send):
            send.silent = True
            self._schedule_finish(
                send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN
            )
        elif endpoint.slots_in_use(self.now) >= endpoint.slots:
            self._schedule_finish(send, 0.0, SendOutcome.BUSY, RunState.NOT_RUN)
        else:
            self._run_request(send, request)

    def _is_silent(self, send):
        if send.connection_opened <= send.endpoint.silent_before:
            return True
        shares = self.fault_values("endpoint_silent", send.endpoint)
        return any(self._random.random() < share for share in shares)

    def _run_request(self, send, request):
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
            self._schedule_finish(send, 0.0, SendOutcome.FAILED, RunState.RAN)
            return
        seconds = request.payload.run_s
        seconds += sum(self.fault_values("endpoint_slow", endpoint))
        endpoint.occupy_slot(self.now + seconds)
        self._schedule_finish(send, seconds, SendOutcome.OK, RunState.RAN)

    def _finish_send(self, send, outcome, run_state):
        """Report the first end of a send to its entry host; ignore later ones."""
        if send.ended:
            return
        if send.silent and outcome not in (SendOutcome.SILENT, SendOutcome.TIMEOUT):
            return
        entry, request = send.entry, send.request
        if entry.incarnation != send.incarnation:
            self._close_send(send)
            return
        if self._postpone_if_paused(entry, self._finish_send, send, outcome, run_state):
            return
        self._close_send(send)
        self._return_connection(send, outcome)
        if outcome is SendOutcome.OK:
            self._end_request(request.request_id, "ok", RunState.RAN)
        result = SendResult(outcome, run_state, send.new_connection)
        self._apply_decisions(entry, entry.decisions.complete(request, result))

    def _close_send(self, send):
        send.ended = True
        send.endpoint.sends.discard(send)

    def _return_connection(self, send, outcome):
        """Return the connection of an ended send to the idle list if it still works."""
        idle_connections = send.entry.idle_connections[send.endpoint.name]
        if outcome in (SendOutcome.OK, SendOutcome.BUSY, SendOutcome.FAILED):
            if len(idle_connections) < MAX_IDLE_CONNECTIONS:
                idle_connections.append(send.connection_opened)
        elif outcome is SendOutcome.SILENT:
            # Idle connections opened before the silence would be silent too, so all are
            # dropped.
            idle_connections.clear()

    def silence_sends(self, endpoint):
        """Let the open connections of an endpoint stop responding."""
        endpoint.silent_before = self.now
        for send in endpoint.ordered_sends():
            send.silent = True
            self._schedule_finish(
                send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN
            )

    def reset_sends(self, endpoint):
        """Reset the open connections of an endpoint and free its slots."""
        for send in endpoint.ordered_sends():
            self.schedule(
                self.now, self._finish_send, send, SendOutcome.RESET, RunState.UNKNOWN
            )
        endpoint.clear_runs()
        for entry in self._entries.values():
            entry.idle_connections.pop(endpoint.name, None)
