"""
Maintenance: drains and reboots hosts in waves, within the availability budgets.

Each maintenance has one wave per pool, which takes hosts of one failure domain at
a time. Its record ``waves["<maintenance>/<pool>"]`` in the fleet state is all that
a planner needs after a takeover. The record is written before the entries of its
hosts, so a step that was written in part is repeated and never lost.
"""

import copy
import math
from collections import defaultdict

from magnoliapier.capacity import failure_reserve
from magnoliapier.exceptions import PlatformError
from magnoliapier.fleet_state import HostState
from magnoliapier.platform_api import HostStatus

WARN_AHEAD_S = 86_400.0  # leaves operators a day to change a window
MAX_LIST_LAG_S = 30.0  # upper bound on how far the host list lags behind
REBOOT_RETRY_S = 120.0
# A host counts as failed after this multiple of the declared work time.
VERIFY_FACTOR = 2.0
VERIFY_MIN_S = 300.0
# One failed host in a domain may be chance; two point to the maintenance itself.
ROLLBACK_FAILURES = 2
ROLLBACK_SHARE = 0.05


class MaintenanceSystem:
    """
    Drains, reboots, verifies and returns hosts in waves.

    ``serial`` limits the whole fleet to one host in maintenance at a time, for
    comparison.
    """

    def __init__(self, serial=False):
        self._serial = serial
        self._reboot_requested_at = {}
        self._inherited_at = {}
        self._first_tick = True

    def plan_surge(self, tables):
        """Request one surge host for each pool that maintenance is about to work on."""
        for name, maintenance in tables.manifest.maintenance.items():
            if not maintenance.start <= tables.now < maintenance.end:
                continue
            if name in tables.state.cancelled:
                continue
            done = done_hosts(tables, name, maintenance)
            for pool in maintenance.pools:
                remaining = [
                    h for h in tables.pool_hosts.get(pool, ()) if h not in done
                ]
                if remaining and not hosts_in_maintenance(tables, pool):
                    tables.surge_hosts[pool] = 1

    def run(self, tables):
        """Advance all waves by one step."""
        self._record_inherited_hosts(tables)
        self._adopt_operator_drains(tables)
        for key in sorted(set(tables.state.waves) | set(due_waves(tables))):
            Wave(self, tables, key).step()

    def may_reboot(self, name, now):
        """
        Whether the platform may be asked for a reboot now.

        A host inherited from another planner may already be rebooting while the list
        still shows it as live. A second reboot would hit it after it was verified.
        """
        if now - self._inherited_at.get(name, -math.inf) < MAX_LIST_LAG_S:
            return False
        return now - self._reboot_requested_at.get(name, -math.inf) >= REBOOT_RETRY_S

    def reboot(self, tables, name):
        """Ask the platform to reboot a drained host."""
        self._reboot_requested_at[name] = tables.now
        try:
            tables.platform.hosts.reboot(name, tables.inputs.lease_epoch)
        except PlatformError as error:
            tables.note(f"host/{name}", f"The reboot is not confirmed: {error}")

    def drains_allowed(self, tables, pool):
        """Return (how many more hosts maintenance may drain, why no more)."""
        settings = tables.manifest.pools[pool]
        if self._serial and any(
            hosts_in_maintenance(tables, p) for p in tables.manifest.pools
        ):
            return 0, "another host is in maintenance"
        by_limit = settings.max_unavailable - hosts_in_maintenance(tables, pool)
        if self._serial:
            by_limit = min(by_limit, 1)
        floor = min_serving_hosts(tables, pool)
        by_budget = tables.serving[pool] - floor
        if by_budget < by_limit:
            reason = f"{tables.serving[pool]} hosts serve and {floor} must"
            return max(0, by_budget), reason
        return max(0, by_limit), f"max_unavailable is {settings.max_unavailable}"

    def _record_inherited_hosts(self, tables):
        if not self._first_tick:
            return
        self._first_tick = False
        for name, assignment in tables.state.assignments.items():
            if assignment.state is HostState.MAINTENANCE:
                self._inherited_at[name] = tables.now

    def _adopt_operator_drains(self, tables):
        """Create a one-host wave for an operator's drain to the host's own pool."""
        hosts_in_waves = {
            h for wave in tables.state.waves.values() for h in wave["hosts"]
        }
        hosts_in_waves |= {
            h for wave in tables.state.waves.values() for h in wave["failed"]
        }
        for name, assignment in sorted(tables.state.assignments.items()):
            if assignment.target == assignment.pool and name not in hosts_in_waves:
                if tables.boots(name) is None:
                    continue
                record = new_wave_record(0.0)
                record["hosts"][name] = new_host_record(tables, name)
                key = f"operator/{assignment.pool}"
                if key not in tables.state.waves:
                    tables.emit("wave_update", name=key, wave=record)
                    return


