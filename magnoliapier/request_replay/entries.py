"""The entry hosts of a request replay: their restarts, periodic work and reports."""

import random

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import EndpointEntry, PeerDemand

TICK_S = 0.1
VIEW_S = 0.25
REPORT_S = 0.5
REPORT_DELAY_S = (0.05, 0.35)
PEER_DEAD_S = 5.0
GRANT_S = 3.0


class EntriesMixin:
    """The part of RequestReplay that runs entry hosts and tells them the fleet."""

    def _start_entry(self, entry):
        seed = f"{self._seed}/{entry.name}/{entry.incarnation}"
        entry.decisions = self._factory(
            self.clock, random.Random(seed), entry.name, entry.data_centre
        )
        entry.up = True
        self.send_fleet(entry)
        now = self.now
        loops = ((TICK_S, self._tick), (VIEW_S, self._view), (REPORT_S, self._report))
        for period, call in loops:
            phase = self._random.uniform(0, period)
            self.schedule(now + phase, call, entry, entry.incarnation)

    def restart_entry(self, entry, duration):
        """Lose all requests of an entry host and start it again later."""
        entry.up = False
        entry.incarnation += 1
        for request_id in list(entry.open):
            self._end(request_id, "entry_lost", RunState.UNKNOWN)
        entry.idle.clear()
        entry.reports.clear()
        self.schedule(self.now + duration, self._start_entry, entry)

    def entries(self):
        """Return all entry hosts."""
        return list(self._entries.values())

    def entry(self, name):
        """Return an entry host by name."""
        return self._entries[name]

    def send_fleet(self, entry):
        """Tell an entry host the endpoints that it may use."""
        if not entry.up:
            return
        views = [
            EndpointEntry(
                name=endpoint.name,
                service=endpoint.service,
                host=endpoint.host,
                data_centre=endpoint.data_centre,
                address=endpoint.address,
                slots=endpoint.slots,
                leaving=endpoint.host in entry.known_leaving,
            )
            for endpoint in self._present_endpoints()
            if not self.is_cut(entry.data_centre, endpoint.data_centre, GRANT_S)
        ]
        self._carry_out(entry, entry.decisions.set_fleet(self.manifest, views))

    def _defer(self, entry, call, *arguments):
        """Postpone a call while the entry host is paused; return whether it is."""
        if self.now < entry.paused_until:
            self.schedule(entry.paused_until, call, *arguments)
            return True
        return False

    def _is_current(self, entry, incarnation):
        return entry.up and entry.incarnation == incarnation and self._running()

    def _tick(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if not self._defer(entry, self._tick, entry, incarnation):
            self._carry_out(entry, entry.decisions.tick())
            self.schedule(self.now + TICK_S, self._tick, entry, incarnation)

    def _view(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if self._defer(entry, self._view, entry, incarnation):
            return
        demand = {service: [] for service in self.manifest.services}
        for name, (received, data_centre, report) in sorted(entry.reports.items()):
            age = self.now - received
            if age > PEER_DEAD_S:
                continue
            for service, (queued, in_flight) in report.items():
                demand[service].append(
                    PeerDemand(name, data_centre, queued, in_flight, age)
                )
        self._carry_out(entry, entry.decisions.set_peers(demand))
        self.schedule(self.now + VIEW_S, self._view, entry, incarnation)

    def _report(self, entry, incarnation, beat=0):
        if not self._is_current(entry, incarnation):
            return
        if self._defer(entry, self._report, entry, incarnation, beat):
            return
        if self.now >= entry.reports_stopped_until:
            report = entry.decisions.demand()
            for peer in self._entries.values():
                local = peer.data_centre == entry.data_centre
                # Heartbeats across data centres go at half the rate.
                if peer is entry or (beat % 2 and not local):
                    continue
                if not self.is_cut(entry.data_centre, peer.data_centre):
                    delay = self._random.uniform(*REPORT_DELAY_S)
                    self.schedule(self.now + delay, self._receive, peer, entry, report)
        self.schedule(self.now + REPORT_S, self._report, entry, incarnation, beat + 1)

    def _receive(self, peer, sender, report):
        peer.reports[sender.name] = (self.now, sender.data_centre, report)
