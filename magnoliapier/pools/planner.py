"""
The choice of the hosts to move or maintain next.

Hosts in the standby pool cost nothing, so pools release hosts that they do not need and
get hosts back on request. Maintenance starts with the hosts that are free, and asks
pools to empty the others a few at a time.

An order that takes no effect is held back for a while. Its host goes back to the pool
that released it, and the others are ordered meanwhile.
"""

from collections import Counter

from magnoliapier.pools.crashes import CrashDetector
from magnoliapier.pools.hosts import HostState
from magnoliapier.pools.order_retries import (
    MAX_AWAY_DELAY_S,
    MAX_DELAY_S,
    OrderRetries,
)
from magnoliapier.pools.orders import ORDER_TIMEOUT_S, Maintain, Move, PendingOrder
from magnoliapier.pools.releases import Releases

MAX_EMPTYING_PER_POOL = 2  # hosts of one pool that are emptied at once
EMPTYING_TURN_S = 20.0  # long enough for the tasks of most hosts to end or to move
# A host that is empty waits so long for a repeated order, as emptying it again takes
# longer, and is then used again until the next attempt.
EMPTY_HOST_WAIT_S = 2.0
MAYBE_MAINTAINED = (HostState.UPKEEP, HostState.UNKNOWN)


class FleetPlanner:
    """
    Chooses orders from the host list and the pools' reports.

    Does no I/O and reads no clock; times are seconds on a monotonic clock.

    ``maintained`` and ``returned`` are those of the FleetPlan, and ``retries`` are the
    OrderRetries of this holder and of former ones.
    """

    def __init__(self, maintained=None, returned=None, retries=None):
        self.maintained = {
            wave: set(hosts) for wave, hosts in (maintained or {}).items()
        }
        self._releases = Releases(returned)
        self._retries = retries or OrderRetries()
        self._crashes = CrashDetector()
        self._pending = {}
        self._emptying_since = {}
        self._hosts = {}
        self._reports = {}
        self._waves = ()
        self._standby = None
        self._barred = ()
        self._now = 0.0

    def update(
        self,
        hosts,
        reports,
        waves,
        standby,
        now,
        barred=(),
        listed_ms=0,
        listed_at=None,
    ):
        """
        Replace the known state and drop pending orders that took effect or timed out.

        ``hosts`` is None while the platform does not list them; the last list stands
        then. ``reports`` maps services to their pools' reports, ``standby`` names the
        standby pool, and ``barred`` names hosts for which no order may be sent yet.
        ``listed_ms`` is a time on the table's clock before the list was requested, at
        ``listed_at``, by default ``now``.
        """
        if hosts is not None:
            self._crashes.update(hosts, self._pending, now, listed_ms)
            self._hosts = {host.name: host for host in hosts}
        self._reports = reports
        self._releases.update(reports)
        self._waves = waves
        self._standby = standby
        self._barred = barred
        self._now = now
        self._settle_orders(now if listed_at is None else listed_at)
        if hosts is not None:
            self._retries.forget(self._hosts, now)
            self._releases.forget(host.endpoint_id for host in hosts)
        self._end_turns()

    def _end_turns(self):
        """
        Let hosts that could not be emptied in their turn come after those that wait.

        Their tasks may fit nowhere else, whatever their pool does.
        """
        chosen = self._orders_after_emptying()
        since = self._emptying_since
        self._emptying_since = {order: since.get(order, self._now) for order in chosen}
        waiting = sum(len(self._emptiable_hosts(wave)) for wave in self._waves)
        for order in chosen if waiting > len(chosen) else ():
            if self._now - self._emptying_since[order] >= EMPTYING_TURN_S:
                del self._emptying_since[order]
                self._hold_back(order, False, self._now)

    def _settle_orders(self, listed_at):
        """Drop the pending orders that took effect, or had none."""
        for name, pending in list(self._pending.items()):
            host = self._hosts.get(name)
            if host is not None:
                self._record_seen_maintenance(host, pending.order)
            if host is None or self._is_settled(host, pending, listed_at):
                del self._pending[name]

    def _record_seen_maintenance(self, host, order):
        """
        Count the maintenance of a host as started if the host list shows it.

        The answer to the order may have been lost. A host that is up again with another
        endpoint proves nothing, because it may have crashed.
        """
        if host.state == HostState.UPKEEP and isinstance(order, Maintain):
            self.record_maintenance_start(order)

    def _is_settled(self, host, pending, listed_at):
        if pending.took_effect_on(host):
            self._retries.record_effect(pending.order)
            return True
        timed_out = self._now - pending.ordered_at > ORDER_TIMEOUT_S
        is_as_before = (
            host.state == HostState.UP and host.endpoint_id == pending.endpoint_id
        )
        if not is_as_before or self._is_maintained(pending.order):
            return timed_out
        if not timed_out and not pending.had_no_effect(listed_at):
            return False
        self._hold_back(pending.order, pending.unanswered_at is not None, self._now)
        return True

    def _is_maintained(self, order):
        """Return whether an order's host is known to be maintained in its wave."""
        if not isinstance(order, Maintain):
            return False
        return order.host in self.maintained.get(order.wave, ())

    def _hold_back(self, order, away, now):
        # Emptying a host again costs its pool more than a late repetition.
        soon = away and isinstance(order, Move)
        max_delay_s = MAX_AWAY_DELAY_S if soon else MAX_DELAY_S
        self._retries.record_failure(order, now, max_delay_s)

    def record_order(self, order, now):
        """Record an order as pending, whether or not it gets a response."""
        host = self._hosts[order.host]
        self._pending[order.host] = PendingOrder(order, host.endpoint_id, now)

    def withdraw(self, order):
        """Record that an order was not sent and is not pending any more."""
        self._pending.pop(order.host, None)

    def record_failure(self, order, now, away=False):
        """
        Record that an order had no effect, and hold it back.

        ``away`` is whether the platform did not take it and may at any moment.
        """
        self._pending.pop(order.host, None)
        self._hold_back(order, away, now)

    def record_unanswered(self, order, now):
        """Record that the call of an order ended without an answer."""
        pending = self._pending.get(order.host)
        if pending is not None:
            pending.unanswered_at = now

    def record_maintenance_start(self, order):
        """Record that the platform has accepted the maintenance of a host."""
        self.maintained.setdefault(order.wave, set()).add(order.host)
        self._retries.record_effect(order)

    @property
    def returned(self):
        """Return the numbers of the returned releases, by endpoint."""
        return self._releases.returned

    @property
    def has_pending(self):
        """Return whether any order is pending."""
        return bool(self._pending)

    @property
    def crashed(self):
        """Return the endpoints whose hosts went down recently without an order."""
        return self._crashes.crashed

    @property
    def last_up_ms(self):
        """Return when they were last up, in ms on the table's clock."""
        return self._crashes.last_up_ms

    def due_hosts(self, wave):
        """Return the listed hosts of a wave whose maintenance has not started."""
        started = self.maintained.get(wave.number, ())
        return [
            self._hosts[name]
            for name in wave.hosts
            if name in self._hosts and name not in started
        ]

    def _hosts_in_turn(self, wave):
        """
        Return the due hosts of a wave that may be emptied for it now.

        A host whose order keeps failing is left out until the order may be repeated, so
        that its pool can use it and others come before it.
        """
        in_turn = []
        for host in self.due_hosts(wave):
            order = Maintain(host.name, wave.number)
            failing_s = self._retries.failing_for_s(order, self._now)
            if self._may_send(order) or failing_s < EMPTY_HOST_WAIT_S:
                in_turn.append(host)
        return in_turn

    def _awaiting_maintenance(self):
        """Return the names of the hosts that may be emptied for a wave now."""
        return {host.name for wave in self._waves for host in self._hosts_in_turn(wave)}

    def wave_completed(self, wave):
        """Return whether the maintenance of every listed host has started."""
        return bool(self._hosts) and not self.due_hosts(wave)

    def orders(self):
        """
        Return the orders to send now, those first that failed least.

        Among equals maintenance comes first.
        """
        orders = self._maintenance_orders()
        ordered_hosts = {order.host for order in orders}
        orders.extend(self._move_orders(ordered_hosts))
        return sorted(orders, key=self._retries.failures)

    def _is_free(self, host):
        """Return whether a host may be ordered now and no task runs on it."""
        if host.state != HostState.UP or host.name in self._pending:
            return False
        if host.name in self._barred:
            return False
        if host.service == self._standby:
            return True
        return self._releases.is_open(host)

    def _may_send(self, order):
        return not self._retries.holds_back(order, self._now)

    def _maintenance_orders(self):
        orders = []
        for wave in self._waves:
            allowed = wave.max_down - self._down_count(wave)
            for host in self.due_hosts(wave):
                order = Maintain(host.name, wave.number)
                if allowed > 0 and self._is_free(host) and self._may_send(order):
                    orders.append(order)
                    allowed -= 1
        return orders

    def _down_count(self, wave):
        # A former holder may have started the maintenance of a barred host.
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
            and (self._hosts[name].state in MAYBE_MAINTAINED or name in barred)
        )
        return ordered + listed

    def _move_orders(self, ordered_hosts):
        free = [
            host
            for host in self._hosts.values()
            if host.name not in ordered_hosts and self._is_free(host)
        ]
        due = self._awaiting_maintenance()
        free.sort(key=lambda host: (host.name in due, host.service == self._standby))
        orders = []
        for service in self._services_wanting_hosts():
            for need in self._reports[service].further_needs:
                lacking = need.count - self._count_arriving(service, need)
                orders += self._take(free, service, lacking, need)
            wanted = self._reports[service].wanted - self._count_arriving(service)
            orders += self._take(free, service, wanted)
        orders += self._give_up(host for host in free if host.name not in due)
        return orders

    def _give_up(self, hosts):
        """
        Return moves to the standby pool; return other hosts to their pools.

        A host whose maintenance is held back may have been released for that only.
        """
        due = {host.name for wave in self._waves for host in self.due_hosts(wave)}
        orders = []
        for host in hosts:
            order = Move(host.name, self._standby)
            if host.service == self._standby:
                continue
            may_move = self._standby is not None and self._may_send(order)
            if may_move and host.name not in due:
                orders.append(order)
            else:
                self._releases.give_back(host)
        return orders

    def return_overdue(self, table_ms):
        """
        Return releases that no order has followed, also of hosts that are not listed.

        ``table_ms`` is a lower bound of the present time on the table's clock, 0 if
        unknown. Hosts that wait for their maintenance stay released unless their pool
        wants hosts.
        """
        awaiting = self._awaiting_maintenance()

        def may_wait(service, endpoint_id, host):
            if host in self._pending or host in self._barred:
                return True
            if self._has_left(service, endpoint_id, host):
                return True
            return host in awaiting and not self._wants_hosts(service)

        self._releases.give_back_overdue(table_ms, may_wait)

    def _has_left(self, service, endpoint_id, name):
        """Return whether a host is listed as one on which the endpoint has ended."""
        host = self._hosts.get(name)
        if host is None or host.state == HostState.UNKNOWN:
            return False
        if host.state != HostState.UP or host.service != service:
            return True
        return host.endpoint_id not in ("", endpoint_id)

    def _take(self, free, service, count, need=None):
        """
        Remove up to ``count`` hosts of other pools from ``free``; return their moves.

        With a HostNeed, only hosts that meet it are taken.
        """
        taken = [
            host
            for host in free
            if host.service != service
            and (need is None or need.is_met_by(host))
            and self._may_send(Move(host.name, service))
        ][: max(0, count)]
        for host in taken:
            free.remove(host)
        return [Move(host.name, service) for host in taken]

    def _services_wanting_hosts(self):
        """Return the services that want hosts, those with the fewest hosts first."""
        wanting = [service for service in self._reports if self._wants_hosts(service)]
        return sorted(wanting, key=lambda s: self._reports[s].hosts)

    def _wants_hosts(self, service):
        report = self._reports[service]
        return report.wanted > 0 or bool(report.further_needs)

    def _count_arriving(self, service, need=None):
        """Return how many hosts move to a pool, with a HostNeed those that meet it."""
        return sum(
            isinstance(pending.order, Move)
            and pending.order.service == service
            and (need is None or need.is_met_by(self._hosts[name]))
            for name, pending in self._pending.items()
        )

    def failed_orders(self):
        """Return the FailedOrders that a successor must know, by host."""
        return self._retries.to_store()

    def kept(self):
        """Return the endpoints whose hosts can be moved to no pool now, sorted."""
        return tuple(
            sorted(
                host.endpoint_id
                for host in map(self._hosts.get, self._retries.hosts)
                if host is not None and host.endpoint_id and self._is_kept(host)
            )
        )

    def _is_kept(self, host):
        pools = [service for service in self._reports if self._wants(service, host)]
        if self._standby is not None:
            pools.append(self._standby)
        moves = [Move(host.name, pool) for pool in pools if pool != host.service]
        return bool(moves) and not any(map(self._may_send, moves))

    def _wants(self, service, host):
        """Return whether a pool could use a host."""
        report = self._reports[service]
        needs = report.further_needs
        return report.wanted > 0 or any(need.is_met_by(host) for need in needs)

    def hosts_to_empty(self):
        """Return the names of hosts that pools should empty for maintenance now."""
        return tuple(order.host for order in self._orders_after_emptying())

    def _orders_after_emptying(self):
        """Return the orders for which hosts should be emptied now."""
        orders = []
        for wave in self._waves:
            per_pool = Counter()
            in_wave = []
            for host in self._emptiable_hosts(wave):
                if len(in_wave) >= wave.max_down:
                    break
                if per_pool[host.service] < MAX_EMPTYING_PER_POOL:
                    per_pool[host.service] += 1
                    in_wave.append(Maintain(host.name, wave.number))
            orders += in_wave
        return orders

    def _emptiable_hosts(self, wave):
        """Return the hosts of a wave to empty, those first that are being emptied."""
        hosts = [
            host
            for host in self._hosts_in_turn(wave)
            if host.service != self._standby and host.state == HostState.UP
        ]

        def rank(host):
            order = Maintain(host.name, wave.number)
            return order not in self._emptying_since, self._retries.failures(order)

        return sorted(hosts, key=rank)
