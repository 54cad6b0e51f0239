"""
Track the health of endpoints and eject those that fail.

A failing endpoint is paused or ejected, then probed, and readmitted after successes.
"""

import enum
import heapq
import itertools
from dataclasses import dataclass

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import SendOutcome

# Failure score at which an endpoint is ejected. A success subtracts twice what a failed
# response adds, so the score rises steadily only if more than two thirds of the
# requests fail.
EJECT_SCORE = 4.0
SUCCESS_CREDIT = 2.0
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# The ejection time of an endpoint starts again from FIRST_EJECTION_S if the endpoint
# stayed healthy this long.
EJECTION_RESET_S = 60.0
# At most one endpoint in this many may be ejected.
ENDPOINTS_PER_EJECTION = 3
UNLIMITED = 1 << 30

FAILURE_WEIGHTS = {
    SendOutcome.FAILED: 1.0,
    SendOutcome.CONNECT_FAILED: 2.0,
    SendOutcome.SILENT: 2.0,
    SendOutcome.RESET: 1.0,
    SendOutcome.INCOMPLETE: 1.0,
    # A timeout is mostly caused by the request itself and not by the endpoint.
    SendOutcome.TIMEOUT: 0.25,
}


class HealthState(enum.StrEnum):
    """Whether an endpoint is in normal use, ejected, or being probed."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBED = "probed"


@dataclass(slots=True)
class EndpointHealth:
    """
    The health of one endpoint.

    ``limit`` is the greatest number of requests in flight. A paused or ejected endpoint
    gets no new work until the time ``until``; ``resume_endpoints`` then sets it to
    zero. ``pause_s`` is the last pause and ``ejection_s`` the next ejection time, in
    seconds.
    """

    state: HealthState = HealthState.HEALTHY
    score: float = 0.0
    limit: int = UNLIMITED
    until: float = 0.0
    pause_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    readmitted_at: float = 0.0


class KindFailures:
    """
    The recent share of failed sends for each kind of request, over all endpoints.

    It prevents requests that fail on every endpoint from ejecting good endpoints.
    """

    WEIGHT = 0.05
    MAX_KINDS = 4096

    def __init__(self):
        self._shares = {}

    def add(self, request, failed):
        """
        Record one send and return the blame of its endpoint.

        The blame, from 0 to 1, is the weight with which a failure counts against the
        endpoint. The more often the kind fails everywhere, the lower it is.
        """
        key = (request.service, request.organisation, request.kind)
        share = self._shares.get(key, 0.0)
        if share == 0.0 and not failed:
            return 0.0
        if len(self._shares) >= self.MAX_KINDS and key not in self._shares:
            self._shares.clear()
        share += self.WEIGHT * (failed - share)
        self._shares[key] = share if share > 0.001 else 0.0
        # A failure share of up to two thirds may be caused by the endpoints, if two
        # thirds of them fail; up to there they get the full blame.
        return min(3 * (1 - share), 1.0)


class Ejections:
    """The health of the endpoints of one service, by name."""

    def __init__(self):
        self._health = {}
        self._ejected = 0
        self._timers = []
        self._sequence = itertools.count()

    @property
    def ejected(self):
        """The number of endpoints that are ejected or probed."""
        return self._ejected

    def health(self, name):
        """Return the EndpointHealth of the endpoint with this name."""
        return self._health[name]

    def set_endpoints(self, names):
        """Replace the endpoints; new ones start healthy, others keep their health."""
        self._health = {
            name: self._health.get(name) or EndpointHealth() for name in names
        }
        self._ejected = sum(
            health.state is not HealthState.HEALTHY for health in self._health.values()
        )

    def resume_endpoints(self, now):
        """
        End the pauses and ejections that are due; return the names of the endpoints.

        An endpoint that was ejected is probed next, with one request in flight.
        """
        resumed = []
        while self._timers and self._timers[0][0] <= now:
            _, _, name = heapq.heappop(self._timers)
            health = self._health.get(name)
            if health is None or health.until > now:
                continue
            health.until = 0.0
            if health.state is HealthState.EJECTED:
                health.state = HealthState.PROBED
                health.limit = 1
            resumed.append(name)
        return resumed

    def observe(self, name, result, blame, now):
        """
        Update an endpoint's health after a send; return whether it may have changed.

        ``blame`` is the result of :meth:`KindFailures.add`.
        """
        health = self._health.get(name)
        if health is None:
            return False
        if result.outcome is SendOutcome.OK:
            if health.score == 0.0 and health.limit == UNLIMITED:
                return False
            self._record_success(health, now)
            return True
        # Silence on a reused connection says nothing about new connections.
        if result.outcome is SendOutcome.SILENT and not result.fresh:
            return False
        if health.state is HealthState.PROBED:
            if blame > 0.5 or result.run_state is RunState.NOT_RUN:
                self._eject(name, health, now)
        elif health.state is HealthState.HEALTHY:
            self._record_failure(name, health, result, blame, now)
        return True

    def _record_success(self, health, now):
        health.score = max(health.score - SUCCESS_CREDIT, 0.0)
        if health.state is HealthState.PROBED:
            # The limit doubles with each success, from one to eight after three.
            health.limit *= 2
            if health.limit >= 8:
                self._readmit(health, now)
        elif health.state is HealthState.HEALTHY and health.score == 0.0:
            health.limit = UNLIMITED
            health.pause_s = 0.0

    def _readmit(self, health, now):
        health.state = HealthState.HEALTHY
        health.limit = UNLIMITED
        health.score = 0.0
        health.readmitted_at = now
        self._ejected -= 1

    def _record_failure(self, name, health, result, blame, now):
        weight = FAILURE_WEIGHTS[result.outcome]
        if result.run_state is not RunState.NOT_RUN:
            weight *= blame
        health.score = min(health.score + weight, 2 * EJECT_SCORE)
        if health.score >= EJECT_SCORE:
            if self._ejected < len(self._health) // ENDPOINTS_PER_EJECTION:
                self._ejected += 1
                self._eject(name, health, now)
            else:
                # No more endpoints may be ejected. This one gets one request at a
                # time, with pauses; otherwise its fast failures would make it look
                # idle and attract further requests.
                health.limit = 1
                self._pause(name, health, now)
        elif result.outcome is SendOutcome.CONNECT_FAILED:
            self._pause(name, health, now)

    def _pause(self, name, health, now):
        health.pause_s = min(max(2 * health.pause_s, FIRST_PAUSE_S), MAX_PAUSE_S)
        self._block_until(name, health, now + health.pause_s)

    def _eject(self, name, health, now):
        healthy = health.state is HealthState.HEALTHY
        if healthy and now - health.readmitted_at > EJECTION_RESET_S:
            health.ejection_s = FIRST_EJECTION_S
        health.state = HealthState.EJECTED
        health.limit = 0
        self._block_until(name, health, now + health.ejection_s)
        health.ejection_s = min(2 * health.ejection_s, MAX_EJECTION_S)

    def _block_until(self, name, health, instant):
        health.until = max(health.until, instant)
        heapq.heappush(self._timers, (health.until, next(self._sequence), name))
