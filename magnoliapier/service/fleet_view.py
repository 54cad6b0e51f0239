"""What a host has read of the fleet's state."""

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.organisations.rows import (
    ALLOWANCE_PREFIX,
    NO_ROW,
    USAGE_KEY,
    decode_usage,
    read_allowances,
)
from magnoliapier.organisations.usage import KnownLimits
from magnoliapier.pools.report import (
    PLAN_KEY,
    REPORT_KEY,
    FleetPlan,
    decode_plan,
    decode_report,
)
from magnoliapier.state.lease import LEASE_KEY

# A holder renews its lease several times as often, and it lasts 2.2 s.
HELD_S = 5.0

log = get_logger(__name__)


class CrashReport(msgspec.Struct, frozen=True):
    """
    A crash of an endpoint, of which this host learned at ``learned_at``.

    The endpoint was up at ``last_up_ms`` on the table's clock, 0 if unknown, and at
    ``last_up_at``; it has crashed since, and may be up again under its id. Local times
    are seconds on the monotonic clock.
    """

    learned_at: float
    last_up_ms: int
    last_up_at: float


class FleetView:
    """
    What this host knows of pools, waves, the fleet's plan and organisations' limits.

    ``configuration()`` returns the configuration in force, or None.
    """

    def __init__(self, configuration, clock, table_clock):
        self._configuration = configuration
        self._clock = clock
        self._table_clock = table_clock
        self._reports = {}
        self._waves = {}
        self._crashes = {}
        self._allowances = {}
        self._usages = {}
        self._usage_versions = {}
        self._leases = {}
        self.plan = FleetPlan()

    def apply(self, rows, complete):
        """Apply changed rows of the control table."""
        for row in rows:
            if row.removed:
                continue
            try:
                if row.key == REPORT_KEY:
                    self._reports[row.part] = decode_report(row.value)
                elif row.key == PLAN_KEY:
                    self._apply_plan(decode_plan(row.value))
                elif row.key == LEASE_KEY:
                    self._apply_lease(row)
                elif row.key == USAGE_KEY:
                    self._apply_usage(row)
                elif row.key.startswith(ALLOWANCE_PREFIX):
                    self._apply_allowance(row)
            except MessageError as error:
                log.warning("unreadable_control_row", key=row.key, error=error)
                # Hosts that an older report released may be in use again.
                if row.key == REPORT_KEY:
                    self._reports.pop(row.part, None)
                # What the service uses is not known; its holder, which misses the row
                # here, writes it again.
                if row.key == USAGE_KEY:
                    self._usages.pop(row.part, None)

    def _apply_plan(self, plan):
        self.plan = plan
        self._crashes = {
            endpoint_id: self._crash_report(endpoint_id, plan)
            for endpoint_id in plan.crashed
        }

    def _apply_lease(self, row):
        version, _ = self._leases.get(row.part, (0, 0.0))
        if row.version > version:
            self._leases[row.part] = (row.version, self._clock())

    def _apply_usage(self, row):
        """Apply a usage row; its holder may read it before the table's watcher does."""
        if row.version > self._usage_versions.get(row.part, 0):
            # Also of an unreadable row: older ones that come later are outdated.
            self._usage_versions[row.part] = row.version
            self._usages[row.part] = decode_usage(row.value)

    def _apply_allowance(self, row):
        for name, allowance in read_allowances([row])[0].items():
            if allowance.number > self._allowances.get(name, NO_ROW).number:
                self._allowances[name] = allowance

    def _crash_report(self, endpoint_id, plan):
        last_up_ms = plan.last_up_ms.get(endpoint_id, 0)
        known = self._crashes.get(endpoint_id)
        if known is not None and known.last_up_ms == last_up_ms:
            return known
        now = self._clock()
        return CrashReport(
            now, last_up_ms, self._table_clock.earliest_local(last_up_ms, now)
        )

    def crashes(self):
        """Return the CrashReports of the endpoints that crashed recently, by id."""
        return self._crashes

    def apply_wave(self, wave):
        """Record a wave that the operator has requested."""
        if wave.number not in self._waves:
            log.info("wave", wave=wave.number, hosts=len(wave.hosts))
        self._waves[wave.number] = wave

    def reports(self):
        """Return the pools' reports by service."""
        return self._reports

    def waves(self):
        """Return all waves, sorted by number."""
        return [self._waves[number] for number in sorted(self._waves)]

    def limits(self):
        """
        Return the KnownLimits of organisations.

        The tasks of public queues have no organisation; one without a name, as odd
        configurations declare, must not limit them.
        """
        configuration = self._configuration()
        organisations = configuration.organisations if configuration else ()
        return KnownLimits(
            {each.name: each.limit for each in organisations if each.name},
            self._allowances,
            self._usages,
        )

    def services(self):
        """Return the services that run tasks, or have run some."""
        configuration = self._configuration()
        queues = configuration.queues if configuration else ()
        return {queue.service for queue in queues} | self._reports.keys()

    def held(self):
        """Return the shards that somebody has held lately."""
        now = self._clock()
        return {
            shard
            for shard, (_, renewed_at) in self._leases.items()
            if now - renewed_at < HELD_S
        }

    def standby(self):
        """Return the name of the standby pool, or None."""
        configuration = self._configuration()
        return configuration.standby_service() if configuration else None

    def hosts_wanted(self, service):
        """Return how many hosts the pools other than the service's want."""
        return sum(
            report.wanted for name, report in self._reports.items() if name != service
        )

    def active(self):
        """Return whether any pool wants or releases hosts, or a wave is requested."""
        return bool(self._waves) or any(
            report.wanted or report.released or report.further_needs
            for report in self._reports.values()
        )
