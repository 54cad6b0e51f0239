"""The drains of a request replay: hosts leave service, become idle and return."""

DRAIN_NOTICE_DELAY_RANGE_S = (0.2, 1.5)
DRAIN_CHECK_INTERVAL_S = 0.5


class DrainsMixin:
    """The part of RequestReplay that takes hosts out of service and back."""

    def _drain(self, drain):
        self._drain_started[drain.host] = self.now
        for entry in self._entries.values():
            delay = self._random.uniform(*DRAIN_NOTICE_DELAY_RANGE_S)
            self.schedule(self.now + delay, self._notify_drain, entry, drain.host)
        self.schedule(
            self.now + DRAIN_NOTICE_DELAY_RANGE_S[1], self._check_drained, drain
        )

    def _notify_drain(self, entry, host):
        if not entry.up or self._postpone_if_paused(
            entry, self._notify_drain, entry, host
        ):
            return
        entry.known_leaving.add(host)
        self._apply_decisions(entry, entry.decisions.mark_leaving(host))
        # The effect of mark_leaving() alone expires after some seconds. The fleet view
        # of a real entry host confirms it at once, so the fleet is sent here as well.
        self.send_fleet(entry)

    def _check_drained(self, drain):
        busy = any(
            endpoint.sends or endpoint.slots_in_use(self.now)
            for endpoint in self.endpoints_where(lambda e: e.host == drain.host)
        )
        all_notified = all(
            drain.host in e.known_leaving for e in self._entries.values()
        )
        if (busy or not all_notified) and self._is_running():
            self.schedule(self.now + DRAIN_CHECK_INTERVAL_S, self._check_drained, drain)
            return
        self._absent_hosts.add(drain.host)
        self.schedule(self.now + drain.duration_s, self._return_host, drain)

    def _return_host(self, drain):
        self._absent_hosts.discard(drain.host)
        self._drain_started.pop(drain.host, None)
        if drain.target is not None:
            self._pools[drain.host] = drain.target
        for entry in self._entries.values():
            entry.known_leaving.discard(drain.host)
            self.send_fleet(entry)
