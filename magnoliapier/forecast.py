"""
Forecasts each pool's demand from the declared calendar and a learned daily profile.

Demand is in hosts' worth of work. The profile holds the peak demand of each half
hour, separately for working days and weekends and divided by the calendar's
factor. It is stored in the object store every hour, so that a planner that takes
over does not start without it.
"""

import calendar
import json
import math
from collections import deque
from dataclasses import dataclass, field
from datetime import UTC, datetime

from magnoliapier.exceptions import PlatformError

# Bursts last seconds and are absorbed by the queue; only the mean demand needs hosts.
MEAN_WINDOW_S = 300.0
BUCKET_S = 1800
DAY_S = 86_400
BUCKETS = DAY_S // BUCKET_S
STORE_PERIOD_S = 3600.0
# A lower peak enters the profile with this weight; a higher one replaces the old value.
DECREASE_WEIGHT = 0.3
CORRECTION_GAIN = 0.05
OBJECT_NAME = "planner/forecast"
MARGIN = 0.05
MIN_HISTORY_DAYS = 1.0


@dataclass
class PoolHistory:
    """The observed and learned demand of one pool."""

    samples: deque = field(default_factory=deque)
    total: float = 0.0
    profile: dict = field(default_factory=dict)
    day_key: str = ""
    day_peak: float = 0.0
    corrections: dict = field(default_factory=dict)
    first_seen: float | None = None

    @property
    def mean_demand(self):
        """The mean of the demand within the window."""
        return max(0.0, self.total / len(self.samples)) if self.samples else 0.0

    def add(self, now, demand):
        """Add an observation and drop those older than the window."""
        self.samples.append((now, demand))
        self.total += demand
        while self.samples[0][0] <= now - MEAN_WINDOW_S:
            self.total -= self.samples.popleft()[1]


