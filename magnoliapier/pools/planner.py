"""
Which hosts are moved or maintained next.

Hosts of the standby pool cost nothing, so pools release what they do not need and get
it back when they want it. Maintenance takes hosts that are free anyway first, and asks
pools to empty the others a few at a time.
"""

import msgspec

from magnoliapier.pools.crashes import CrashDetector
from magnoliapier.pools.hosts import HostState

ORDER_TIMEOUT_S = 6.0  # after which an order is taken to have had no effect
EMPTYING_PER_POOL = 2  # hosts of one pool that are emptied at once


class Move(msgspec.Struct, frozen=True):
    """Move a host to the pool of a service."""

    host: str
    service: str


class Maintain(msgspec.Struct, frozen=True):
    """Take a host down for its maintenance in a wave."""

    host: str
    wave: int


class PendingOrder(msgspec.Struct):
    """An order whose effect is not seen in the host list yet."""

    order: Move | Maintain
    endpoint_id: str  # that ran on the host when it was ordered
    ordered_at: float


class FleetPlanner:
    """
    Decides on orders from the host list and the pools' reports.

    Holds no clock or socket; times are seconds on a steady clock.
    """

    def __init__(self, maintained=None):
        self.maintained = {
            wave: set(hosts) for wave, hosts in (maintained or {}).items()
        }
        self._crashes = CrashDetector()
        self._pending = {}
        self._hosts = {}
        self._reports = {}
        self._waves = ()
        self._standby = None
        self._barred = ()

    def update(self, hosts, reports, waves, standby, now, barred=()):
        """
        Take in what is known now, and settle orders that have taken effect.

        ``barred`` names hosts that must not be ordered yet.
        """
        self._crashes.update(hosts, self._pending, now)
        self._hosts = {host.name: host for host in hosts}
        self._reports = reports
        self._waves = waves
        self._standby = standby
        self._barred = barred
        for name, pending in list(self._pending.items()):
            host = self._hosts.get(name)
            if host is None or self._settled(host, pending, now):
                del self._pending[name]

    def _settled(self, host, pending, now):
        if now - pending.ordered_at > ORDER_TIMEOUT_S:
            return True
        if host.state != HostState.UP:
            return False
        if isinstance(pending.order, Move):
            return host.service == pending.order.service
        return host.endpoint_id != pending.endpoint_id

    def record_order(self, order, now):
        """Take note that an order was sent, whether or not it was answered."""
        host = self._hosts[order.host]
        self._pending[order.host] = PendingOrder(order, host.endpoint_id, now)

    def record_refusal(self, order):
        """Take note that an order had no effect."""
        self._pending.pop(order.host, None)

    def record_maintenance_start(self, order):
        """Take note that a host's maintenance was accepted."""
        self.maintained.setdefault(order.wave, set()).add(order.host)

    @property
    def has_pending(self):
        """Return whether any order has not taken effect yet."""
        return bool(self._pending)

    @property
    def crashed(self):
        """Return the endpoints whose hosts went down lately without an order."""
        return self._crashes.crashed

    def due_hosts(self, wave):
        """Return the listed hosts of a wave whose maintenance has not begun."""
        done = self.maintained.get(wave.number, ())
        return [
            self._hosts[name]
            for name in wave.hosts
            if name in self._hosts and name not in done
        ]

    def wave_completed(self, wave):
        """Return whether the maintenance of every listed host has begun."""
        return bool(self._hosts) and not self.due_hosts(wave)

    def orders(self):
        """Return the orders to send now, maintenance first."""
        orders = self._maintenance_orders()
        taken = {order.host for order in orders}
        orders.extend(self._move_orders(taken))
        return orders

    def _free(self, host):
        """Return whether a host can be taken without ending any work."""
        if host.state != HostState.UP or host.name in self._pending:
            return False
        if host.name in self._barred:
            return False
        if host.service == self._standby:
            return True
        report = self._reports.get(host.service)
        return report is not None and host.endpoint_id in report.released

    def _maintenance_orders(self):
        orders = []
        for wave in self._waves:
            room = wave.max_down - self._down_for(wave)
            for host in self.due_hosts(wave):
                if room > 0 and self._free(host):
                    orders.append(Maintain(host.name, wave.number))
                    room -= 1
        return orders

    def _down_for(self, wave):
        # A former holder may have begun the maintenance of a barred host.
        barred = set(self._barred).difference(self.maintained.get(wave.number, ()))
        ordered = sum(
            isinstance(pending.order, Maintain) and pending.order.wave == wave.number
            for pending in self._pending.values()
        )
        listed = sum(
            1
            for name in wave.hosts
            if name in self._hosts
            and name not in self._pending
            and (self._hosts[name].state == HostState.UPKEEP or name in barred)
        )
        return ordered + listed

    def _move_orders(self, taken):
        free = [
            host
            for host in self._hosts.values()
            if host.name not in taken and self._free(host)
        ]
        due = {host.name for wave in self._waves for host in self.due_hosts(wave)}
        free.sort(key=lambda host: (host.name in due, host.service == self._standby))
        orders = []
        for service in self._wanting_services():
            wanted = self._reports[service].wanted - self._arriving(service)
            while wanted > 0 and free:
                host = self._pick(free, service)
                if host is None:
                    break
                free.remove(host)
                orders.append(Move(host.name, service))
                wanted -= 1
        if self._standby is not None:
            orders.extend(
                Move(host.name, self._standby)
                for host in free
                if host.service != self._standby and host.name not in due
            )
        return orders

    def _pick(self, free, service):
        for host in free:
            if host.service != service:
                return host
        return None

    def _wanting_services(self):
        """Return services that want hosts, the ones with the fewest first."""
        wanting = [s for s, report in self._reports.items() if report.wanted > 0]
        return sorted(wanting, key=lambda s: self._reports[s].hosts)

    def _arriving(self, service):
        return sum(
            isinstance(pending.order, Move) and pending.order.service == service
            for pending in self._pending.values()
        )

    def hosts_to_empty(self):
        """Return the hosts that their pools should empty for maintenance now."""
        chosen = []
        for wave in self._waves:
            room = wave.max_down
            per_pool = {}
            for host in self.due_hosts(wave):
                if room <= 0:
                    break
                if host.service == self._standby or host.state != HostState.UP:
                    continue
                if per_pool.get(host.service, 0) >= EMPTYING_PER_POOL:
                    continue
                per_pool[host.service] = per_pool.get(host.service, 0) + 1
                chosen.append(host.name)
                room -= 1
        return tuple(chosen)
