"""
Membership of control processes by heartbeats, and the data that heartbeats spread.

The classes do no I/O. Each process judges its peers only by the heartbeats that it
receives itself, so a network partition between two others does not affect it.

Example::

    members = Membership(clock, "entry-1", "dc-1", incarnation, seeds, rng)
    members.receive(heartbeat, "127.0.0.1:8090")
    members.tick()
    for member in members.due():
        send(member.address, node.heartbeat_for(member))
"""

import enum
import heapq
from dataclasses import dataclass, field

from magnoliapier.messages import Demand

LOCAL_INTERVAL_S = 0.5
REMOTE_INTERVAL_S = 1.0
MISSED_BEFORE_SUSPICION = 3
DEAD_S = 5.0
DEAD_PROBE_INTERVAL_S = 5.0
# A host whose clock went back restarts with a lower incarnation; it is accepted
# again once its earlier incarnation is forgotten.
FORGET_S = 60.0
# An urgent heartbeat follows the last one to the same peer after at least this time.
URGENT_SPACING_S = 0.05

# The platform's host list lags by up to 30 s; until it shows that a host left, signs
# from peers are more current.
OWN_SIGN_LIFETIME_S = 30.0
PEER_SIGN_LIFETIME_S = 10.0
MAX_SIGNS_SENT = 32

# Demand of the same data centre decides the shares of slots; remote demand only decides
# the spillover.
LOCAL_DEMAND_SENT = 8
REMOTE_DEMAND_SENT = 3
DEMAND_REFRESH_COUNT = 1
NO_DEMAND = Demand()


