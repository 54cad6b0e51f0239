"""
Checks of a manifest that go beyond its shape: references, sizes and budgets.

Each check is a function in a registry that takes a Manifest and yields
:class:`magnoliapier.manifest.Problem` with the arithmetic in its message.
"""

import math

from magnoliapier.exceptions import ManifestError
from magnoliapier.manifest import SPARE_POOL, Problem
from magnoliapier.registry import Registry

manifest_checks = Registry("manifest check")


def check_manifest(manifest):
    """Run all checks; raise ManifestError that lists every problem found."""
    problems = [
        problem
        for name in manifest_checks.names()
        for problem in manifest_checks.get(name)(manifest)
    ]
    if problems:
        raise ManifestError(problems)


def hosts_in(manifest, pool):
    """Return the names of the hosts that the manifest starts in ``pool``."""
    return [name for name, host in manifest.hosts.items() if host.pool == pool]


def available_floor(manifest, pool):
    """Return how many hosts of ``pool`` its strictest service keeps serving."""
    shares = [s.min_available for s in manifest.services.values() if s.pool == pool]
    return math.ceil(max(shares, default=0.0) * len(hosts_in(manifest, pool)))


def maintenance_limit(manifest, pool):
    """Return how many hosts of ``pool`` maintenance may hold at once."""
    count = len(hosts_in(manifest, pool))
    budget = count - available_floor(manifest, pool)
    return min(manifest.pools[pool].max_unavailable, budget)


@manifest_checks.register("references")
def check_references(manifest):
    """Every name that is used must be declared."""
    pools = manifest.pools
    uses = [
        (f"$.services.{name}.pool", service.pool)
        for name, service in manifest.services.items()
    ]
    uses += [
        (f"$.hosts.{name}.pool", host.pool) for name, host in manifest.hosts.items()
    ]
    uses += [(f"$.jobs.{name}.pool", job.pool) for name, job in manifest.jobs.items()]
    for section, items in (
        ("maintenance", manifest.maintenance),
        ("calendar", manifest.calendar),
    ):
        uses += [
            (f"$.{section}.{name}.pools[{index}]", pool)
            for name, item in items.items()
            for index, pool in enumerate(item.pools)
        ]
    for path, pool in uses:
        if pool not in pools:
            yield Problem(path, f"Pool {pool!r} is not declared.", "Add it to pools.")
    if SPARE_POOL not in pools:
        yield Problem(
            "$.pools", f"Pool {SPARE_POOL!r} is missing.", "Declare the shared spare."
        )


@manifest_checks.register("teams")
def check_teams(manifest):
    """Every job must name a declared team of a declared organisation."""
    for name, job in manifest.jobs.items():
        organisation = manifest.organisations.get(job.organisation)
        if organisation is None:
            yield Problem(
                f"$.jobs.{name}.organisation",
                f"Organisation {job.organisation!r} is not declared.",
                "Add it to organisations.",
            )
        elif job.team not in organisation.teams:
            yield Problem(
                f"$.jobs.{name}.team",
                f"Team {job.team!r} of {job.organisation!r} is not declared.",
                "Add it to the organisation's teams.",
            )


@manifest_checks.register("job_sizes")
def check_job_sizes(manifest):
    """A job that fits no host of its pool, or no quota, can never run."""
    for name, job in manifest.jobs.items():
        organisation = manifest.organisations.get(job.organisation)
        team = organisation.teams.get(job.team) if organisation else None
        for resource in ("cores", "memory_gb", "accelerators"):
            wanted = getattr(job, resource)
            largest = max(
                (
                    getattr(manifest.hosts[host], resource)
                    for host in hosts_in(manifest, job.pool)
                ),
                default=0,
            )
            if wanted > largest:
                yield Problem(
                    f"$.jobs.{name}.{resource}",
                    f"The job wants {wanted} and the largest host of pool "
                    f"{job.pool!r} has {largest}, so it can never run.",
                    "Ask for less or name another pool.",
                )
            if team is not None and wanted > getattr(team, resource):
                yield Problem(
                    f"$.jobs.{name}.{resource}",
                    f"The job wants {wanted} and the quota of team {job.team!r} is "
                    f"{getattr(team, resource)}, so it can never run.",
                    "Ask for less or raise the quota.",
                )