class Forecast:
    """Learns the demand of each pool and predicts its peak within a horizon."""

    def __init__(self, platform, learned=True, margin=MARGIN):
        self._platform = platform
        self._learned = learned
        self._margin = margin
        self._pools = {}
        self._stored_at = None
        self._factors = {}

    def observe(self, tables):
        """Learn from the demand of this tick."""
        now = tables.now
        if self._stored_at is None and self._load(tables):
            self._stored_at = now
        bucket = bucket_key(now)
        for pool in tables.managed_pools():
            history = self._pools.setdefault(pool, PoolHistory())
            if history.first_seen is None:
                history.first_seen = now
            history.add(now, tables.demand_of(pool))
            self._learn(tables, pool, history, bucket)
        # Storing before a successful load would overwrite the learned profile.
        if self._stored_at is not None and now - self._stored_at >= STORE_PERIOD_S:
            self._stored_at = now
            self._store(tables)

    def current_demand(self, pool):
        """Return the mean demand of a pool over the last ``MEAN_WINDOW_S``."""
        history = self._pools.get(pool)
        return history.mean_demand if history else 0.0

    def has_enough_history(self, pool, now):
        """Whether the pool was observed for long enough to release hosts."""
        history = self._pools.get(pool)
        return (
            history is not None and now - history.first_seen >= MIN_HISTORY_DAYS * DAY_S
        )

    def predict(self, tables, pool, horizon_s):
        """
        Return the peak demand expected within ``horizon_s``, plus the margin.

        For a pool that was never observed this is its present demand.
        """
        history = self._pools.get(pool)
        if history is None:
            return tables.demand_of(pool)
        now = tables.now
        current = history.mean_demand
        factor_now = self.factor(tables, pool, now) or 1.0
        base_demand = current / factor_now
        highest = current
        instant = now
        while instant <= now + horizon_s:
            factor = self.factor(tables, pool, instant)
            expected = (
                self._expected_base_demand(history, instant, base_demand) * factor
            )
            highest = max(highest, expected)
            instant = (math.floor(instant / BUCKET_S) + 1) * BUCKET_S
        return highest * (1.0 + self._margin)

    def factor(self, tables, pool, instant):
        """Return a pool's calendar factor at an instant, with learned corrections."""
        day = int(instant // DAY_S)
        manifest = tables.manifest
        if self._factors.get("manifest") is not manifest:
            self._factors = {"manifest": manifest}
        events = self._factors.get((pool, day))
        if events is None:
            events = [
                (name, event.factor)
                for name, event in manifest.calendar.items()
                if pool in event.pools and event_active(event, instant)
            ]
            self._factors[pool, day] = events
        result = 1.0
        history = self._pools.get(pool)
        for name, factor in events:
            correction = history.corrections.get(name, 1.0) if history else 1.0
            result *= factor * correction
        return result

    def _expected_base_demand(self, history, instant, base_demand):
        """Return the expected demand at an instant, without the calendar factor."""
        if not self._learned:
            return base_demand
        weekend, bucket = bucket_key(instant)
        profile_demand = history.profile.get(f"{weekend}:{bucket}")
        if profile_demand is None:
            profile_demand = history.profile.get(f"{not weekend}:{bucket}")
        return base_demand if profile_demand is None else profile_demand

    def _learn(self, tables, pool, history, bucket):
        """Add the present demand to the profile and correct the calendar factors."""
        factor = self.factor(tables, pool, tables.now)
        key = f"{bucket[0]}:{bucket[1]}"
        if key != history.day_key:
            self._close_bucket(history)
            history.day_key = key
            history.day_peak = 0.0
        self._correct(tables, pool, history, key, factor)
        # After a calendar change at midnight, the mean still covers demand before it.
        if (
            self.factor(tables, pool, tables.now - MEAN_WINDOW_S) == factor
            and factor > 0
        ):
            history.day_peak = max(history.day_peak, history.mean_demand / factor)

    def _close_bucket(self, history):
        if not history.day_key:
            return
        previous = history.profile.get(history.day_key)
        peak = history.day_peak
        if previous is not None and peak < previous:
            peak = previous + DECREASE_WEIGHT * (peak - previous)
        history.profile[history.day_key] = peak

    def _correct(self, tables, pool, history, key, factor):
        """Correct the factors of active events whose declared factor is too low."""
        profile_demand = history.profile.get(key)
        day = int(tables.now // DAY_S)
        active = self._factors.get((pool, day)) or ()
        if not active or not profile_demand or factor <= 0:
            return
        if tables.now % DAY_S < MEAN_WINDOW_S:
            return
        ratio = min(max(history.mean_demand / (factor * profile_demand), 0.2), 5.0)
        # Demand below the forecast is normal, because the profile holds peaks.
        if ratio < 1.0:
            return
        for name, _ in active:
            previous = history.corrections.get(name, 1.0)
            history.corrections[name] = previous * (1 + CORRECTION_GAIN * (ratio - 1))

    def _store(self, tables):
        values = {
            pool: {
                "profile": history.profile,
                "corrections": history.corrections,
                "first_seen": history.first_seen,
            }
            for pool, history in self._pools.items()
        }
        try:
            self._platform.objects.put(OBJECT_NAME, json.dumps(values).encode())
        except PlatformError as error:
            tables.note("forecast", f"The learned demand is not stored: {error}")

    def _load(self, tables):
        """Load the learned demand; return whether the object store could be read."""
        try:
            data = self._platform.objects.get(OBJECT_NAME)
        except PlatformError as error:
            tables.note("forecast", f"The learned demand cannot be read yet: {error}")
            return False
        try:
            for pool, row in (json.loads(data) if data else {}).items():
                history = self._pools.setdefault(pool, PoolHistory())
                history.profile = dict(row["profile"])
                history.corrections = dict(row["corrections"])
                history.first_seen = row["first_seen"]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            tables.note("forecast", f"The learned demand is unusable: {error!r}")
        return True


def bucket_key(instant):
    """Return (whether it is a weekend, half hour of the day) of an instant in UTC."""
    weekday = (int(instant // DAY_S) + 3) % 7  # 1 January 1970 was a Thursday
    return weekday >= 5, int(instant % DAY_S // BUCKET_S)


def event_active(event, instant):
    """
    Whether a calendar event covers the UTC day of an instant.

    Negative days count from the end of the month. An event whose start is after its end
    continues into the next month.
    """
    moment = datetime.fromtimestamp(instant, UTC)
    length = calendar.monthrange(moment.year, moment.month)[1]
    start, end = (
        day if day > 0 else length + 1 + day for day in (event.start_day, event.end_day)
    )
    if start <= end:
        return start <= moment.day <= end
    return moment.day >= start or moment.day <= end