class MemberStatus(enum.StrEnum):
    """The status of a peer as this process sees it."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass
class Member:
    """
    A peer as heard from its own heartbeats.

    ``suspects_us`` is set while the peer does not receive this process's heartbeats,
    as in a network partition in one direction. ``heard_at`` is in monotonic seconds of
    this process.
    """

    name: str
    data_centre: str
    address: str
    is_seed: bool = False
    status: MemberStatus = MemberStatus.UNKNOWN
    incarnation: int = 0
    sent_at_ms: int = 0
    seq: int = 0
    staged: int = 0
    sender_incarnation: int = 0
    sender_seq: int = 0
    eligible: bool = False
    suspects_us: bool = False
    heard_at: float = 0.0
    send_at: float = 0.0
    sent_at: float = -1.0
    demand: dict = field(default_factory=dict)
    busy_hosts: frozenset = frozenset()


class Membership:
    """
    The peers of one control process.

    A peer is suspected after three missed heartbeats and dead after DEAD_S. A
    heartbeat counts only if it is newer than the last one of its incarnation, and
    a dead peer returns only with a higher incarnation. A process that is told that
    it is suspected raises its incarnation, so both sides of a healed partition
    accept each other within two heartbeats.
    """

    def __init__(self, clock, name, data_centre, incarnation, seeds, rng):
        self._clock = clock
        self._name = name
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._rng = rng
        self._members = {}
        for seed in seeds:
            self.add_seed(seed.name, seed.data_centre, seed.address)

    @property
    def incarnation(self):
        """The incarnation of this process."""
        return self._incarnation

    @property
    def members(self):
        """All known members by name."""
        return self._members

    def add_seed(self, name, data_centre, address):
        """Add a peer by its first address; ignore the name of this process."""
        if name != self._name:
            self._add(name, data_centre, address, is_seed=True)

    def live(self, data_centre=None):
        """Return the members that are alive, of one data centre if given."""
        return [
            member
            for member in self._members.values()
            if member.status is MemberStatus.ALIVE
            and data_centre in (None, member.data_centre)
        ]

    def highest_peer_staged(self):
        """
        Return the highest staged seq of the live peers of this data centre.

        None if there is no such peer. A peer that does not hear this process cannot
        learn a seq from it, so it is left out.
        """
        return max(
            (
                member.staged
                for member in self.live(self._data_centre)
                if not member.suspects_us
            ),
            default=None,
        )

    def receive(self, heartbeat, source):
        """Process a heartbeat; return its member, or None if it is old or our own."""
        if heartbeat.name == self._name:
            return None
        member = self._members.get(heartbeat.name)
        if member is None:
            member = self._add(heartbeat.name, heartbeat.data_centre, source)
        stamp = (heartbeat.incarnation, heartbeat.sent_at_ms)
        if stamp <= (member.incarnation, member.sent_at_ms):
            return None
        if self._name in heartbeat.suspected:
            # This includes peers that are considered dead: otherwise two processes that
            # declared each other dead would wait for each other's new incarnation.
            self._incarnation += 1
            member.send_at = min(
                member.send_at, member.sent_at + self._interval(member) / 2
            )
        if (
            member.status is MemberStatus.DEAD
            and heartbeat.incarnation <= member.incarnation
        ):
            return None
        if heartbeat.incarnation != member.incarnation:
            member.demand = {}
        self._update_member(member, heartbeat, source)
        return member

    def tick(self):
        """Update each peer's status; return (member, previous status) per change."""
        now = self._clock.monotonic()
        changes = []
        for member in list(self._members.values()):
            if member.status is MemberStatus.UNKNOWN:
                continue
            silence_s = now - member.heard_at
            status = MemberStatus.ALIVE
            if silence_s >= DEAD_S:
                status = MemberStatus.DEAD
            elif silence_s >= MISSED_BEFORE_SUSPICION * self._interval(member):
                status = MemberStatus.SUSPECTED
            if status is not member.status:
                changes.append((member, member.status))
                member.status = status
            if silence_s >= FORGET_S:
                self._remove_or_reset(member)
        return changes

    def due(self):
        """Return the members to send a heartbeat to now, and schedule the next."""
        now = self._clock.monotonic()
        members = [m for m in self._members.values() if m.send_at <= now]
        for member in members:
            interval = self._interval(member)
            if member.status is MemberStatus.DEAD:
                interval = DEAD_PROBE_INTERVAL_S
            member.sent_at = now
            member.send_at = max(member.send_at + interval, now + interval / 2)
        return members

    def schedule_urgent(self):
        """Schedule heartbeats to all live peers as soon as URGENT_SPACING_S permits."""
        for member in self.live():
            member.send_at = min(member.send_at, member.sent_at + URGENT_SPACING_S)

    def suspects(self, member):
        """Return whether heartbeats must tell ``member`` that it is not heard."""
        return member.status in (MemberStatus.SUSPECTED, MemberStatus.DEAD)

    def pull_source(self, seq):
        """
        Return a random live member that has staged more than ``seq``, or None.

        Members of the same data centre are preferred.
        """
        ahead = [m for m in self.live() if m.staged > seq]
        local = [m for m in ahead if m.data_centre == self._data_centre]
        return self._rng.choice(local or ahead) if ahead else None

    def _add(self, name, data_centre, address, is_seed=False):
        member = Member(name, data_centre, address, is_seed)
        # Spreads the first heartbeats to several peers over half an interval.
        member.send_at = self._clock.monotonic() + self._rng.uniform(
            0, self._interval(member) / 2
        )
        self._members[name] = member
        return member

    def _update_member(self, member, heartbeat, source):
        member.data_centre = heartbeat.data_centre
        member.address = heartbeat.address or source or member.address
        member.status = MemberStatus.ALIVE
        member.incarnation = heartbeat.incarnation
        member.sent_at_ms = heartbeat.sent_at_ms
        member.seq = heartbeat.seq
        member.staged = heartbeat.staged
        member.sender_incarnation = heartbeat.sender_incarnation
        member.sender_seq = heartbeat.sender_seq
        member.eligible = heartbeat.eligible
        member.busy_hosts = frozenset(heartbeat.busy_hosts)
        member.suspects_us = self._name in heartbeat.suspected
        member.heard_at = self._clock.monotonic()
        for item in heartbeat.demand:
            member.demand[item.service] = item

    def _interval(self, member):
        if member.data_centre == self._data_centre:
            return LOCAL_INTERVAL_S
        return REMOTE_INTERVAL_S

    def _remove_or_reset(self, member):
        if not member.is_seed:
            del self._members[member.name]
            return
        member.status = MemberStatus.UNKNOWN
        member.incarnation = 0
        member.sent_at_ms = 0