@manifest_checks.register("pool_sizes")
def check_pool_sizes(manifest):
    """The hosts must suffice for every pool's minimum."""
    for name, pool in manifest.pools.items():
        if pool.min_hosts > pool.max_hosts:
            yield Problem(
                f"$.pools.{name}",
                f"min_hosts {pool.min_hosts} is over max_hosts {pool.max_hosts}.",
                "Correct one of them.",
            )
        count = len(hosts_in(manifest, name))
        if pool.min_hosts > count:
            yield Problem(
                f"$.pools.{name}.min_hosts",
                f"min_hosts is {pool.min_hosts} and the pool starts with {count}.",
                "Give the pool more hosts or lower min_hosts.",
            )
    wanted = sum(pool.min_hosts for pool in manifest.pools.values())
    if wanted > len(manifest.hosts):
        yield Problem(
            "$.pools",
            f"The minimums of all pools add up to {wanted} and there are "
            f"{len(manifest.hosts)} hosts.",
            "Lower min_hosts or add hosts.",
        )


@manifest_checks.register("addresses")
def check_addresses(manifest):
    """Two hosts at one address would run each other's requests."""
    seen = {}
    for name, host in manifest.hosts.items():
        if host.address in seen:
            yield Problem(
                f"$.hosts.{name}.address",
                f"{host.address} is the address of host {seen[host.address]!r} too.",
                "Give each host its own address.",
            )
        seen[host.address] = name


@manifest_checks.register("racks")
def check_racks(manifest):
    """A rack is a failure domain, so it stands in one data centre."""
    centres = {}
    for name, host in manifest.hosts.items():
        centre = centres.setdefault(host.rack, host.data_centre)
        if centre != host.data_centre:
            yield Problem(
                f"$.hosts.{name}.rack",
                f"Rack {host.rack!r} is in {centre!r} and in {host.data_centre!r}.",
                "Give racks names that are unique over data centres.",
            )


@manifest_checks.register("maintenance_windows")
def check_maintenance_windows(manifest):
    """Every maintenance must fit its window within the availability budgets."""
    for name, maintenance in manifest.maintenance.items():
        path = f"$.maintenance.{name}"
        if maintenance.end <= maintenance.start:
            yield Problem(path, "It ends before it starts.", "Correct start or end.")
            continue
        for pool in maintenance.pools:
            if pool in manifest.pools:
                yield from check_pool_window(manifest, maintenance, path, pool)


def check_pool_window(manifest, maintenance, path, pool):
    """Compare the time that one pool needs with the window."""
    window_s = maintenance.end - maintenance.start
    count = len(hosts_in(manifest, pool))
    if count == 0:
        return
    limit = maintenance_limit(manifest, pool)
    if limit < 1:
        yield Problem(
            path,
            f"Pool {pool!r} has {count} hosts, {available_floor(manifest, pool)} of "
            f"them must keep serving and max_unavailable is "
            f"{manifest.pools[pool].max_unavailable}, so none can be maintained.",
            "Lower min_available, raise max_unavailable or add hosts.",
        )
        return
    needed_s = math.ceil(count / limit) * maintenance.work_s
    if needed_s > window_s:
        yield Problem(
            path,
            f"Pool {pool!r} needs ceil({count} / {limit}) * {maintenance.work_s:g} = "
            f"{needed_s:g} s and the window has {window_s:g} s.",
            "Lengthen the window or allow more hosts at once.",
        )


@manifest_checks.register("calendar_days")
def check_calendar_days(manifest):
    """Calendar days count from 1, or from -1 at the end of the month."""
    for name, event in manifest.calendar.items():
        for key in ("start_day", "end_day"):
            if getattr(event, key) == 0:
                yield Problem(
                    f"$.calendar.{name}.{key}",
                    "Day 0 does not exist.",
                    "Use 1 to 31, or -1 for the last day.",
                )