class Wave:
    """One step of one wave: the hosts of one pool under one maintenance."""

    def __init__(self, system, tables, key):
        self._system = system
        self._tables = tables
        self._key = key
        self._name, _, self._pool = key.partition("/")
        self._settings = tables.manifest.maintenance.get(self._name)
        stored = tables.state.waves.get(key)
        self._stored_record = stored
        start = self._settings.start if self._settings else 0.0
        self._record = copy.deepcopy(stored) if stored else new_wave_record(start)
        if self._settings and self._record["start"] != start:
            hosts = self._record["hosts"]
            self._record = {**new_wave_record(start), "hosts": hosts}
        self._actions = []

    def step(self):
        """Advance the wave's hosts, take more if budgets permit, and emit entries."""
        record = self._record
        for host in sorted(record["hosts"]):
            self._advance_host(host)
        for host in sorted(record["failed"]):
            self._recheck_failed_host(host)
        if self._is_requested():
            self._check_rollback()
            self._take_hosts()
        self._update_final_state()
        if record != (self._stored_record or new_wave_record(record["start"])):
            ended = record["state"] == "ended"
            wave = None if ended else record
            if not ended or self._stored_record is not None:
                self._tables.emit("wave_update", name=self._key, wave=wave)
        for action, *arguments in self._actions:
            action(*arguments)

    def _is_requested(self):
        return (
            self._settings is not None
            and self._pool in self._settings.pools
            and self._pool in self._tables.manifest.pools
            and self._name not in self._tables.state.cancelled
        )

    def _advance_host(self, host):
        tables, record = self._tables, self._record
        assignment = tables.state.assignments.get(host)
        if assignment is None or assignment.pool not in tables.manifest.pools:
            del record["hosts"][host]
        elif assignment.state is HostState.DRAINING:
            if assignment.target == assignment.pool:
                self._advance_drain(host, assignment)
            else:
                del record["hosts"][host]
        elif assignment.state is HostState.MAINTENANCE:
            self._advance_reboot(host, assignment)
        elif (
            self._is_requested()
            and record["state"] == "running"
            and tables.unchanged(host)
        ):
            # The record was appended but the drain was not, so the drain is emitted
            # again.
            self._actions.append((tables.drain, host, self._pool, self._name))
        else:
            del record["hosts"][host]

    def _advance_drain(self, host, assignment):
        tables = self._tables
        entry = self._record["hosts"][host]
        if self._name != "operator" and not self._is_requested():
            self._return_to_service(host, assignment, "the maintenance was cancelled")
            return
        if self._record["state"] == "rolled_back":
            self._return_to_service(host, assignment, "the wave was rolled back")
            return
        required = tables.required_hosts.get(assignment.pool, 0)
        if self._name != "operator" and tables.serving[assignment.pool] < required:
            serving = tables.serving[assignment.pool]
            self._return_to_service(
                host, assignment, f"{serving} hosts serve and {required} must"
            )
            return
        blocker = tables.drain_blocker(host, assignment)
        if blocker is None:
            boots = tables.boots(host)
            if boots is not None:
                entry.update(boots=boots, down=tables.now)
                self._actions.append((tables.begin_maintenance, host))
            return
        tables.note(f"host/{host}", f"It is draining for {self._name}; {blocker}.")
        tables.checkpoint_tasks(host)
        limit = self._settings.straggler_limit_s if self._settings else math.inf
        if tables.now - entry["since"] > limit:
            self._record["deferred"][host] = tables.now
            self._return_to_service(host, assignment, f"after {limit:g} s, {blocker}")

    def _return_to_service(self, host, assignment, reason):
        """Return a draining host that was not rebooted to service in its own pool."""
        self._record["hosts"].pop(host)
        self._tables.note(f"host/{host}", f"It returns to service: {reason}.")
        self._actions.append((self._tables.assign, host, assignment.pool, reason))

    def _advance_reboot(self, host, assignment):
        tables, entry = self._tables, self._record["hosts"][host]
        listed = (tables.listed or {}).get(host)
        live = listed is not None and listed.status is HostStatus.LIVE
        if live and listed.boots > entry["boots"]:
            del self._record["hosts"][host]
            self._record["done"].append(host)
            self._record["total_s"] += tables.now - entry["since"]
            self._actions.append((tables.assign, host, assignment.pool, "verified"))
            return
        work_s = self._settings.work_s if self._settings else VERIFY_MIN_S
        limit = max(VERIFY_MIN_S, VERIFY_FACTOR * work_s)
        if tables.now - entry.get("down", entry["since"]) > limit:
            del self._record["hosts"][host]
            self._record["failed"][host] = entry["boots"]
            tables.note(
                f"host/{host}",
                f"It is not back {limit:g} s after its reboot; repair or remove it.",
            )
        elif live and self._system.may_reboot(host, tables.now):
            self._system.reboot(tables, host)

    def _recheck_failed_host(self, host):
        """Return a failed host to service if it has rebooted after all."""
        tables, record = self._tables, self._record
        assignment = tables.state.assignments.get(host)
        if assignment is None or assignment.state is not HostState.MAINTENANCE:
            del record["failed"][host]
        elif (
            tables.is_live(host)
            and tables.boots(host) is not None
            and tables.boots(host) > record["failed"][host]
        ):
            del record["failed"][host]
            record["done"].append(host)
            self._actions.append((tables.assign, host, assignment.pool, "came back"))

    def _check_rollback(self):
        record = self._record
        size = len(record["hosts"]) + len(record["done"]) + len(record["failed"])
        limit = max(ROLLBACK_FAILURES, math.ceil(ROLLBACK_SHARE * size))
        failed = {
            host
            for key, wave in self._tables.state.waves.items()
            if key.partition("/")[0] == self._name
            and wave["start"] == self._settings.start
            for host in wave["failed"]
        } | set(record["failed"])
        domain_failed = domain_failures(self._tables, self._settings, failed)
        if domain_failed < limit and len(record["failed"]) < limit:
            return
        if record["state"] != "rolled_back":
            record["state"] = "rolled_back"
            record["reason"] = (
                f"{max(domain_failed, len(record['failed']))} hosts of one wave failed "
                "verification; repair them and commit the maintenance with another "
                "start."
            )
        # Hosts that have not been rebooted return to service at once.
        for host in sorted(record["hosts"]):
            assignment = self._tables.state.assignments[host]
            if assignment.state is HostState.DRAINING and not self._has_action_for(
                host
            ):
                self._return_to_service(host, assignment, "the wave was rolled back")

    def _has_action_for(self, host):
        return any(host in action[1:] for action in self._actions)

    def _take_hosts(self):
        tables, record, settings = self._tables, self._record, self._settings
        if record["state"] == "rolled_back":
            tables.note(f"wave/{self._key}", record["reason"])
            return
        remaining = self._remaining_hosts()
        self._warn_of_short_window(remaining)
        if not remaining or tables.now < settings.start:
            return
        if tables.now >= settings.end:
            record["reason"] = f"the window closed with {len(remaining)} hosts left"
            record["state"] = "paused"
            tables.note(f"wave/{self._key}", record["reason"])
            return
        eligible = self._eligible_hosts(remaining)
        allowed, why = self._system.drains_allowed(tables, self._pool)
        for host in eligible[:allowed]:
            record["hosts"][host] = new_host_record(tables, host)
            # Counted now, so that the other waves of this tick see it.
            tables.mark_for_drain(host)
            self._actions.append((tables.drain, host, self._pool, self._name))
        if eligible and not allowed and not record["hosts"]:
            record["state"], record["reason"] = "paused", why
            tables.note(
                f"wave/{self._key}", f"Paused with {len(remaining)} left: {why}."
            )
        elif record["hosts"]:
            record["state"], record["reason"] = "running", ""

    def _remaining_hosts(self):
        tables, record = self._tables, self._record
        done = done_hosts(tables, self._name, self._settings) | set(record["done"])
        return [
            host
            for host in tables.pool_hosts.get(self._pool, ())
            if host not in done
            and host not in record["hosts"]
            and host not in record["failed"]
        ]

    def _eligible_hosts(self, remaining):
        """Return the hosts of the wave's domain that can be taken now."""
        tables, record = self._tables, self._record
        hosts = tables.manifest.hosts
        domain = self._settings.domain
        limit = self._settings.straggler_limit_s
        eligible = [
            host
            for host in remaining
            if tables.state.assignments[host].takes_work
            and tables.unchanged(host)
            and tables.is_live(host)
            and tables.boots(host) is not None
            and tables.now - record["deferred"].get(host, -math.inf) > limit
        ]
        current = record["domain"]
        domains = sorted({getattr(hosts[host], domain) for host in eligible})
        if not record["hosts"] and current not in domains and domains:
            record["domain"] = current = domains[0]
        return [host for host in eligible if getattr(hosts[host], domain) == current]

    def _warn_of_short_window(self, remaining):
        tables, record, settings = self._tables, self._record, self._settings
        count = len(remaining) + len(record["hosts"])
        if not count:
            return
        limit = tables.manifest.pools[self._pool].max_unavailable
        budget = tables.serving[self._pool] + hosts_in_maintenance(tables, self._pool)
        budget -= min_serving_hosts(tables, self._pool)
        if tables.spare_hosts():
            budget = max(budget, 1)
        concurrency = max(0, min(limit, budget))
        # Rounded to whole minutes, because each changed note costs a table write.
        remaining_s = (settings.end - max(tables.now, settings.start)) // 60 * 60
        if concurrency == 0:
            if limit == 0 or remaining_s < count * settings.work_s:
                tables.note(
                    f"wave/{self._key}",
                    f"No host can be taken: {count} hosts are left, max_unavailable "
                    f"is {limit} and the budget leaves {max(0, budget)}. Add hosts "
                    "or lower the budget.",
                )
            return
        done = len(record["done"])
        host_s = max(settings.work_s, record["total_s"] / done if done else 0.0)
        domains = defaultdict(int)
        for host in (*remaining, *record["hosts"]):
            domains[getattr(tables.manifest.hosts[host], settings.domain)] += 1
        rounds = sum(math.ceil(n / concurrency) for n in domains.values())
        if rounds * host_s > remaining_s:
            tables.note(
                f"wave/{self._key}",
                f"{count} hosts are left in {len(domains)} domains, {concurrency} at a "
                f"time: {rounds} rounds of {host_s:.0f} s take {rounds * host_s:.0f} s "
                f"and the window has {max(0.0, remaining_s):.0f} s. Extend it or raise "
                "max_unavailable.",
            )

    def _update_final_state(self):
        record = self._record
        if record["hosts"] or record["failed"]:
            return
        if not self._is_requested():
            record["state"] = "ended"
        elif record["state"] != "rolled_back" and not self._remaining_hosts():
            record["state"], record["reason"] = "finished", ""


