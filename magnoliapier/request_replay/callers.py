"""The callers of a request replay: arrivals, key claims, cancellations and answers."""

from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.request_replay.records import RequestRecord
from magnoliapier.request_tables import RequestEntry, WorkClass


def make_request(arrival, arrived, deadline):
    """Return the RequestEntry of an Arrival; both instants are virtual seconds."""
    return RequestEntry(
        request_id=arrival.request_id,
        service=arrival.service,
        organisation=arrival.organisation,
        kind=arrival.kind,
        declared_class=WorkClass(arrival.work_class),
        idempotent=arrival.idempotent,
        arrived=arrived,
        deadline=deadline,
        body_bytes=arrival.body_bytes,
        declared_s=arrival.declared_s,
        key=arrival.key,
        payload=arrival,
    )


class CallersMixin:
    """The part of RequestReplay that admits requests and answers their callers."""

    def _arrive(self, arrival):
        record = RequestRecord(
            request_id=arrival.request_id,
            entry=arrival.entry,
            service=arrival.service,
            organisation=arrival.organisation,
            kind=arrival.kind,
            work_class=arrival.work_class,
            idempotent=arrival.idempotent,
            key=arrival.key,
            arrived=self.now,
            run_s=arrival.run_s,
            deadline_s=arrival.deadline_s,
        )
        self.report.records.append(record)
        self._records[arrival.request_id] = record
        self._open_requests += 1
        self._admit(arrival, record)
        if arrival.cancel_s is not None:
            self.schedule(self.now + arrival.cancel_s, self._cancel, arrival.request_id)

    def _choose_entry(self, name):
        """
        Return entry host ``name``, or the one that replaces it while it is down.

        As a load balancer would, prefer the same data centre; return None if every
        entry host is down.
        """
        entry = self._entries[name]
        if entry.up:
            return entry
        running_entries = [other for other in self._entries.values() if other.up]
        local = [
            other for other in running_entries if other.data_centre == entry.data_centre
        ]
        return (
            self._random.choice(local or running_entries) if running_entries else None
        )

    def _admit(self, arrival, record):
        entry = self._choose_entry(arrival.entry)
        if entry is None:
            self._end_request(arrival.request_id, "entry_lost", RunState.NOT_RUN)
            return
        if record.ended is not None:
            return
        if self._postpone_if_paused(entry, self._admit, arrival, record):
            return
        record.entry = entry.name
        entry.open_requests[arrival.request_id] = None
        if not self._claim(arrival, record):
            return
        deadline = record.arrived + arrival.deadline_s
        request = make_request(arrival, self.now, deadline)
        self._apply_decisions(entry, entry.decisions.arrive(request))

    def _claim(self, arrival, record):
        """Claim the key of a non-idempotent request; return whether it may proceed."""
        if arrival.idempotent or arrival.key is None:
            return True
        identity = (arrival.service, arrival.organisation, arrival.key)
        service = self.manifest.services.get(arrival.service)
        if self.faults["store_down"]:
            if service is not None and service.deduplicates:
                return True
            self._refuse(record, RefusalReason.CLAIMS_UNAVAILABLE, RunState.NOT_RUN)
            return False
        holder = self._claims.setdefault(identity, record)
        if holder is record:
            return True
        if holder.end == "ok":
            self._end_request(record.request_id, "repeat", RunState.RAN)
        elif holder.ended is None:
            self._refuse(record, RefusalReason.IN_PROGRESS, RunState.UNKNOWN)
        else:
            self._refuse(record, RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        return False

    def _cancel(self, request_id):
        record = self._records[request_id]
        if record.ended is not None:
            return
        entry = self._entries[record.entry]
        if self._postpone_if_paused(entry, self._cancel, request_id):
            return
        state = RunState.UNKNOWN if record.sends else RunState.NOT_RUN
        self._end_request(request_id, "cancelled", state)
        if entry.up:
            self._apply_decisions(entry, entry.decisions.cancel(request_id))

    def _refuse(self, record, reason, run_state, retry_after_s=None):
        record.retry_after_s = retry_after_s
        self._end_request(record.request_id, reason.value, run_state)

    def _end_request(self, request_id, end, run_state):
        record = self._records[request_id]
        if record.ended is not None:
            return
        self._open_requests -= 1
        record.ended = self.now
        record.end = end
        record.run_state = run_state
        if record.sends == 0:
            record.wait_s = self.now - record.arrived
        self._entries[record.entry].open_requests.pop(request_id, None)
        if run_state is RunState.NOT_RUN and end != "repeat":
            identity = (record.service, record.organisation, record.key)
            if self._claims.get(identity) is record:
                del self._claims[identity]
