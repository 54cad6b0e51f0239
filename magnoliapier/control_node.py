"""
The decisions of a control process, without I/O.

A :class:`Node` combines the log follower, membership, grants and the sessions of
attached entry processes. One actor owns it. The sockets are in control_links and the
access to the store in control_store and control_planning.
"""

import json
from dataclasses import dataclass, field

from magnoliapier.fleet_log import LogFollower
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.logs import get_logger
from magnoliapier.manifest import canonical_json
from magnoliapier.membership import (
    LOCAL_DEMAND_SENT,
    REMOTE_DEMAND_SENT,
    DemandSelector,
    LeavingHosts,
    Membership,
)
from magnoliapier.messages import (
    GrantedCentre,
    Heartbeat,
    Peer,
    PeerView,
    PullReply,
    StateUpdate,
)
from magnoliapier.ownership import (
    GRANT_S,
    MAX_REPORT_AGE_S,
    STALE_GAP_S,
    Gap,
    GapDetector,
    HeldGrants,
    IssuedGrants,
    Registration,
    SenderRecord,
    consent_record,
)

# A restarted process that cannot read the table waits this long to learn the seqs of
# its entry process and its peers, and then puts the highest of them in force.
STARTUP_WAIT_S = 2.0
# Pulls start after a random delay up to this, so that they don't coincide. After a
# partition many processes are far behind at once, and their delays are longer.
PULL_JITTER_S = 0.1
FAR_BEHIND_ENTRIES = 16
FAR_BEHIND_PULL_JITTER_S = 1.0
PULL_RETRY_S = 2.0
TCP_HEARTBEAT_INTERVAL_S = 1.0

log = get_logger(__name__)


@dataclass
class SenderSession:
    """
    What a control process knows of one attached entry process.

    ``consent_from`` is the monotonic time by which grants issued by an earlier control
    process have expired, and from which the sender's record may consent to drains.
    It is None until the possible holders of such grants were read from the table.
    ``written`` is the record that the table is known to hold.
    """

    name: str
    registration: Registration
    issued_grants: IssuedGrants
    report: object = None
    demand: dict = field(default_factory=dict)
    reported_at: float = 0.0
    attached: bool = False
    consent_from: float | None = None
    written: SenderRecord | None = None


@dataclass
class Actions:
    """What the caller of :meth:`Node.tick` must send."""

    heartbeats: list = field(default_factory=list)
    tcp_heartbeats: list = field(default_factory=list)
    pull: tuple | None = None


def parse_state(data):
    """Return the :class:`FleetState` from a snapshot in canonical JSON."""
    return FleetState.from_values(json.loads(data))


def parse_entries(items):
    """Return log entries from their canonical JSON."""
    return [LogEntry.from_row(json.loads(item)) for item in items]


def encode_entries(entries):
    """Return log entries as canonical JSON."""
    return [canonical_json(entry.to_row()) for entry in entries]