def new_wave_record(start):
    """Return the record of a wave that has not begun."""
    return {
        "start": start,
        "state": "running",
        "reason": "",
        "domain": "",
        "hosts": {},
        "done": [],
        "failed": {},
        "deferred": {},
        "total_s": 0.0,
    }


def new_host_record(tables, host):
    """Return the record of a host that a wave takes: its boot count and the time."""
    return {"boots": tables.boots(host), "since": tables.now}


def due_waves(tables):
    """
    Return the keys of the waves that need a step in this tick.

    Their window is open or opens within WARN_AHEAD_S.
    """
    return [
        f"{name}/{pool}"
        for name, maintenance in tables.manifest.maintenance.items()
        if maintenance.start - WARN_AHEAD_S <= tables.now < maintenance.end
        and name not in tables.state.cancelled
        for pool in maintenance.pools
        if pool in tables.manifest.pools
    ]


def done_hosts(tables, name, maintenance):
    """
    Return the hosts, in all pools, that a maintenance has completed.

    Waves that were recorded under another start of it do not count.
    """
    return {
        host
        for key, wave in tables.state.waves.items()
        if key.partition("/")[0] == name and wave["start"] == maintenance.start
        for host in wave["done"]
    }


def hosts_in_maintenance(tables, pool):
    """
    Return how many hosts of a pool are out of service for maintenance.

    These are draining for it or in it, or are taken in this tick.
    """
    count = tables.marked_counts.get(pool, 0)
    for name in tables.pool_hosts.get(pool, ()):
        assignment = tables.state.assignments[name]
        if assignment.target == pool and not assignment.takes_work:
            count += 1
    return count


def min_serving_hosts(tables, pool):
    """
    Return how many hosts of a pool must stay in service during maintenance.

    The reserve for failures stays in service too. If the spare pool has no host and the
    pool is too small, the reserve shrinks until one host can be taken. A pool without a
    service keeps its ``min_hosts``.
    """
    if pool not in tables.required_hosts:
        return tables.manifest.pools[pool].min_hosts
    required = tables.required_hosts[pool]
    reserve = failure_reserve(tables, pool)
    if not tables.spare_hosts():
        reserve = min(reserve, max(0, len(tables.pool_hosts[pool]) - required - 1))
    return required + reserve


def domain_failures(tables, settings, failed):
    """Return the highest number of failed hosts in one failure domain."""
    counts = defaultdict(int)
    for host in failed:
        entry = tables.manifest.hosts.get(host)
        if entry is not None:
            counts[getattr(entry, settings.domain)] += 1
    return max(counts.values(), default=0)
