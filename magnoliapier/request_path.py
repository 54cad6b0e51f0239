"""
Takes requests from callers to endpoints, as the dispatcher decides.

The dispatcher is called under one lock; sockets are written outside it. A request
passes through ``submit`` (in the I/O loop), the claim writer if it must run at most
once, and ``run`` (in a worker thread) for each send.
"""

import collections
import threading

from magnoliapier.claims import Claim, ClaimRefused, request_digest
from magnoliapier.connections import Send, failed_report
from magnoliapier.logs import get_logger
from magnoliapier.ownership import DROP_GRANTS_GAP_S
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.request_tables import (
    Dispatch,
    Refusal,
    Retry,
    SendOutcome,
)
from magnoliapier.retries import REFUSAL_REASONS

log = get_logger(__name__)


class RequestPath:
    """
    Connects the callers, dispatcher, claims and endpoints of one entry process.

    ``dispatcher`` implements RequestDecisions. ``fleet_view`` is a FleetView. It
    decides which hosts requests may be sent to, and is told when a host appears to be
    leaving.
    """

    def __init__(
        self, dispatcher, fleet_view, connections, claims, budget, clock, metrics, trace
    ):
        self._dispatcher = dispatcher
        self._fleet_view = fleet_view
        self._connections = connections
        self._claims = claims
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        self._trace = trace
        self._lock = threading.Lock()
        self._in_flight_per_host = collections.Counter()
        self._sends_in_flight = set()
        self._open_count = 0
        self._workers = None
        self._draining = False
        self._last_tick_time = clock.monotonic()

    @property
    def manifest(self):
        """The manifest in force, or None."""
        return self._fleet_view.manifest

    @property
    def open_requests(self):
        """The number of submitted requests that have not ended."""
        return self._open_count

    def attach_workers(self, workers):
        """Set the SlotTaskDispatcher that runs dispatched requests."""
        self._workers = workers

    def drain(self):
        """Refuse all requests submitted from now on."""
        self._draining = True

    def submit(self, exchange):
        """Pass a checked request to the dispatcher, after its claim if it needs one."""
        with self._lock:
            self._open_count += 1
        entry = exchange.entry
        if self._draining:
            self._refuse(exchange, RefusalReason.DRAINING, RunState.NOT_RUN)
            return
        if not self._needs_claim(entry):
            self._admit(exchange)
            return
        digest = request_digest(exchange.method, exchange.target, exchange.body)
        valid_s = entry.deadline - self._clock.monotonic()
        self._claims.claim(
            entry,
            digest,
            valid_s,
            lambda outcome: self._handle_claim_outcome(exchange, outcome),
        )

    def handle_caller_gone(self, exchange):
        """
        Cancel the request of a caller that disconnected.

        A non-idempotent request in flight runs to its end, because its caller may
        repeat it and must then get the response to the first request.
        """
        exchange.caller_gone = True
        if exchange.entry is None:
            return
        self._call_dispatcher(lambda: self._cancel(exchange))
        send = exchange.send
        if send is not None and exchange.entry.idempotent:
            send.abort(SendOutcome.CALLER_GONE)

    def run(self, dispatch):
        """Send a dispatched request; runs in a worker thread."""
        exchange = dispatch.request.payload
        started = self._clock.monotonic()
        try:
            report = self._send(exchange, dispatch)
        except Exception as error:
            # An internal error must not leak the slot or leave the caller without a
            # response.
            log.error("send_failed", error=repr(error))
            self._metrics.count("worker_errors_total")
            report = failed_report(SendOutcome.RESET, RunState.UNKNOWN, True)
        if report.result.run_state is RunState.RAN:
            elapsed_s = self._clock.monotonic() - started
            self._trace.record_completion(dispatch.request, elapsed_s)
        if report.draining or report.connection_refused:
            self._fleet_view.record_leaving_host(
                dispatch.endpoint.host, report.draining
            )
        self._complete_send(exchange, dispatch, report)

    def tick(self):
        """
        Handle timeouts and update the gauges.

        Called every 0.1 s.
        """
        self._last_tick_time = now = self._clock.monotonic()
        self._call_dispatcher(self._dispatcher.tick)
        with self._lock:
            expired = [send for send in self._sends_in_flight if now >= send.deadline]
        for send in expired:
            send.abort(SendOutcome.TIMEOUT)
        self._metrics.gauge("requests_without_thread", self._workers.waiting_count())
        self._metrics.gauge("requests_open", self._open_count)
        self._metrics.gauge("buffered_bytes", self._budget.used_bytes)

    def set_fleet(self, manifest, endpoints):
        """Replace the manifest and the list of endpoints."""
        self._trace.record_fleet_change(manifest, endpoints)
        self._connections.retain({endpoint.address for endpoint in endpoints})
        self._call_dispatcher(lambda: self._dispatcher.set_fleet(manifest, endpoints))

    def set_peers(self, demand):
        """Replace the demand reported by peers."""
        self._call_dispatcher(lambda: self._dispatcher.set_peers(demand))

    def mark_leaving(self, host):
        """Stop sending new requests to a host."""
        self._call_dispatcher(lambda: self._dispatcher.mark_leaving(host))

    def current_load(self):
        """Return the demand per service and the busy hosts, read under one lock."""
        with self._lock:
            busy_hosts = sorted(
                host for host, count in self._in_flight_per_host.items() if count
            )
            return self._dispatcher.demand(), busy_hosts

    def _needs_claim(self, entry):
        if entry.idempotent or entry.key is None:
            return False
        service = self._fleet_view.manifest.services.get(entry.service)
        return service is None or not service.deduplicates

    def _handle_claim_outcome(self, exchange, outcome):
        if isinstance(outcome, ClaimRefused):
            self._refuse(exchange, outcome.reason, outcome.run_state)
        elif isinstance(outcome, Claim):
            exchange.claim = outcome
            self._admit(exchange)
        else:
            self._metrics.count("claim_answers_repeated_total")
            self._answer(exchange, outcome)

    def _admit(self, exchange):
        self._call_dispatcher(lambda: self._pass_to_dispatcher(exchange))

    def _pass_to_dispatcher(self, exchange):
        if exchange.caller_gone:
            return [caller_gone_refusal(exchange)]
        exchange.queued = True
        self._trace.record_arrival(exchange.entry)
        return self._dispatcher.arrive(exchange.entry)

    def _cancel(self, exchange):
        """
        Tell the dispatcher that the caller disconnected; return the decisions.

        They include the refusal of the request if it is queued, so that it ends. Called
        with the lock held.
        """
        if not exchange.queued:
            return []
        decisions = list(self._dispatcher.cancel(exchange.entry.request_id))
        if not exchange.dispatched and not has_decision_for(decisions, exchange.entry):
            decisions.append(caller_gone_refusal(exchange))
        return decisions

    def _call_dispatcher(self, call):
        """Call the dispatcher under the lock and carry out the decisions it returns."""
        with self._lock:
            decisions = call()
            self._record_dispatches(decisions)
        self._carry_out(decisions)

    def _record_dispatches(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                decision.request.payload.dispatched = True
                self._in_flight_per_host[decision.endpoint.host] += 1

    def _carry_out(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._workers.put(decision)
            elif isinstance(decision, Refusal):
                # The dispatcher has counted this refusal.
                self._end_refused(
                    decision.request.payload,
                    decision.reason,
                    decision.run_state,
                    decision.retry_after_s,
                )

    def _send(self, exchange, dispatch):
        """Send a request once, unless it may no longer be sent; return a SendReport."""
        entry = dispatch.request
        now = self._clock.monotonic()
        gap_s = now - self._last_tick_time
        if gap_s > DROP_GRANTS_GAP_S:
            self._fleet_view.refresh(gap_s)
        if exchange.caller_gone or exchange.done:
            return failed_report(SendOutcome.CALLER_GONE, RunState.NOT_RUN, True)
        if not self._fleet_view.allows(dispatch.endpoint.host):
            return failed_report(SendOutcome.DRAINING, RunState.NOT_RUN, True)
        if exchange.claim is not None and not exchange.claim.sendable(self._clock):
            return failed_report(SendOutcome.TIMEOUT, RunState.NOT_RUN, True)
        send = Send(entry.deadline)
        exchange.send = send
        if exchange.caller_gone and entry.idempotent:
            send.abort(SendOutcome.CALLER_GONE)
        with self._lock:
            self._sends_in_flight.add(send)
        try:
            return self._connections.send(
                exchange.outgoing_request(now), entry, dispatch.endpoint.address, send
            )
        finally:
            exchange.send = None
            with self._lock:
                self._sends_in_flight.discard(send)

    def _complete_send(self, exchange, dispatch, report):
        entry = dispatch.request
        result = report.result
        if result.run_state is not RunState.NOT_RUN:
            exchange.may_have_run = True
        delivered = result.outcome is SendOutcome.OK
        if delivered:
            self._deliver(exchange, report)
        with self._lock:
            exchange.dispatched = False
            self._in_flight_per_host[dispatch.endpoint.host] -= 1
            decisions = list(self._dispatcher.complete(entry, result))
            self._record_dispatches(decisions)
            if exchange.caller_gone and is_sent_again(decisions, entry):
                decisions.extend(self._cancel(exchange))
        if not delivered:
            # A complete 5xx response that is not retried is more informative for the
            # caller than a refusal.
            complete_answer = (
                report.answer is not None and result.run_state is RunState.RAN
            )
            if (
                complete_answer
                and not is_sent_again(decisions, entry)
                and not exchange.caller_gone
            ):
                self._deliver(exchange, report)
            elif has_decision_for(decisions, entry):
                self._discard_answer(report)
            else:
                self._deliver(exchange, report)
        self._carry_out(decisions)

    def _deliver(self, exchange, report):
        """End a request with the response or failure of its last send."""
        result = report.result
        ran = result.run_state is RunState.RAN
        if report.answer is not None and ran:
            claim = exchange.claim
            if self._answer(exchange, report.answer) and claim is not None:
                self._claims.record(claim, report.answer)
            return
        self._discard_answer(report)
        reason = REFUSAL_REASONS.get(result.outcome, RefusalReason.ANSWER_INCOMPLETE)
        if report.no_memory:
            reason = RefusalReason.MEMORY_LIMIT
        state = RunState.UNKNOWN if ran else result.run_state
        self._refuse(exchange, reason, state, ran=ran)

    def _discard_answer(self, report):
        if report.answer is not None:
            self._budget.release(report.answer.reserved_bytes)

    def _answer(self, exchange, answer):
        if not self._mark_ended(exchange):
            self._budget.release(answer.reserved_bytes)
            return False
        self._metrics.count("answers_total", status=answer.status // 100)
        exchange.answer(
            answer.status,
            answer.phrase,
            answer.headers,
            answer.body,
            answer.reserved_bytes,
        )
        return True

    def _refuse(self, exchange, reason, run_state, ran=False):
        self._metrics.count("refusals_total", reason=reason.value)
        self._end_refused(exchange, reason, run_state, ran=ran)

    def _end_refused(self, exchange, reason, run_state, retry_after_s=None, ran=False):
        if not self._mark_ended(exchange):
            return
        claim = exchange.claim
        if claim is not None and exchange.may_have_run:
            self._claims.record(claim, ran=ran)
        elif claim is not None:
            self._claims.release(claim)
        exchange.refuse(reason, run_state, retry_after_s)

    def _mark_ended(self, exchange):
        """Mark a request as ended; return False if it had already ended."""
        with self._lock:
            if exchange.done:
                return False
            exchange.done = True
            self._open_count -= 1
            return True


def has_decision_for(decisions, entry):
    """Return whether any of ``decisions`` is about ``entry``."""
    return any(decision.request is entry for decision in decisions)


def is_sent_again(decisions, entry):
    """Return whether ``entry`` is queued or dispatched again."""
    return any(
        d.request is entry for d in decisions if isinstance(d, (Dispatch, Retry))
    )


def caller_gone_refusal(exchange):
    """Return the Refusal of a request whose caller disconnected before a send."""
    return Refusal(exchange.entry, RefusalReason.CALLER_GONE, RunState.NOT_RUN)
