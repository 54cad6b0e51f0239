"""The drains of a request replay: hosts that leave, empty themselves and return."""

DRAIN_NOTICE_S = (0.2, 1.5)
DRAIN_CHECK_S = 0.5


class DrainsMixin:
    """The part of RequestReplay that takes hosts out of service and back."""

    def _drain(self, drain):
        self._leaving[drain.host] = self.now
        for entry in self._entries.values():
            delay = self._random.uniform(*DRAIN_NOTICE_S)
            self.schedule(self.now + delay, self._notice_drain, entry, drain.host)
        self.schedule(self.now + DRAIN_NOTICE_S[1], self._check_drained, drain)

    def _notice_drain(self, entry, host):
        if not entry.up or self._defer(entry, self._notice_drain, entry, host):
            return
        entry.known_leaving.add(host)
        self._carry_out(entry, entry.decisions.mark_leaving(host))
        # The fleet view of a real entry host confirms the sign at once; a sign alone
        # expires after some seconds.
        self.send_fleet(entry)

    def _check_drained(self, drain):
        busy = any(
            endpoint.sends or endpoint.running(self.now)
            for endpoint in self.endpoints_where(lambda e: e.host == drain.host)
        )
        told = all(drain.host in e.known_leaving for e in self._entries.values())
        if (busy or not told) and self._running():
            self.schedule(self.now + DRAIN_CHECK_S, self._check_drained, drain)
            return
        self._away.add(drain.host)
        self.schedule(self.now + drain.duration_s, self._return_host, drain)

    def _return_host(self, drain):
        self._away.discard(drain.host)
        self._leaving.pop(drain.host, None)
        if drain.target is not None:
            self._pools[drain.host] = drain.target
        for entry in self._entries.values():
            entry.known_leaving.discard(drain.host)
            self.send_fleet(entry)
