"""Health of endpoints: pauses after failures, ejection, probes and readmission."""

import enum
import heapq
import itertools
from dataclasses import dataclass

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import SendOutcome

# An endpoint that answers a third of its requests well never reaches the limit,
# because a success takes back twice what a failure adds.
EJECT_SCORE = 4.0
SUCCESS_CREDIT = 2.0
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# An endpoint that stayed healthy this long starts again with short ejections.
FORGIVE_S = 60.0
MAX_EJECTED_SHARE = 3
UNLIMITED = 1 << 30

FAILURE_WEIGHTS = {
    SendOutcome.FAILED: 1.0,
    SendOutcome.CONNECT_FAILED: 2.0,
    SendOutcome.SILENT: 2.0,
    SendOutcome.RESET: 1.0,
    SendOutcome.INCOMPLETE: 1.0,
    # A request that outlives its deadline is mostly the request's own doing.
    SendOutcome.TIMEOUT: 0.25,
}


class HealthState(enum.StrEnum):
    """How far an endpoint is trusted."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBED = "probed"


@dataclass(slots=True)
class EndpointHealth:
    """
    The health of one endpoint.

    ``limit`` bounds its requests in flight. It takes no new work while ``until`` is
    set, be it paused or ejected; waking it sets it to zero.
    """

    state: HealthState = HealthState.HEALTHY
    score: float = 0.0
    limit: int = UNLIMITED
    until: float = 0.0
    pause_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    readmitted: float = 0.0


class KindFailures:
    """
    The share of failures of a kind of request over all endpoints.

    It keeps requests that fail wherever they run from ejecting good endpoints.
    """

    WEIGHT = 0.05
    MAX_KINDS = 4096

    def __init__(self):
        self._shares = {}

    def add(self, request, failed):
        """Learn from one send and return the blame of its endpoint, 0 to 1."""
        key = (request.service, request.organisation, request.kind)
        share = self._shares.get(key, 0.0)
        if share == 0.0 and not failed:
            return 0.0
        if len(self._shares) >= self.MAX_KINDS and key not in self._shares:
            self._shares.clear()
        share += self.WEIGHT * (failed - share)
        self._shares[key] = share if share > 0.001 else 0.0
        # Up to two thirds, as when two thirds of the endpoints fail, endpoints
        # carry the full blame.
        return min(3 * (1 - share), 1.0)


class Ejections:
    """The health of the endpoints of one service, by name."""

    def __init__(self):
        self._health = {}
        self._ejected = 0
        self._timers = []
        self._numbers = itertools.count()

    @property
    def ejected(self):
        """The number of endpoints that are ejected or probed."""
        return self._ejected

    def health(self, name):
        """Return the EndpointHealth of an endpoint."""
        return self._health[name]

    def set_endpoints(self, names):
        """Keep the health of the endpoints that stay, start others as healthy."""
        self._health = {
            name: self._health.get(name) or EndpointHealth() for name in names
        }
        self._ejected = sum(
            health.state is not HealthState.HEALTHY for health in self._health.values()
        )

    def wake(self, now):
        """Return the names of endpoints whose pause or ejection has ended."""
        woken = []
        while self._timers and self._timers[0][0] <= now:
            _, _, name = heapq.heappop(self._timers)
            health = self._health.get(name)
            if health is None or health.until > now:
                continue
            health.until = 0.0
            if health.state is HealthState.EJECTED:
                health.state = HealthState.PROBED
                health.limit = 1
            woken.append(name)
        return woken

    def observe(self, name, result, blame, now):
        """Learn from one send that ended; return whether the health changed."""
        health = self._health.get(name)
        if health is None:
            return False
        if result.outcome is SendOutcome.OK:
            if health.score == 0.0 and health.limit == UNLIMITED:
                return False
            self._succeed(health, now)
            return True
        # An old connection that went silent says nothing of new ones.
        if result.outcome is SendOutcome.SILENT and not result.fresh:
            return False
        if health.state is HealthState.PROBED:
            if blame > 0.5 or result.run_state is RunState.NOT_RUN:
                self._eject(name, health, now)
        elif health.state is HealthState.HEALTHY:
            self._fail(name, health, result, blame, now)
        return True

    def _succeed(self, health, now):
        health.score = max(health.score - SUCCESS_CREDIT, 0.0)
        if health.state is HealthState.PROBED:
            # Doubling per success reaches eight slots after three successes.
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
        health.readmitted = now
        self._ejected -= 1

    def _fail(self, name, health, result, blame, now):
        weight = FAILURE_WEIGHTS[result.outcome]
        if result.run_state is not RunState.NOT_RUN:
            weight *= blame
        health.score = min(health.score + weight, 2 * EJECT_SCORE)
        if health.score >= EJECT_SCORE:
            if self._ejected < len(self._health) // MAX_EJECTED_SHARE:
                self._ejected += 1
                self._eject(name, health, now)
            else:
                # No more endpoints may be ejected; this one gets a request at a
                # time, with pauses, so that failing at once attracts no work.
                health.limit = 1
                self._pause(name, health, now)
        elif result.outcome is SendOutcome.CONNECT_FAILED:
            self._pause(name, health, now)

    def _pause(self, name, health, now):
        health.pause_s = min(max(2 * health.pause_s, FIRST_PAUSE_S), MAX_PAUSE_S)
        self._stop_until(name, health, now + health.pause_s)

    def _eject(self, name, health, now):
        healthy = health.state is HealthState.HEALTHY
        if healthy and now - health.readmitted > FORGIVE_S:
            health.ejection_s = FIRST_EJECTION_S
        health.state = HealthState.EJECTED
        health.limit = 0
        self._stop_until(name, health, now + health.ejection_s)
        health.ejection_s = min(2 * health.ejection_s, MAX_EJECTION_S)

    def _stop_until(self, name, health, instant):
        health.until = max(health.until, instant)
        heapq.heappush(self._timers, (health.until, next(self._numbers), name))
