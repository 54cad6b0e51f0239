"""The entry hosts of a request replay: restarts, periodic work and demand reports."""

import random

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import EndpointEntry, PeerDemand

TICK_INTERVAL_S = 0.1
PEER_UPDATE_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_RANGE_S = (0.05, 0.35)
PEER_TIMEOUT_S = 5.0
GRANT_LIFETIME_S = 3.0


class EntriesMixin:
    """The part of RequestReplay that runs entry hosts and sends them the fleet."""

    def _start_entry(self, entry):
        seed = f"{self._seed}/{entry.name}/{entry.incarnation}"
        entry.decisions = self._decisions_factory(
            self.clock, random.Random(seed), entry.name, entry.data_centre
        )
        entry.up = True
        self.send_fleet(entry)
        now = self.now
        loops = (
            (TICK_INTERVAL_S, self._tick),
            (PEER_UPDATE_INTERVAL_S, self._update_peers),
            (REPORT_INTERVAL_S, self._send_report),
        )
        for period, callback in loops:
            phase = self._random.uniform(0, period)
            self.schedule(now + phase, callback, entry, entry.incarnation)

    def restart_entry(self, entry, down_s):
        """Stop an entry host, which loses its requests, for ``down_s`` seconds."""
        entry.up = False
        entry.incarnation += 1
        for request_id in list(entry.open_requests):
            self._end_request(request_id, "entry_lost", RunState.UNKNOWN)
        entry.idle_connections.clear()
        entry.peer_reports.clear()
        self.schedule(self.now + down_s, self._start_entry, entry)

    def entries(self):
        """Return all entry hosts."""
        return list(self._entries.values())

    def entry(self, name):
        """Return an entry host by name."""
        return self._entries[name]

    def send_fleet(self, entry):
        """Send an entry host the list of endpoints that it may use."""
        if not entry.up:
            return
        endpoints = [
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
            if not self.is_cut(
                entry.data_centre, endpoint.data_centre, GRANT_LIFETIME_S
            )
        ]
        self._apply_decisions(
            entry, entry.decisions.set_fleet(self.manifest, endpoints)
        )

    def _postpone_if_paused(self, entry, callback, *arguments):
        """Postpone a call while the entry host is paused; return whether it is."""
        if self.now < entry.paused_until:
            self.schedule(entry.paused_until, callback, *arguments)
            return True
        return False

    def _is_current(self, entry, incarnation):
        return entry.up and entry.incarnation == incarnation and self._is_running()

    def _tick(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if not self._postpone_if_paused(entry, self._tick, entry, incarnation):
            self._apply_decisions(entry, entry.decisions.tick())
            self.schedule(self.now + TICK_INTERVAL_S, self._tick, entry, incarnation)

    def _update_peers(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if self._postpone_if_paused(entry, self._update_peers, entry, incarnation):
            return
        demand = {service: [] for service in self.manifest.services}
        for name, (received, data_centre, report) in sorted(entry.peer_reports.items()):
            age = self.now - received
            if age > PEER_TIMEOUT_S:
                continue
            for service, (queued, in_flight) in report.items():
                demand[service].append(
                    PeerDemand(name, data_centre, queued, in_flight, age)
                )
        self._apply_decisions(entry, entry.decisions.set_peers(demand))
        self.schedule(
            self.now + PEER_UPDATE_INTERVAL_S, self._update_peers, entry, incarnation
        )

    def _send_report(self, entry, incarnation, report_number=0):
        if not self._is_current(entry, incarnation):
            return
        if self._postpone_if_paused(
            entry, self._send_report, entry, incarnation, report_number
        ):
            return
        if self.now >= entry.reports_stopped_until:
            report = entry.decisions.demand()
            for peer in self._entries.values():
                local = peer.data_centre == entry.data_centre
                # Reports to other data centres are sent at half the rate.
                if peer is entry or (report_number % 2 and not local):
                    continue
                if not self.is_cut(entry.data_centre, peer.data_centre):
                    delay = self._random.uniform(*REPORT_DELAY_RANGE_S)
                    self.schedule(
                        self.now + delay, self._receive_report, peer, entry, report
                    )
        self.schedule(
            self.now + REPORT_INTERVAL_S,
            self._send_report,
            entry,
            incarnation,
            report_number + 1,
        )

    def _receive_report(self, peer, sender, report):
        peer.peer_reports[sender.name] = (self.now, sender.data_centre, report)
