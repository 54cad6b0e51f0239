import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.forecast import DAY_S, Forecast, event_active
from magnoliapier.manifest import CalendarEvent
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.planner_tables import PlannerInputs, PlanTables
from tests.samples import commit_entry, sample_manifest, sample_state


class ForecastTests(unittest.TestCase):
    def setUp(self):
        self.platform = MemoryPlatform(VirtualClock())
        self.state = sample_state()
        self.forecast = Forecast(self.platform, margin=0.0)

    def tables(self, now, hosts=0.0):
        demand = {"wire": hosts * 8}
        inputs = PlannerInputs(self.state, demand, [], None, 1, now)
        return PlanTables(inputs, self.platform)

    def observe_demand(self, start, end, hosts):
        for now in range(int(start), int(end), 60):
            self.forecast.observe(self.tables(float(now), hosts(now)))

    def test_month_end_is_expected_before_it_begins(self):
        """Guards against hosts that arrive after the peak of the month."""
        values = sample_manifest()
        values["calendar"] = {
            "end": {"pools": ["wire"], "start_day": -1, "end_day": -1, "factor": 10}
        }
        self.state.apply(commit_entry(self.state, values))
        start = 30 * DAY_S - 7200
        self.observe_demand(start, start + 3600, lambda now: 1.0)
        tables = self.tables(start + 3600.0, 1.0)
        self.assertAlmostEqual(self.forecast.predict(tables, "wire", 600.0), 1.0)
        self.assertGreaterEqual(self.forecast.predict(tables, "wire", 3700.0), 9.9)

    def test_event_days_count_from_and_across_the_month_end(self):
        over = CalendarEvent(pools=["wire"], start_day=-1, end_day=1, factor=2)
        days = [day for day in range(59) if event_active(over, day * DAY_S)]
        self.assertEqual(days, [0, 30, 31, 58])

    def test_morning_peak_is_learned_and_survives_a_takeover(self):
        """Guards against a new planner that has to learn the daily profile again."""
        peak = range(7 * 3600, 8 * 3600)
        self.observe_demand(
            0, DAY_S + 3600, lambda now: 5.0 if now % DAY_S in peak else 1.0
        )
        now = float(DAY_S + 6.8 * 3600)
        for forecast in (self.forecast, Forecast(self.platform, margin=0.0)):
            tables = self.tables(now, 1.0)
            forecast.observe(tables)
            self.assertAlmostEqual(forecast.predict(tables, "wire", 900.0), 5.0)

    def test_store_outage_at_a_takeover_loses_nothing(self):
        """Guards against an empty profile that replaces the learned one."""
        self.observe_demand(0, DAY_S + 3600, lambda now: 3.0)
        fresh = Forecast(self.platform, margin=0.0)
        for minute in range(90):
            self.platform.faults.down = minute < 60
            fresh.observe(self.tables(DAY_S + 3600.0 + 60 * minute, 1.0))
        tables = self.tables(DAY_S + 9000.0, 1.0)
        self.assertAlmostEqual(fresh.predict(tables, "wire", 3600.0), 3.0)

    def test_short_bursts_are_averaged(self):
        """Guards against moves for a burst that the queue absorbs."""
        for now in range(600):
            hosts = 5.0 if now % 100 < 10 else 0.5
            self.forecast.observe(self.tables(float(now), hosts))
        self.assertLess(self.forecast.current_demand("wire"), 1.1)
