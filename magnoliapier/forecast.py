"""
Forecast of each pool's demand: the declared calendar and the learned day.

Demand is in hosts' worth of work. The learned day has half-hour buckets, for
working days and weekends apart, of the demand with the calendar's factor taken
out. It is stored in the object store every hour, so that a planner that takes
over does not start without it.
"""

import calendar
import json
import math
from collections import deque
from dataclasses import dataclass, field
from datetime import UTC, datetime

from magnoliapier.exceptions import PlatformError

WINDOW_S = 300.0  # bursts last seconds and are queued; only the mean needs hosts
BUCKET_S = 1800
DAY_S = 86_400
BUCKETS = DAY_S // BUCKET_S
STORE_PERIOD_S = 3600.0
FALL_SHARE = 0.3  # a lower day enters the profile by this share, a higher one whole
CORRECTION_SHARE = 0.05
OBJECT_NAME = "planner/forecast"
MARGIN = 0.05
LEARN_DAYS = 1.0


@dataclass
class PoolHistory:
    """What is known of one pool's demand."""

    samples: deque = field(default_factory=deque)
    total: float = 0.0
    profile: dict = field(default_factory=dict)
    day_key: str = ""
    day_peak: float = 0.0
    corrections: dict = field(default_factory=dict)
    first_seen: float | None = None

    @property
    def level(self):
        """The mean of the demand within the window."""
        return max(0.0, self.total / len(self.samples)) if self.samples else 0.0

    def add(self, now, demand):
        """Add an observation and drop those older than the window."""
        self.samples.append((now, demand))
        self.total += demand
        while self.samples[0][0] <= now - WINDOW_S:
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
        # Nothing is stored before the load, which would lose what was learned.
        if self._stored_at is not None and now - self._stored_at >= STORE_PERIOD_S:
            self._stored_at = now
            self._store(tables)

    def level(self, pool):
        """Return the present demand of a pool, with bursts averaged out."""
        history = self._pools.get(pool)
        return history.level if history else 0.0

    def knows_day(self, pool, now):
        """Whether the pool was observed for long enough to release hosts."""
        history = self._pools.get(pool)
        return history is not None and now - history.first_seen >= LEARN_DAYS * DAY_S

    def predict(self, tables, pool, horizon_s):
        """Return the highest demand expected from now to ``horizon_s`` ahead."""
        history = self._pools.get(pool)
        if history is None:
            return tables.demand_of(pool)
        now = tables.now
        level = history.level
        factor_now = self.factor(tables, pool, now) or 1.0
        base = level / factor_now
        highest = level
        instant = now
        while instant <= now + horizon_s:
            factor = self.factor(tables, pool, instant)
            expected = self._expected(history, instant, base) * factor
            highest = max(highest, expected)
            instant = (math.floor(instant / BUCKET_S) + 1) * BUCKET_S
        return highest * (1.0 + self._margin)

    def factor(self, tables, pool, instant):
        """Return the calendar's factor for a pool at an instant, as corrected."""
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

    def _expected(self, history, instant, base):
        if not self._learned:
            return base
        weekend, bucket = bucket_key(instant)
        known = history.profile.get(f"{weekend}:{bucket}")
        if known is None:
            known = history.profile.get(f"{not weekend}:{bucket}")
        return base if known is None else known

    def _learn(self, tables, pool, history, bucket):
        factor = self.factor(tables, pool, tables.now)
        key = f"{bucket[0]}:{bucket[1]}"
        if key != history.day_key:
            self._close_bucket(history)
            history.day_key = key
            history.day_peak = 0.0
        self._correct(tables, pool, history, key, factor)
        # The window reaches back WINDOW_S, so it covers a calendar change at midnight.
        if self.factor(tables, pool, tables.now - WINDOW_S) == factor and factor > 0:
            history.day_peak = max(history.day_peak, history.level / factor)

    def _close_bucket(self, history):
        if not history.day_key:
            return
        old = history.profile.get(history.day_key)
        peak = history.day_peak
        if old is not None and peak < old:
            peak = old + FALL_SHARE * (peak - old)
        history.profile[history.day_key] = peak

    def _correct(self, tables, pool, history, key, factor):
        """Adjust the factor of an active event whose declared size is wrong."""
        known = history.profile.get(key)
        day = int(tables.now // DAY_S)
        active = self._factors.get((pool, day)) or ()
        if not active or not known or factor <= 0:
            return
        if tables.now % DAY_S < WINDOW_S:
            return
        ratio = min(max(history.level / (factor * known), 0.2), 5.0)
        # A demand below the forecast of a bucket is no sign: the profile holds peaks.
        if ratio < 1.0:
            return
        for name, _ in active:
            old = history.corrections.get(name, 1.0)
            history.corrections[name] = old * (1 + CORRECTION_SHARE * (ratio - 1))

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
        """Read what was learned; return whether the object store answered."""
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
    """Return (is weekend, half hour of the day) of an instant in UTC."""
    weekday = (int(instant // DAY_S) + 3) % 7  # 1 January 1970 was a Thursday
    return weekday >= 5, int(instant % DAY_S // BUCKET_S)


def event_active(event, instant):
    """Whether a calendar event covers the UTC day of an instant."""
    moment = datetime.fromtimestamp(instant, UTC)
    length = calendar.monthrange(moment.year, moment.month)[1]
    start, end = (
        day if day > 0 else length + 1 + day for day in (event.start_day, event.end_day)
    )
    if start <= end:
        return start <= moment.day <= end
    return moment.day >= start or moment.day <= end