class LeavingHosts:
    """
    Hosts that get no new work because of a sign that they are leaving.

    Signs that this host's own processes saw are sent to peers until they expire. Signs
    received from a peer are used but not passed on, so that they expire once their
    origin stops sending them. A repeated sign starts its lifetime again.
    """

    def __init__(self, clock):
        self._clock = clock
        self._own_expiries = {}
        self._peer_expiries = {}
        self._rotation = 0

    def add_own_signs(self, hosts):
        """Record signs that this host's processes saw; return whether any is new."""
        return self._add_signs(self._own_expiries, hosts, OWN_SIGN_LIFETIME_S)

    def add_peer_signs(self, hosts):
        """Record signs that a peer sent; return whether any is new."""
        return self._add_signs(self._peer_expiries, hosts, PEER_SIGN_LIFETIME_S)

    def clear(self, hosts):
        """Remove the signs of hosts that were assigned to a pool again."""
        for host in hosts:
            self._own_expiries.pop(host, None)
            self._peer_expiries.pop(host, None)

    def current(self):
        """Return the names of the hosts that are leaving, sorted."""
        return sorted(
            set(self._drop_expired(self._own_expiries))
            | set(self._drop_expired(self._peer_expiries))
        )

    def signs_to_send(self):
        """
        Return the hosts of own signs to name in the next heartbeats.

        The newest signs are always included, the others in rotation.
        """
        own = sorted(
            self._drop_expired(self._own_expiries),
            key=self._own_expiries.get,
            reverse=True,
        )
        newest, rest = own[: MAX_SIGNS_SENT // 2], own[MAX_SIGNS_SENT // 2 :]
        if not rest:
            return newest
        self._rotation = (self._rotation + MAX_SIGNS_SENT // 2) % len(rest)
        rotated = rest[self._rotation :] + rest[: self._rotation]
        return newest + rotated[: MAX_SIGNS_SENT // 2]

    def _add_signs(self, expiries, hosts, duration_s):
        known = set(self.current())
        expires = self._clock.monotonic() + duration_s
        for host in hosts:
            expiries[host] = expires
        return not known.issuperset(hosts)

    def _drop_expired(self, expiries):
        now = self._clock.monotonic()
        for host in [host for host, expires in expiries.items() if expires <= now]:
            del expiries[host]
        return expiries


class DemandSelector:
    """
    Selects the services whose demand goes into the next heartbeats.

    These are the services whose demand changed most since it was last sent, up to
    ``limit``, and DEMAND_REFRESH_COUNT services in rotation, so that a receiver that
    missed a heartbeat gets the present demand of every service in the end.
    """

    def __init__(self, limit=LOCAL_DEMAND_SENT):
        self._limit = limit
        self._sent = {}
        self._refresh_position = 0

    def select(self, demand):
        """
        Return the :class:`Demand` items to send.

        ``demand`` maps each service to its present item. The distance is computed
        inline for speed, because the loop runs for each service in each heartbeat.
        """
        sent = self._sent
        gone = {service: Demand(service) for service in sent.keys() - demand.keys()}
        changed = []
        for items in (demand, gone):
            for service, item in items.items():
                known = sent.get(service, NO_DEMAND)
                distance = abs(item.queued - known.queued) + abs(
                    item.in_flight - known.in_flight
                )
                if distance:
                    changed.append((distance, service))
        chosen = {service for _, service in heapq.nlargest(self._limit, changed)}
        chosen.update(self._refresh([*demand, *gone]))
        for service in chosen:
            sent[service] = demand.get(service) or gone[service]
        return [sent[service] for service in sorted(chosen)]

    def _refresh(self, services):
        if not services:
            return []
        first = self._refresh_position % len(services)
        self._refresh_position += DEMAND_REFRESH_COUNT
        return services[first : first + DEMAND_REFRESH_COUNT]
