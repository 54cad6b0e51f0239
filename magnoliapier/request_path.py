"""
The request path: carries out the decisions of the dispatcher.

The decisions are called under one lock; sockets are written outside it. A request
passes ``submit`` (I/O loop), the claim writer if it must run at most once, and
``run`` (worker thread) for each send.
"""

import collections
import threading

from magnoliapier.claims import Claim, ClaimRefused, request_digest
from magnoliapier.connections import Send, failed
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
    Connects callers, decisions, claims and endpoints of one entry process.

    ``decisions`` implements RequestDecisions. ``fleet`` is a FleetView; it tells
    which hosts may be sent to and takes signs that a host leaves.
    """

    def __init__(
        self, decisions, fleet, connections, claims, budget, clock, metrics, trace
    ):
        self._decisions = decisions
        self._fleet = fleet
        self._connections = connections
        self._claims = claims
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        self._trace = trace
        self._lock = threading.Lock()
        self._busy = collections.Counter()
        self._sends = set()
        self._open = 0
        self._workers = None
        self._draining = False
        self._last_tick = clock.monotonic()

    @property
    def manifest(self):
        """The manifest in force, or None."""
        return self._fleet.manifest

    @property
    def open_requests(self):
        """The number of submitted requests that have not ended."""
        return self._open

    def attach_workers(self, workers):
        """Set the SlotTaskDispatcher that runs dispatched requests."""
        self._workers = workers

    def drain(self):
        """Refuse requests that come from now on."""
        self._draining = True

    def submit(self, exchange):
        """Admit a checked request, after its claim if it needs one."""
        with self._lock:
            self._open += 1
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
            entry, digest, valid_s, lambda outcome: self._claimed(exchange, outcome)
        )

    def handle_caller_gone(self, exchange):
        """
        Free the place of a request whose caller left.

        A non-idempotent request in flight runs to its end, because its caller may
        repeat it and is then owed the first answer.
        """
        exchange.caller_gone = True
        if exchange.entry is None:
            return
        self._decide(lambda: self._cancel(exchange))
        send = exchange.send
        if send is not None and exchange.entry.idempotent:
            send.abort(SendOutcome.CALLER_GONE)

    def run(self, dispatch):
        """Send a dispatched request; runs in a worker thread."""
        exchange = dispatch.request.payload
        started = self._clock.monotonic()
        try:
            report = self._attempt(exchange, dispatch)
        except Exception as error:
            # Neither the slot nor the caller may be lost to a fault of ours.
            log.error("send_failed", error=repr(error))
            self._metrics.count("worker_errors_total")
            report = failed(SendOutcome.RESET, RunState.UNKNOWN, True)
        if report.result.run_state is RunState.RAN:
            elapsed = self._clock.monotonic() - started
            self._trace.completed(dispatch.request, elapsed)
        if report.draining or report.refused:
            self._fleet.record_leaving_host(dispatch.endpoint.host, report.draining)
        self._finish(exchange, dispatch, report)

    def tick(self):
        """Do what is due by time; called every 0.1 s."""
        self._last_tick = now = self._clock.monotonic()
        self._decide(self._decisions.tick)
        with self._lock:
            late = [send for send in self._sends if now >= send.deadline]
        for send in late:
            send.abort(SendOutcome.TIMEOUT)
        self._metrics.gauge("requests_without_thread", self._workers.waiting_count())
        self._metrics.gauge("requests_open", self._open)
        self._metrics.gauge("buffered_bytes", self._budget.used_bytes)

    def set_fleet(self, manifest, endpoints):
        """Put a new list of endpoints in force."""
        self._trace.fleet_changed(manifest, endpoints)
        self._connections.retain({endpoint.address for endpoint in endpoints})
        self._decide(lambda: self._decisions.set_fleet(manifest, endpoints))

    def set_peers(self, demand):
        """Put new reports of peers' demand in force."""
        self._decide(lambda: self._decisions.set_peers(demand))

    def mark_leaving(self, host):
        """Stop new work for a host."""
        self._decide(lambda: self._decisions.mark_leaving(host))

    def current_load(self):
        """Return the demand per service and the busy hosts, read together."""
        with self._lock:
            busy = sorted(host for host, count in self._busy.items() if count)
            return self._decisions.demand(), busy

    def _needs_claim(self, entry):
        if entry.idempotent or entry.key is None:
            return False
        service = self._fleet.manifest.services.get(entry.service)
        return service is None or not service.deduplicates

    def _claimed(self, exchange, outcome):
        if isinstance(outcome, ClaimRefused):
            self._refuse(exchange, outcome.reason, outcome.run_state)
        elif isinstance(outcome, Claim):
            exchange.claim = outcome
            self._admit(exchange)
        else:
            self._metrics.count("claim_answers_repeated_total")
            self._answer(exchange, outcome)

    def _admit(self, exchange):
        self._decide(lambda: self._arrive(exchange))

    def _arrive(self, exchange):
        if exchange.caller_gone:
            return [gone_refusal(exchange)]
        exchange.queued = True
        self._trace.arrived(exchange.entry)
        return self._decisions.arrive(exchange.entry)

    def _cancel(self, exchange):
        """Tell the decisions that a caller left; ends its request if it waits."""
        if not exchange.queued:
            return []
        decisions = list(self._decisions.cancel(exchange.entry.request_id))
        if not exchange.dispatched and not concerns(decisions, exchange.entry):
            decisions.append(gone_refusal(exchange))
        return decisions

    def _decide(self, decide):
        """Call the decisions under the lock and carry out what they return."""
        with self._lock:
            decisions = decide()
            self._mark(decisions)
        self._carry_out(decisions)

    def _mark(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                decision.request.payload.dispatched = True
                self._busy[decision.endpoint.host] += 1

    def _carry_out(self, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._workers.put(decision)
            elif isinstance(decision, Refusal):
                # Counted by the decisions.
                self._end_refused(
                    decision.request.payload,
                    decision.reason,
                    decision.run_state,
                    decision.retry_after_s,
                )

    def _attempt(self, exchange, dispatch):
        """Send once, unless something forbids it by now."""
        entry = dispatch.request
        now = self._clock.monotonic()
        gap = now - self._last_tick
        if gap > DROP_GRANTS_GAP_S:
            self._fleet.refresh(gap)
        if exchange.caller_gone or exchange.done:
            return failed(SendOutcome.CALLER_GONE, RunState.NOT_RUN, True)
        if not self._fleet.allows(dispatch.endpoint.host):
            return failed(SendOutcome.DRAINING, RunState.NOT_RUN, True)
        if exchange.claim is not None and not exchange.claim.sendable(self._clock):
            return failed(SendOutcome.TIMEOUT, RunState.NOT_RUN, True)
        send = Send(entry.deadline)
        exchange.send = send
        if exchange.caller_gone and entry.idempotent:
            send.abort(SendOutcome.CALLER_GONE)
        with self._lock:
            self._sends.add(send)
        try:
            return self._connections.send(
                exchange.outgoing_request(now), entry, dispatch.endpoint.address, send
            )
        finally:
            exchange.send = None
            with self._lock:
                self._sends.discard(send)

    def _finish(self, exchange, dispatch, report):
        entry = dispatch.request
        result = report.result
        if result.run_state is not RunState.NOT_RUN:
            exchange.may_have_run = True
        delivered = result.outcome is SendOutcome.OK
        if delivered:
            self._deliver(exchange, report)
        with self._lock:
            exchange.dispatched = False
            self._busy[dispatch.endpoint.host] -= 1
            decisions = list(self._decisions.complete(entry, result))
            self._mark(decisions)
            if exchange.caller_gone and is_sent_again(decisions, entry):
                decisions.extend(self._cancel(exchange))
        if not delivered:
            # A whole 5xx answer that is not retried tells the caller more than a
            # refusal does.
            whole = report.answer is not None and result.run_state is RunState.RAN
            if (
                whole
                and not is_sent_again(decisions, entry)
                and not exchange.caller_gone
            ):
                self._deliver(exchange, report)
            elif concerns(decisions, entry):
                self._drop_answer(report)
            else:
                self._deliver(exchange, report)
        self._carry_out(decisions)

    def _deliver(self, exchange, report):
        """End a request with what its last send brought."""
        result = report.result
        ran = result.run_state is RunState.RAN
        if report.answer is not None and ran:
            claim = exchange.claim
            if self._answer(exchange, report.answer) and claim is not None:
                self._claims.record(claim, report.answer)
            return
        self._drop_answer(report)
        reason = REFUSAL_REASONS.get(result.outcome, RefusalReason.ANSWER_INCOMPLETE)
        if report.no_memory:
            reason = RefusalReason.MEMORY_LIMIT
        state = RunState.UNKNOWN if ran else result.run_state
        self._refuse(exchange, reason, state, ran=ran)

    def _drop_answer(self, report):
        if report.answer is not None:
            self._budget.release(report.answer.held)

    def _answer(self, exchange, answer):
        if not self._end(exchange):
            self._budget.release(answer.held)
            return False
        self._metrics.count("answers_total", status=answer.status // 100)
        exchange.answer(
            answer.status, answer.phrase, answer.headers, answer.body, answer.held
        )
        return True

    def _refuse(self, exchange, reason, run_state, ran=False):
        self._metrics.count("refusals_total", reason=reason.value)
        self._end_refused(exchange, reason, run_state, ran=ran)

    def _end_refused(self, exchange, reason, run_state, retry_after_s=None, ran=False):
        if not self._end(exchange):
            return
        claim = exchange.claim
        if claim is not None and exchange.may_have_run:
            self._claims.record(claim, ran=ran)
        elif claim is not None:
            self._claims.release(claim)
        exchange.refuse(reason, run_state, retry_after_s)

    def _end(self, exchange):
        """Mark a request as ended; return False if it was already."""
        with self._lock:
            if exchange.done:
                return False
            exchange.done = True
            self._open -= 1
            return True


def concerns(decisions, entry):
    """Return whether a decision tells what becomes of ``entry``."""
    return any(decision.request is entry for decision in decisions)


def is_sent_again(decisions, entry):
    """Return whether ``entry`` is queued or dispatched once more."""
    return any(
        d.request is entry for d in decisions if isinstance(d, (Dispatch, Retry))
    )


def gone_refusal(exchange):
    """Return the refusal of a request whose caller left before a send."""
    return Refusal(exchange.entry, RefusalReason.CALLER_GONE, RunState.NOT_RUN)
