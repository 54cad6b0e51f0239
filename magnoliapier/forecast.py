"""Forecast of each pool's demand from the calendar and observed demand."""


class Forecast:
    """Predicts demand by pool."""

    def __init__(self, platform):
        self._platform = platform

    def observe(self, tables):
        """Learn from the demand of this tick."""

    def predict(self, tables, pool, horizon_s):
        """Return the highest demand expected within ``horizon_s``."""
        return tables.demand_of(pool)
