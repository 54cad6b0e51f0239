"""
Maintenance: waves over failure domains, within every budget.

Each maintenance has one wave per pool, which holds hosts of one failure domain at
a time. Its record ``waves["<maintenance>/<pool>"]`` in the fleet state is all that
a planner that takes over needs. The record is written before the entries of its
hosts, so a half-written step is repeated and never forgotten.
"""

import copy
import math
from collections import defaultdict

from magnoliapier.capacity import failure_reserve
from magnoliapier.exceptions import PlatformError
from magnoliapier.fleet_state import HostState
from magnoliapier.platform_api import HostStatus

WARN_AHEAD_S = 86_400.0  # a day leaves operators time to change a window
LIST_LAG_S = 30.0  # bound on the host list's lag
REBOOT_RETRY_S = 120.0
VERIFY_FACTOR = 2.0  # of the declared work time, before a host counts as failed
VERIFY_MIN_S = 300.0
# One host in a domain fails by chance; two at once point to the maintenance itself.
ROLLBACK_FAILURES = 2
ROLLBACK_SHARE = 0.05


class MaintenanceSystem:
    """
    Drains, reboots, verifies and returns hosts in waves.

    ``serial`` limits the whole fleet to one host at a time, for comparison.
    """

    def __init__(self, serial=False):
        self._serial = serial
        self._requested = {}
        self._known_since = {}
        self._first_tick = True

    def plan_cover(self, tables):
        """Ask the capacity system for a host that stands in during maintenance."""
        for name, maintenance in tables.manifest.maintenance.items():
            if not maintenance.start <= tables.now < maintenance.end:
                continue
            if name in tables.state.cancelled:
                continue
            done = done_hosts(tables, name, maintenance)
            for pool in maintenance.pools:
                left = [h for h in tables.pool_hosts.get(pool, ()) if h not in done]
                if left and not held_out(tables, pool):
                    tables.cover[pool] = 1

    def run(self, tables):
        """Advance all waves by one step."""
        self._track_inherited(tables)
        self._adopt(tables)
        for key in sorted(set(tables.state.waves) | set(due_waves(tables))):
            Wave(self, tables, key).step()

    def may_reboot(self, name, now):
        """
        Whether a reboot may be asked for now.

        A host taken over from another planner may be rebooting already without the
        list showing it, and a second reboot would hit it after it was verified.
        """
        if now - self._known_since.get(name, -math.inf) < LIST_LAG_S:
            return False
        return now - self._requested.get(name, -math.inf) >= REBOOT_RETRY_S

    def reboot(self, tables, name):
        """Ask the platform for the reboot of a drained host."""
        self._requested[name] = tables.now
        try:
            tables.platform.hosts.reboot(name, tables.inputs.lease_epoch)
        except PlatformError as error:
            tables.note(f"host/{name}", f"The reboot is not confirmed: {error}")

    def room(self, tables, pool):
        """Return (hosts that maintenance may still take, why no more)."""
        settings = tables.manifest.pools[pool]
        if self._serial and any(held_out(tables, p) for p in tables.manifest.pools):
            return 0, "another host is in maintenance"
        by_limit = settings.max_unavailable - held_out(tables, pool)
        if self._serial:
            by_limit = min(by_limit, 1)
        floor = serving_floor(tables, pool)
        by_budget = tables.serving[pool] - floor
        if by_budget < by_limit:
            reason = f"{tables.serving[pool]} hosts serve and {floor} must"
            return max(0, by_budget), reason
        return max(0, by_limit), f"max_unavailable is {settings.max_unavailable}"

    def _track_inherited(self, tables):
        if not self._first_tick:
            return
        self._first_tick = False
        for name, assignment in tables.state.assignments.items():
            if assignment.state is HostState.MAINTENANCE:
                self._known_since[name] = tables.now

    def _adopt(self, tables):
        """Give operators' drains towards the own pool a wave of one host."""
        held = {h for wave in tables.state.waves.values() for h in wave["hosts"]}
        held |= {h for wave in tables.state.waves.values() for h in wave["failed"]}
        for name, assignment in sorted(tables.state.assignments.items()):
            if assignment.target == assignment.pool and name not in held:
                if tables.boots(name) is None:
                    continue
                record = new_record(0.0)
                record["hosts"][name] = host_record(tables, name)
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
        known = tables.state.waves.get(key)
        self._before = known
        start = self._settings.start if self._settings else 0.0
        self._record = copy.deepcopy(known) if known else new_record(start)
        if self._settings and self._record["start"] != start:
            held = self._record["hosts"]
            self._record = {**new_record(start), "hosts": held}
        self._actions = []

    def step(self):
        """Advance the wave's hosts, take new ones if budgets permit, and report."""
        record = self._record
        for host in sorted(record["hosts"]):
            self._advance(host)
        for host in sorted(record["failed"]):
            self._recheck(host)
        if self._wanted():
            self._check_rollback()
            self._extend()
        self._finish()
        if record != (self._before or new_record(record["start"])):
            ended = record["state"] == "ended"
            wave = None if ended else record
            if not ended or self._before is not None:
                self._tables.emit("wave_update", name=self._key, wave=wave)
        for action, *arguments in self._actions:
            action(*arguments)

    def _wanted(self):
        return (
            self._settings is not None
            and self._pool in self._settings.pools
            and self._pool in self._tables.manifest.pools
            and self._name not in self._tables.state.cancelled
        )

    def _advance(self, host):
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
        elif self._wanted() and record["state"] == "running" and tables.unchanged(host):
            # The record was appended and the drain was not.
            self._actions.append((tables.drain, host, self._pool, self._name))
        else:
            del record["hosts"][host]

    def _advance_drain(self, host, assignment):
        tables = self._tables
        entry = self._record["hosts"][host]
        if self._name != "operator" and not self._wanted():
            self._return(host, assignment, "the maintenance was cancelled")
            return
        if self._record["state"] == "rolled_back":
            self._return(host, assignment, "the wave was rolled back")
            return
        need = tables.need.get(assignment.pool, 0)
        if self._name != "operator" and tables.serving[assignment.pool] < need:
            serving = tables.serving[assignment.pool]
            self._return(host, assignment, f"{serving} hosts serve and {need} must")
            return
        waiting = tables.waiting_for(host, assignment)
        if waiting is None:
            boots = tables.boots(host)
            if boots is not None:
                entry.update(boots=boots, down=tables.now)
                self._actions.append((tables.begin_maintenance, host))
            return
        tables.note(f"host/{host}", f"It is draining for {self._name}; {waiting}.")
        tables.checkpoint_tasks(host)
        limit = self._settings.straggler_limit_s if self._settings else math.inf
        if tables.now - entry["since"] > limit:
            self._record["deferred"][host] = tables.now
            self._return(host, assignment, f"after {limit:g} s, {waiting}")

    def _return(self, host, assignment, reason):
        """Return a drained host that was not rebooted; its pool does not change."""
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

    def _recheck(self, host):
        """Return a failed host that came back after all."""
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
        bad = domain_failures(self._tables, self._settings, failed)
        if bad < limit and len(record["failed"]) < limit:
            return
        if record["state"] != "rolled_back":
            record["state"] = "rolled_back"
            record["reason"] = (
                f"{max(bad, len(record['failed']))} hosts of one wave failed "
                "verification; repair them and commit the maintenance with another "
                "start."
            )
        # Hosts that are not yet rebooted go back to service at once.
        for host in sorted(record["hosts"]):
            assignment = self._tables.state.assignments[host]
            if assignment.state is HostState.DRAINING and not self._acts_on(host):
                self._return(host, assignment, "the wave was rolled back")

    def _acts_on(self, host):
        return any(host in action[1:] for action in self._actions)

    def _extend(self):
        tables, record, settings = self._tables, self._record, self._settings
        if record["state"] == "rolled_back":
            tables.note(f"wave/{self._key}", record["reason"])
            return
        left = self._left()
        self._warn(left)
        if not left or tables.now < settings.start:
            return
        if tables.now >= settings.end:
            record["reason"] = f"the window closed with {len(left)} hosts left"
            record["state"] = "paused"
            tables.note(f"wave/{self._key}", record["reason"])
            return
        ready = self._ready(left)
        room, why = self._system.room(tables, self._pool)
        for host in ready[:room]:
            record["hosts"][host] = host_record(tables, host)
            # Counted now, so that the next pool or wave of this tick sees it.
            tables.drain_later(host)
            self._actions.append((tables.drain, host, self._pool, self._name))
        if ready and not room and not record["hosts"]:
            record["state"], record["reason"] = "paused", why
            tables.note(f"wave/{self._key}", f"Paused with {len(left)} left: {why}.")
        elif record["hosts"]:
            record["state"], record["reason"] = "running", ""

    def _left(self):
        tables, record = self._tables, self._record
        done = done_hosts(tables, self._name, self._settings) | set(record["done"])
        return [
            host
            for host in tables.pool_hosts.get(self._pool, ())
            if host not in done
            and host not in record["hosts"]
            and host not in record["failed"]
        ]

    def _ready(self, left):
        """Return the hosts of the wave's domain that can be taken now."""
        tables, record = self._tables, self._record
        hosts = tables.manifest.hosts
        domain = self._settings.domain
        limit = self._settings.straggler_limit_s
        ready = [
            host
            for host in left
            if tables.state.assignments[host].takes_work
            and tables.unchanged(host)
            and tables.is_live(host)
            and tables.boots(host) is not None
            and tables.now - record["deferred"].get(host, -math.inf) > limit
        ]
        current = record["domain"]
        domains = sorted({getattr(hosts[host], domain) for host in ready})
        if not record["hosts"] and current not in domains and domains:
            record["domain"] = current = domains[0]
        return [host for host in ready if getattr(hosts[host], domain) == current]

    def _warn(self, left):
        tables, record, settings = self._tables, self._record, self._settings
        count = len(left) + len(record["hosts"])
        if not count:
            return
        limit = tables.manifest.pools[self._pool].max_unavailable
        budget = tables.serving[self._pool] + held_out(tables, self._pool)
        budget -= serving_floor(tables, self._pool)
        if tables.spare_hosts():
            budget = max(budget, 1)
        width = max(0, min(limit, budget))
        # In whole minutes, because each change of a note is a write of the table.
        left_s = (settings.end - max(tables.now, settings.start)) // 60 * 60
        if width == 0:
            if limit == 0 or left_s < count * settings.work_s:
                tables.note(
                    f"wave/{self._key}",
                    f"No host can be taken: {count} hosts are left, max_unavailable "
                    f"is {limit} and the budget leaves {max(0, budget)}. Add hosts "
                    "or lower the budget.",
                )
            return
        done = len(record["done"])
        each_s = max(settings.work_s, record["total_s"] / done if done else 0.0)
        domains = defaultdict(int)
        for host in (*left, *record["hosts"]):
            domains[getattr(tables.manifest.hosts[host], settings.domain)] += 1
        rounds = sum(math.ceil(n / width) for n in domains.values())
        if rounds * each_s > left_s:
            tables.note(
                f"wave/{self._key}",
                f"{count} hosts are left in {len(domains)} domains, {width} at a time: "
                f"{rounds} rounds of {each_s:.0f} s take {rounds * each_s:.0f} s and "
                f"the window has {max(0.0, left_s):.0f} s. Extend it or raise "
                "max_unavailable.",
            )

    def _finish(self):
        record = self._record
        if record["hosts"] or record["failed"]:
            return
        if not self._wanted():
            record["state"] = "ended"
        elif record["state"] != "rolled_back" and not self._left():
            record["state"], record["reason"] = "finished", ""


