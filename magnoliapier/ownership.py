"""
Rules R1 to R5 of docs/design.md: which sender may send to which host, and when.

The functions are pure. The classes hold what one process knows and take a clock.
All instants are seconds on the monotonic clock of the process that holds them, except
``*_ms`` values of another process, which are only compared with each other.

Example::

    hosts = allowed_hosts(state, "dc-1", True, held.usable(state.seq), now)
"""

import enum
from dataclasses import dataclass, field, replace

from magnoliapier.messages import Grant

GRANT_S = 3.0
TICK_S = 0.1
DROP_GRANTS_GAP_S = 1.0
# Longest time between the check that permits a send and the send itself; after a longer
# gap the check is repeated.
SEND_MARGIN_S = DROP_GRANTS_GAP_S
# Shorter than LIST_LAG_S, so that a paused sender is stale before its record may be
# removed.
STALE_GAP_S = 20.0
LIST_LAG_S = 30.0
# If two reads of the host list are further apart than this, a host that is in neither
# of them may have been listed in between.
LIST_READ_GAP_S = 5.0
# A heartbeat carries a sender's report only while the report is younger than this.
MAX_REPORT_AGE_S = 1.0
SENDER_PREFIX = "sender/"
ANY_INCARNATION = 0
NO_SENDER = "(no registered sender)"


@dataclass(frozen=True)
class HeldGrant:
    """A grant as its holder stores it; it may be used before ``expires``."""

    granter: str
    data_centre: str
    seq: int
    expires: float


@dataclass(frozen=True)
class SenderRecord:
    """The row ``sender/<name>``: the consent of one sender (R3)."""

    name: str
    data_centre: str
    incarnation: int
    applied: int = 0
    busy: frozenset = frozenset()

    @property
    def key(self):
        """The key of the row."""
        return SENDER_PREFIX + self.name

    def to_row(self):
        """Return the record as the JSON value of its row."""
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "incarnation": self.incarnation,
            "applied": self.applied,
            "busy": sorted(self.busy),
        }

    @classmethod
    def from_row(cls, value):
        """Build a record from the JSON value of its row."""
        return cls(
            value["name"],
            value["data_centre"],
            value["incarnation"],
            value["applied"],
            frozenset(value["busy"]),
        )


def allowed_hosts(state, data_centre, eligible, grants, now):
    """
    Return the names of the hosts that a sender may send to now (R1 and R2).

    ``state`` is the sender's state in force, ``grants`` a dict from data centre to
    an object with ``seq`` and ``expires``.
    """
    if state.manifest is None:
        return set()
    open_centres = {
        centre
        for centre, grant in grants.items()
        if grant.expires > now and state.seq >= grant.seq
    }
    if eligible:
        open_centres.add(data_centre)
    hosts = state.manifest.hosts
    return {
        name
        for name, assignment in state.assignments.items()
        if assignment.takes_work and hosts[name].data_centre in open_centres
    }


def consents(record, host, seq):
    """Return whether a sender's record agrees to the drain of ``host`` at ``seq``."""
    return record.applied >= seq and host not in record.busy


def missing_consents(state, host, records):
    """
    Return the names of the senders that do not consent to the drain of ``host`` (R4).

    ``records`` are all :class:`SenderRecord` of the table, read after the drain was
    appended. An empty result permits ``host_assign`` or ``host_maintenance``. The
    result is NO_SENDER alone if the host's data centre has no registered sender.
    """
    data_centre = state.manifest.hosts[host].data_centre
    seq = state.assignments[host].seq
    local = [record for record in records if record.data_centre == data_centre]
    if not local:
        # No record accounts for the grants that the removed senders issued.
        return [NO_SENDER]
    return sorted(record.name for record in local if not consents(record, host, seq))