class Node:
    """
    The state and decisions of one control process.

    ``incarnation`` must be higher than that of any earlier process of this host.
    """

    def __init__(self, clock, name, data_centre, seeds, rng, incarnation, address=""):
        self._clock = clock
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._address = address
        self._started_at = clock.monotonic()
        self._follower = LogFollower(clock)
        self._members = Membership(clock, name, data_centre, incarnation, seeds, rng)
        self._leaving = LeavingHosts(clock)
        self._held = HeldGrants(clock, name)
        self._gaps = GapDetector(clock)
        self._sessions = {}
        self._grant_requests = {}
        self._demand_selectors = {}
        self._next_tcp_heartbeat_at = {}
        self._pull_at = None
        self._seq_in_force_at_entry = 0
        self._startup_finished = False

    @property
    def state(self):
        """The :class:`FleetState` in force."""
        return self._follower.state

    @property
    def follower(self):
        """The :class:`LogFollower`."""
        return self._follower

    @property
    def members(self):
        """The :class:`Membership`."""
        return self._members

    @property
    def leaving(self):
        """The :class:`LeavingHosts`."""
        return self._leaving

    @property
    def held(self):
        """The :class:`HeldGrants` of this host's sender."""
        return self._held

    @property
    def sessions(self):
        """The :class:`SenderSession` of each entry process seen, by name."""
        return self._sessions

    def tick(self):
        """Do what is due by the clock and return the :class:`Actions` to take."""
        self._apply_gap(self._gaps.tick())
        for member, previous in self._members.tick():
            log.info(
                "member_changed",
                peer=member.name,
                previous=previous,
                status=member.status,
            )
        self._activate()
        actions = Actions(pull=self._choose_pull())
        for member in self._members.due():
            actions.heartbeats.append((member.address, self.heartbeat_for(member)))
        actions.tcp_heartbeats = self._tcp_heartbeats()
        return actions

    def on_heartbeat(self, heartbeat, source):
        """Record a peer's heartbeat, received from the address ``source``."""
        member = self._members.receive(heartbeat, source)
        if member is None:
            return
        if heartbeat.sender_incarnation:
            self._grant_requests[member.name] = (
                heartbeat.sender_incarnation,
                heartbeat.sent_at_ms,
                self._clock.monotonic(),
            )
            for session in self._sessions.values():
                session.issued_grants.observe(
                    member.name,
                    heartbeat.sender_incarnation,
                    heartbeat.sender_seq,
                    heartbeat.busy_hosts,
                    heartbeat.sent_at_ms,
                )
        for grant in heartbeat.grants:
            if grant.data_centre == member.data_centre:
                self._held.receive(member.name, grant)
        self._leaving.add_peer_signs(heartbeat.leaving_hosts)

    def heartbeat_for(self, member, address=""):
        """Return the heartbeat to send to ``member`` now."""
        session = self._fresh_session(self._name)
        report = session.report if session else None
        state = self.state
        selector = self._demand_selector_for(member)
        return Heartbeat(
            name=self._name,
            data_centre=self._data_centre,
            incarnation=self._members.incarnation,
            seq=state.seq,
            staged=self._follower.staged_seq,
            sender_incarnation=report.incarnation if report else 0,
            sender_seq=min(report.applied_seq, state.seq) if report else 0,
            eligible=self.is_eligible(self._name),
            sent_at_ms=self._held.request_time_ms(),
            demand=selector.select(session.demand if session else {}),
            busy_hosts=leaving_busy_hosts(state, report) if report else [],
            leaving_hosts=self._leaving.signs_to_send(),
            suspected=[member.name] if self._members.suspects(member) else [],
            grants=self._grants_for(member),
            address=address,
        )

    def on_log_read(self, read):
        """Stage what a read of the table returned."""
        if read.head_seq:
            self._startup_finished = True
        if read.snapshot is not None:
            self._follower.offer_state(read.snapshot)
        self.offer_entries(read.entries)

    def offer_entries(self, entries):
        """Stage entries and tell the peers at once if any is new."""
        if self._follower.offer_entries(entries):
            self._members.schedule_urgent()
        self._activate()

    def on_pull(self, request):
        """Return the reply to a peer that is behind."""
        entries = self._follower.entries_after(request.after_seq)
        snapshot = b""
        if entries is None:
            snapshot = canonical_json(self._follower.staged.to_values())
            entries = []
        return PullReply(
            self._name, self.is_eligible(self._name), snapshot, encode_entries(entries)
        )

    def on_pull_reply(self, reply):
        """Stage what a peer returned."""
        self._pull_at = None
        if reply.snapshot:
            self._follower.offer_state(parse_state(reply.snapshot))
        self.offer_entries(parse_entries(reply.entries))

    def on_pull_failed(self):
        """Schedule another pull soon, from a peer chosen again."""
        self._pull_at = self._clock.monotonic() + self._rng.uniform(0, PULL_JITTER_S)

    def on_snapshot_offer(self, offer):
        """Stage the state offered by an entry process, where it was in force."""
        seq = 0
        if offer.snapshot:
            state = parse_state(offer.snapshot)
            seq = state.seq
            self._follower.offer_state(state)
        entries = parse_entries(offer.entries)
        self._seq_in_force_at_entry = max(
            self._seq_in_force_at_entry, seq, *(entry.seq for entry in entries)
        )
        self.offer_entries(entries)

    def on_report(self, report):
        """Record the report of an attached entry process."""
        session = self._sessions.get(report.name)
        if session is None:
            session = SenderSession(
                report.name,
                Registration(),
                IssuedGrants(self._clock, self._data_centre),
            )
            self._sessions[report.name] = session
        if not session.attached and report.name != self._name:
            # Since it was last attached here, its own control process may have issued
            # grants in its name.
            session.consent_from = None
            session.written = None
        silence = self._clock.monotonic() - session.reported_at
        restarted = session.registration.incarnation != report.incarnation
        if restarted or silence > STALE_GAP_S:
            self._restart_registration(session, report.incarnation)
        if report.name == self._name:
            self._held.incarnation = report.incarnation
        session.report = report
        session.demand = {item.service: item for item in report.demand}
        session.reported_at = self._clock.monotonic()
        session.attached = True
        self._observe_attached(report)
        self.record_leaving_hosts(report.leaving_hosts)

    def on_detach(self, name):
        """Record that the connection of an entry process ended."""
        if name in self._sessions:
            self._sessions[name].attached = False

    def record_leaving_hosts(self, hosts):
        """Record leaving hosts and send heartbeats at once if any of them is new."""
        if hosts and self._leaving.add_own_signs(hosts):
            self._members.schedule_urgent()

    def view_key(self, name):
        """
        Return the parts of a view whose changes must be sent without delay.

        These are the eligibility of the sender, the data centres of its grants and
        the leaving hosts. While the key is unchanged, an earlier view may be reused.
        """
        centres = ()
        if name == self._name:
            applied = self._sessions[name].report.applied_seq
            centres = tuple(sorted(self._held.usable(applied)))
        return self.is_eligible(name), centres, tuple(self._leaving.current())

    def peer_view(self, name, reuse_s=0.0):
        """
        Return what the entry process ``name`` must know of peers and grants.

        ``reuse_s`` is for how long the caller may send the view again. It is
        subtracted from the remaining time of each grant, so that sending the view
        again extends none.
        """
        now = self._clock.monotonic()
        session = self._sessions[name]
        grants = {}
        if name == self._name:
            grants = self._held.usable(session.report.applied_seq)
        return PeerView(
            peers=[
                Peer(
                    member.name,
                    member.data_centre,
                    max(0, int((now - member.heard_at) * 1000)),
                    [d for d in member.demand.values() if d.queued or d.in_flight],
                )
                for member in self._members.live()
            ],
            grants=[
                GrantedCentre(
                    grant.data_centre,
                    grant.seq,
                    int((grant.expires - now - reuse_s) * 1000),
                )
                for grant in grants.values()
                if grant.expires - now > reuse_s
            ],
            leaving_hosts=self._leaving.current(),
            eligible=self.is_eligible(name),
        )

    def state_update(self, name, after_seq):
        """
        Return the update for an entry process that has ``after_seq``, or None.

        An entry process without a state, or too far behind, gets a snapshot.
        """
        state = self.state
        if state.seq <= after_seq:
            return None
        entries = self._follower.entries_after(after_seq, state.seq)
        eligible = self.is_eligible(name)
        if after_seq == 0 or entries is None:
            return StateUpdate(canonical_json(state.to_values()), [], eligible)
        return StateUpdate(b"", encode_entries(entries), eligible)

    def is_eligible(self, name):
        """Return whether the sender of an attached entry process is eligible."""
        session = self._fresh_session(name)
        return session is not None and session.registration.eligible(
            session.report.incarnation,
            min(session.report.applied_seq, self.state.seq),
        )

    def records_to_write(self):
        """Return the :class:`SenderRecord` of each session whose row is outdated."""
        records = []
        for name in list(self._sessions):
            session = self._fresh_session(name)
            if session is None:
                continue
            record = self._record_of(session)
            if record != session.written:
                records.append(record)
        return records

    def on_record_written(self, record):
        """Mark ``record`` as stored in the table."""
        session = self._sessions[record.name]
        session.written = record
        session.registration.record_written(record.incarnation)

    def on_record_conflict(self, name):
        """Register a sender again whose row was changed by another process."""
        session = self._sessions[name]
        self._restart_registration(session, session.registration.incarnation)

    def registrations_to_read(self):
        """Return (name, incarnation) of sessions that wait for a read of the table."""
        return [
            (name, session.registration.incarnation)
            for name, session in self._sessions.items()
            if session.registration.is_written
            and (session.registration.wants_log_read or session.consent_from is None)
        ]

    def on_registration_read(self, name, incarnation, senders, read):
        """
        Continue a registration with what was read from the table.

        ``senders`` are the names of all registered senders and ``read`` is a read of
        the log. Both reads began after the record was written, that of the senders
        first.
        """
        self.on_log_read(read)
        session = self._sessions[name]
        if session.consent_from is None:
            heard = {m.name for m in self._members.live() if m.sender_incarnation}
            session.issued_grants.assume_unknown_grants((heard | set(senders)) - {name})
            session.consent_from = self._clock.monotonic() + GRANT_S
        session.registration.record_log_read(incarnation, read.head_seq)

    def demand(self):
        """
        Return the slots that each service needs, summed over the live entry hosts.

        Each queued or in-flight request counts as one slot.
        """
        total = {}
        live = self._members.live()
        reports = [m.demand.values() for m in live if m.sender_incarnation]
        reported = {m.name for m in live if m.sender_incarnation}
        for name in self._sessions:
            session = self._fresh_session(name)
            if session and name not in reported:
                reports.append(session.report.demand)
        for items in reports:
            for item in items:
                slots = item.queued + item.in_flight
                total[item.service] = total.get(item.service, 0) + slots
        return total

    def _observe_attached(self, report):
        # Entry processes attached to this process may hold grants that were issued for
        # each other's senders, and no heartbeat reports on these holders.
        for session in self._sessions.values():
            if session.name != report.name:
                session.issued_grants.observe(
                    report.name,
                    report.incarnation,
                    min(report.applied_seq, self.state.seq),
                    leaving_busy_hosts(self.state, report),
                    self._held.request_time_ms(),
                )

    def _activate(self):
        waited = self._clock.monotonic() - self._started_at >= STARTUP_WAIT_S
        if not (self._startup_finished or waited):
            return
        self._startup_finished = True
        before = self.state
        self._follower.activate_up_to(self._seq_in_force_at_entry)
        self._follower.activate(self._members.highest_peer_staged())
        if self.state is not before:
            self._on_state_change(before)

    def _on_state_change(self, before):
        log.info(
            "state_in_force", seq=self.state.seq, version=self.state.manifest_version
        )
        returned = [
            name
            for name, assignment in self.state.assignments.items()
            if assignment.takes_work and assignment != before.assignments.get(name)
        ]
        if before.seq:
            self._leaving.clear(returned)
        entries = self._follower.entries_after(before.seq, self.state.seq)
        if entries is None and before.seq:
            self._register_again()
        for entry in entries or ():
            if entry.kind == "sender_removed":
                self._on_sender_removed(entry.body)

    def _register_again(self):
        """
        Register all senders again whose records may have been removed unseen.

        That is so after a long pause, and after a state that came as a snapshot and not
        as entries.
        """
        for session in self._sessions.values():
            self._restart_registration(session, session.registration.incarnation)

    def _on_sender_removed(self, body):
        for session in self._sessions.values():
            session.issued_grants.forget(body["name"])
        session = self._sessions.get(body["name"])
        if session and session.registration.incarnation <= body["incarnation"]:
            self._restart_registration(session, session.registration.incarnation)

    def _restart_registration(self, session, incarnation):
        session.registration.begin(incarnation)
        session.written = None

    def _apply_gap(self, gap):
        if gap is Gap.NONE:
            return
        log.warning("process_paused", effect=gap.value)
        self._held.drop()
        if gap is Gap.STALE:
            self._register_again()

    def _fresh_session(self, name):
        session = self._sessions.get(name)
        if session is None or not session.attached:
            return None
        if self._clock.monotonic() - session.reported_at > MAX_REPORT_AGE_S:
            return None
        return session

    def _record_of(self, session):
        now = self._clock.monotonic()
        report = session.report
        if session.consent_from is None or now < session.consent_from:
            return SenderRecord(session.name, self._data_centre, report.incarnation)
        record = consent_record(
            session.name, self._data_centre, report, self.state, session.issued_grants
        )
        busy = [h for h in record.busy if not takes_work(self.state, h)]
        return SenderRecord(
            record.name,
            record.data_centre,
            record.incarnation,
            record.applied,
            frozenset(busy),
        )

    def _grants_for(self, member):
        request = self._grant_requests.pop(member.name, None)
        session = self._fresh_session(self._name)
        if request is None or session is None or not self.is_eligible(self._name):
            return []
        incarnation, asked_at_ms, heard_at = request
        if self._clock.monotonic() - heard_at > GRANT_S:
            return []
        if member.data_centre == self._data_centre and member.eligible:
            return []
        return [
            session.issued_grants.issue(
                member.name, incarnation, self.state.seq, asked_at_ms
            )
        ]

    def _demand_selector_for(self, member):
        # A peer that restarted has lost the demand that was sent to it.
        known = self._demand_selectors.get(member.name)
        if known is None or known[0] != member.incarnation:
            local = member.data_centre == self._data_centre
            limit = LOCAL_DEMAND_SENT if local else REMOTE_DEMAND_SENT
            known = (member.incarnation, DemandSelector(limit))
            self._demand_selectors[member.name] = known
        return known[1]

    def _choose_pull(self):
        now = self._clock.monotonic()
        staged = self._follower.staged_seq
        source = self._members.pull_source(staged)
        if source is None:
            self._pull_at = None
            return None
        if self._pull_at is None:
            far = source.staged - staged > FAR_BEHIND_ENTRIES
            jitter_s = FAR_BEHIND_PULL_JITTER_S if far else PULL_JITTER_S
            self._pull_at = now + self._rng.uniform(0, jitter_s)
        if now < self._pull_at:
            return None
        self._pull_at = now + PULL_RETRY_S
        return source.address, staged

    def _tcp_heartbeats(self):
        # A peer that receives none of our datagrams may still be reached by TCP.
        now = self._clock.monotonic()
        tcp_heartbeats = []
        for member in self._members.live():
            due = self._next_tcp_heartbeat_at.get(member.name, 0.0) <= now
            if member.suspects_us and due:
                self._next_tcp_heartbeat_at[member.name] = (
                    now + TCP_HEARTBEAT_INTERVAL_S
                )
                heartbeat = self.heartbeat_for(member, self._address)
                tcp_heartbeats.append((member.address, heartbeat))
        return tcp_heartbeats


def takes_work(state, host):
    """Return whether ``host`` has an assignment in ``state`` that takes work."""
    assignment = state.assignments.get(host)
    return assignment is not None and assignment.takes_work


def leaving_busy_hosts(state, report):
    """Return the busy hosts of a report that take no new work in ``state``."""
    return [host for host in report.busy_hosts if not takes_work(state, host)]