def new_record(start):
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


def host_record(tables, host):
    """Return the record of a host that a wave takes: boots before, and since when."""
    return {"boots": tables.boots(host), "since": tables.now}


def due_waves(tables):
    """Return the keys of the waves whose window is open or begins soon."""
    return [
        f"{name}/{pool}"
        for name, maintenance in tables.manifest.maintenance.items()
        if maintenance.start - WARN_AHEAD_S <= tables.now < maintenance.end
        and name not in tables.state.cancelled
        for pool in maintenance.pools
        if pool in tables.manifest.pools
    ]


def done_hosts(tables, name, maintenance):
    """Return the hosts that a maintenance has done, in whatever pool."""
    return {
        host
        for key, wave in tables.state.waves.items()
        if key.partition("/")[0] == name and wave["start"] == maintenance.start
        for host in wave["done"]
    }


def held_out(tables, pool):
    """Return how many hosts of a pool are held by maintenance."""
    count = tables.taken.get(pool, 0)
    for name in tables.pool_hosts.get(pool, ()):
        assignment = tables.state.assignments[name]
        if assignment.target == pool and not assignment.takes_work:
            count += 1
    return count


def serving_floor(tables, pool):
    """
    Return the hosts that must stay in service beside maintenance.

    The reserve for failures stays in service too. Where the spare cannot stand in
    and the pool is too small, the reserve shrinks until one host can be taken.
    """
    if pool not in tables.need:
        return tables.manifest.pools[pool].min_hosts
    need = tables.need[pool]
    reserve = failure_reserve(tables, pool)
    if not tables.spare_hosts():
        reserve = min(reserve, max(0, len(tables.pool_hosts[pool]) - need - 1))
    return need + reserve


def domain_failures(tables, settings, failed):
    """Return the highest number of failed hosts in one failure domain."""
    counts = defaultdict(int)
    for host in failed:
        entry = tables.manifest.hosts.get(host)
        if entry is not None:
            counts[getattr(entry, settings.domain)] += 1
    return max(counts.values(), default=0)