def consent_record(name, data_centre, report, state, issued_grants):
    """
    Return the record to write for an attached sender's latest report (R3).

    ``state`` is the control process's own state in force. The applied seq is capped
    at its seq, because drains that the control process has not read cannot be checked
    against the grants it issued.
    """
    return SenderRecord(
        name,
        data_centre,
        report.incarnation,
        min(report.applied_seq, state.seq),
        frozenset(report.busy_hosts) | issued_grants.blocked_hosts(state),
    )


@dataclass
class SenderTable:
    """The sender records, and since when the host list has omitted each of them."""

    clock: object
    records: dict = field(default_factory=dict)
    absent_since: dict = field(default_factory=dict)
    last_read: float | None = None

    def update(self, records):
        """Replace the records by those just read from the table."""
        self.records = {record.name: record for record in records}

    def observe_host_list(self, names):
        """Record the host names of one read of the platform's host list."""
        now = self.clock.monotonic()
        if self.last_read is None or now - self.last_read > LIST_READ_GAP_S:
            self.absent_since.clear()
        self.last_read = now
        absent = set(self.records) - set(names)
        self.absent_since = {
            name: self.absent_since.get(name, now) for name in sorted(absent)
        }

    def removable(self):
        """Return the names of the senders whose records may be removed (R4)."""
        now = self.clock.monotonic()
        if self.last_read is None or now - self.last_read > LIST_READ_GAP_S:
            return []
        return [
            name
            for name, since in self.absent_since.items()
            if name in self.records and now - since > LIST_LAG_S
        ]


@dataclass
class HolderReport:
    """The latest report of a sender that holds grants of this process."""

    incarnation: int
    seq: int
    busy: frozenset
    sent_at_ms: int


@dataclass(frozen=True)
class IssuedGrant:
    """
    A grant as its granter stores it.

    ``expires`` is on the granter's clock. ``forgotten`` means that the record of the
    holder was removed.
    """

    holder: str
    incarnation: int
    seq: int
    expires: float
    forgotten: bool = False


class IssuedGrants:
    """
    The grants that one process issued for its sender, and the reports of the holders.

    A holder with a grant from before a drain blocks the drain until its report shows
    that it has applied the drain and has no request in flight to the host. An expired
    grant still blocks while its holder does not report, because a request sent under
    it may still run. A report of a later incarnation counts as well, but the change
    of incarnation alone does not: a stale process changes its incarnation while its
    requests go on. After ``forget``, for a holder whose record was removed, a grant
    blocks until no send under it can happen. Reports need to name only those busy
    hosts that do not take work in the holder's state.
    """

    def __init__(self, clock, data_centre):
        self._clock = clock
        self._data_centre = data_centre
        self._grants = {}
        self._reports = {}

    def __len__(self):
        return sum(len(grants) for grants in self._grants.values())

    def issue(self, holder, incarnation, seq, asked_at_ms):
        """Record a grant at the granter's seq in force and return its message."""
        now = self._clock.monotonic()
        duration_ms = int(GRANT_S * 1000)
        self._add(IssuedGrant(holder, incarnation, seq, now + GRANT_S))
        return Grant(
            holder, incarnation, self._data_centre, seq, asked_at_ms, duration_ms
        )

    def assume_unknown_grants(self, holders):
        """
        Assume that each of ``holders`` has a grant, whatever its incarnation.

        A process that takes over a sender, or was restarted, does not know what was
        granted in the sender's name before.
        """
        now = self._clock.monotonic()
        for holder in holders:
            self._add(IssuedGrant(holder, ANY_INCARNATION, 0, now + GRANT_S))

    def observe(self, holder, incarnation, seq, busy, sent_at_ms):
        """Record a holder's report; ignore one that is older than the last one."""
        known = self._reports.get(holder)
        if known and (known.incarnation, known.sent_at_ms) > (incarnation, sent_at_ms):
            return
        self._reports[holder] = HolderReport(
            incarnation, seq, frozenset(busy), sent_at_ms
        )
        self._prune(holder)

    def forget(self, holder):
        """Let grants to a removed sender block only until no send can follow them."""
        self._reports.pop(holder, None)
        now = self._clock.monotonic()
        self._grants[holder] = {
            key: replace(grant, forgotten=True)
            for key, grant in self._grants.get(holder, {}).items()
            if now < grant.expires + SEND_MARGIN_S
        }

    def blocked_hosts(self, state):
        """Return the hosts being drained that a holder may still use (R3)."""
        if state.manifest is None:
            return frozenset()
        hosts = state.manifest.hosts
        return frozenset(
            name
            for name, assignment in state.assignments.items()
            if not assignment.takes_work
            and hosts[name].data_centre == self._data_centre
            and self.blockers(name, assignment.seq)
        )

    def blockers(self, host, seq):
        """Return the holders whose grants keep ``host`` from a drain at ``seq``."""
        return sorted(
            holder
            for holder, grants in self._grants.items()
            if any(self._blocks(grant, host, seq) for grant in grants.values())
        )

    def _add(self, grant):
        grants = self._grants.setdefault(grant.holder, {})
        for key, earlier in list(grants.items()):
            # A later incarnation's grant at the same or a lower seq blocks every drain
            # that the earlier one blocks.
            replaced = earlier.incarnation < grant.incarnation
            if replaced and earlier.seq >= grant.seq and not earlier.forgotten:
                del grants[key]
        grants[(grant.incarnation, grant.seq)] = grant

    def _blocks(self, grant, host, seq):
        if grant.seq >= seq:
            return False
        if grant.forgotten:
            return self._clock.monotonic() < grant.expires + SEND_MARGIN_S
        report = self._reports.get(grant.holder)
        if report is None or report.incarnation < grant.incarnation:
            return True
        return report.seq < seq or host in report.busy

    def _prune(self, holder):
        # A drain after the later of two grants to one holder is blocked by both, so the
        # earlier grant matters only for drains between the two. A report shows that
        # these no longer block if its seq is at least the later grant's and it names
        # no busy host.
        report = self._reports[holder]
        grants = self._grants.get(holder, {})
        covered_seq = max(
            (
                seq
                for incarnation, seq in grants
                if incarnation == report.incarnation and seq <= report.seq
            ),
            default=0,
        )
        for (incarnation, seq), grant in list(grants.items()):
            settled = incarnation <= report.incarnation and seq < covered_seq
            if settled and not report.busy and not grant.forgotten:
                del grants[(incarnation, seq)]


class HeldGrants:
    """
    The grants that one sender holds.

    The duration of a grant counts from the instant at which it was requested, which
    its message echoes, so that a delayed grant never lasts longer than the granter
    assumes.
    """

    def __init__(self, clock, holder, incarnation=0):
        self._clock = clock
        self._holder = holder
        self._incarnation = incarnation
        self._not_before_ms = 0
        self._grants = {}

    @property
    def incarnation(self):
        """The sender's incarnation; a change drops the grants of the earlier one."""
        return self._incarnation

    @incarnation.setter
    def incarnation(self, value):
        if value != self._incarnation:
            self._incarnation = value
            self.drop()

    def request_time_ms(self):
        """Return the present instant in ms, for a heartbeat that requests grants."""
        return int(self._clock.monotonic() * 1000)

    def receive(self, granter, grant):
        """Store a grant; ignore one for another sender or requested before a drop."""
        if (grant.holder, grant.holder_incarnation) != (
            self._holder,
            self._incarnation,
        ):
            return
        if grant.asked_at_ms < self._not_before_ms:
            return
        expires = (grant.asked_at_ms + grant.duration_ms) / 1000
        known = self._grants.get(granter)
        if known is None or expires > known.expires:
            self._grants[granter] = HeldGrant(
                granter, grant.data_centre, grant.seq, expires
            )

    def drop(self):
        """Drop all grants and ignore grants that were requested until now (R5)."""
        self._grants.clear()
        self._not_before_ms = self.request_time_ms() + 1

    def usable(self, applied_seq):
        """Return, for each data centre, the usable grant that expires last."""
        now = self._clock.monotonic()
        best = {}
        for grant in self._grants.values():
            known = best.get(grant.data_centre)
            if (
                grant.expires > now
                and grant.seq <= applied_seq
                and (known is None or grant.expires > known.expires)
            ):
                best[grant.data_centre] = grant
        return best


class Gap(enum.Enum):
    """What a process must do after the time between two ticks (R5)."""

    NONE = "none"
    DROP_GRANTS = "drop_grants"
    STALE = "stale"


class PauseMeter:
    """
    Measures how long a process was paused; call :meth:`tick` every TICK_S.

    Pauses with little time between them add up: the host list is not read often enough
    to show the host between them, so the sender's record may be removed as if it had
    been away all the while.

    Example::

        meter = PauseMeter(clock)
        clock.advance(15.0)
        assert meter.tick() == 15.0
        clock.advance(15.0)
        assert meter.tick() == 30.0
    """

    def __init__(self, clock):
        self._clock = clock
        self._previous = self._resumed_at = clock.monotonic()
        self._paused_s = 0.0

    def tick(self):
        """
        Return the seconds since the last tick or, after a pause, those of all pauses.

        A gap of more than DROP_GRANTS_GAP_S is a pause. The sum starts again once the
        process has run for LIST_READ_GAP_S, in which the host list is read.
        """
        now = self._clock.monotonic()
        gap_s = now - self._previous
        self._previous = now
        if gap_s <= DROP_GRANTS_GAP_S:
            if now - self._resumed_at >= LIST_READ_GAP_S:
                self._paused_s = 0.0
            return gap_s
        self._paused_s += gap_s
        self._resumed_at = now
        return self._paused_s


class GapDetector:
    """Tells what a process must do after a pause; call :meth:`tick` every TICK_S."""

    def __init__(self, clock):
        self._meter = PauseMeter(clock)

    def tick(self):
        """Return the :class:`Gap` for the time since the last tick."""
        gap_s = self._meter.tick()
        if gap_s > STALE_GAP_S:
            return Gap.STALE
        if gap_s > DROP_GRANTS_GAP_S:
            return Gap.DROP_GRANTS
        return Gap.NONE


class Registration:
    """
    Whether one sender is eligible (R1).

    The order is: the present incarnation is written to the table, the log is read
    from the table by a read that starts later, and the sender applies what that
    read returned. Eligibility then lasts, also while the table is unavailable,
    until the incarnation changes, the process is stale or the record is removed.

    Example::

        registration.begin(incarnation)
        registration.record_written(incarnation)
        registration.record_log_read(incarnation, seq)
        assert registration.eligible(incarnation, applied_seq=seq)
    """

    def __init__(self):
        self._incarnation = 0
        self._written = False
        self._read_seq = None

    @property
    def incarnation(self):
        """The incarnation that is being registered, 0 for none."""
        return self._incarnation

    @property
    def is_written(self):
        """Whether the table holds the present incarnation."""
        return self._written

    @property
    def wants_log_read(self):
        """Whether the log must still be read from the table."""
        return self._written and self._read_seq is None

    def begin(self, incarnation):
        """Start over for a new incarnation, a stale process or a removed record."""
        self._incarnation = incarnation
        self._written = False
        self._read_seq = None

    def record_written(self, incarnation):
        """Record that the table holds the sender's record with ``incarnation``."""
        if incarnation == self._incarnation:
            self._written = True

    def record_log_read(self, incarnation, seq):
        """Record that a log read begun after the write returned up to ``seq``."""
        if incarnation == self._incarnation and self._written:
            self._read_seq = seq

    def eligible(self, incarnation, applied_seq):
        """Return whether the sender may act without grants."""
        return (
            incarnation == self._incarnation
            and self._read_seq is not None
            and applied_seq >= self._read_seq
        )
