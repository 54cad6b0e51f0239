"""
Checks of a manifest that its models cannot make: references, sizes and budgets.

Each check is a registered function that takes a Manifest and yields a
:class:`magnoliapier.manifest.Problem` for each fault. Messages about sizes contain
the numbers that were compared.
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
    """Return the names of the hosts whose initial pool is ``pool``."""
    return [name for name, host in manifest.hosts.items() if host.pool == pool]


def min_serving_hosts(manifest, pool):
    """Return how many hosts of ``pool`` must serve to satisfy its strictest service."""
    shares = [s.min_available for s in manifest.services.values() if s.pool == pool]
    return math.ceil(max(shares, default=0.0) * len(hosts_in(manifest, pool)))


def maintenance_limit(manifest, pool):
    """Return how many hosts of ``pool`` maintenance may take out of service at once."""
    count = len(hosts_in(manifest, pool))
    budget = count - min_serving_hosts(manifest, pool)
    return min(manifest.pools[pool].max_unavailable, budget)


@manifest_checks.register("references")
def check_references(manifest):
    """Check that the spare pool and every pool that is referred to are declared."""
    pools = manifest.pools
    pool_references = [
        (f"$.services.{name}.pool", service.pool)
        for name, service in manifest.services.items()
    ]
    pool_references += [
        (f"$.hosts.{name}.pool", host.pool) for name, host in manifest.hosts.items()
    ]
    pool_references += [
        (f"$.jobs.{name}.pool", job.pool) for name, job in manifest.jobs.items()
    ]
    for section, items in (
        ("maintenance", manifest.maintenance),
        ("calendar", manifest.calendar),
    ):
        pool_references += [
            (f"$.{section}.{name}.pools[{index}]", pool)
            for name, item in items.items()
            for index, pool in enumerate(item.pools)
        ]
    for path, pool in pool_references:
        if pool not in pools:
            yield Problem(path, f"Pool {pool!r} is not declared.", "Add it to pools.")
    if SPARE_POOL not in pools:
        yield Problem(
            "$.pools",
            f"Pool {SPARE_POOL!r} is missing.",
            "Declare the shared spare pool.",
        )


@manifest_checks.register("teams")
def check_teams(manifest):
    """Check that every job names a declared team of a declared organisation."""
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
    """Check that every job fits a host and its quota; otherwise it can never run."""
    for name, job in manifest.jobs.items():
        organisation = manifest.organisations.get(job.organisation)
        team = organisation.teams.get(job.team) if organisation else None
        for resource in ("cores", "memory_gb", "accelerators"):
            required = getattr(job, resource)
            largest = max(
                (
                    getattr(manifest.hosts[host], resource)
                    for host in hosts_in(manifest, job.pool)
                ),
                default=0,
            )
            if required > largest:
                yield Problem(
                    f"$.jobs.{name}.{resource}",
                    f"The job needs {required} and the largest host of pool "
                    f"{job.pool!r} has {largest}, so it can never run.",
                    "Ask for less or name another pool.",
                )
            if team is not None and required > getattr(team, resource):
                yield Problem(
                    f"$.jobs.{name}.{resource}",
                    f"The job needs {required} and the quota of team {job.team!r} is "
                    f"{getattr(team, resource)}, so it can never run.",
                    "Ask for less or raise the quota.",
                )


@manifest_checks.register("pool_sizes")
def check_pool_sizes(manifest):
    """Check the size limits of all pools and that there are enough hosts for them."""
    for name, pool in manifest.pools.items():
        if pool.min_hosts > pool.max_hosts:
            yield Problem(
                f"$.pools.{name}",
                f"min_hosts {pool.min_hosts} exceeds max_hosts {pool.max_hosts}.",
                "Correct one of them.",
            )
        count = len(hosts_in(manifest, name))
        if pool.min_hosts > count:
            yield Problem(
                f"$.pools.{name}.min_hosts",
                f"min_hosts is {pool.min_hosts} and the pool starts with {count}.",
                "Give the pool more hosts or lower min_hosts.",
            )
    required = sum(pool.min_hosts for pool in manifest.pools.values())
    if required > len(manifest.hosts):
        yield Problem(
            "$.pools",
            f"The minimums of all pools add up to {required} and there are "
            f"{len(manifest.hosts)} hosts.",
            "Lower min_hosts or add hosts.",
        )


@manifest_checks.register("addresses")
def check_addresses(manifest):
    """Check that no hosts share an address; they would run each other's requests."""
    host_by_address = {}
    for name, host in manifest.hosts.items():
        if host.address in host_by_address:
            yield Problem(
                f"$.hosts.{name}.address",
                f"{host.address} is also the address of host "
                f"{host_by_address[host.address]!r}.",
                "Give each host its own address.",
            )
        host_by_address[host.address] = name


@manifest_checks.register("racks")
def check_racks(manifest):
    """Check that each rack is in one data centre, as a rack is a failure domain."""
    data_centre_by_rack = {}
    for name, host in manifest.hosts.items():
        data_centre = data_centre_by_rack.setdefault(host.rack, host.data_centre)
        if data_centre != host.data_centre:
            yield Problem(
                f"$.hosts.{name}.rack",
                f"Rack {host.rack!r} is in {data_centre!r} and {host.data_centre!r}.",
                "Give racks names that are unique across data centres.",
            )


@manifest_checks.register("maintenance_windows")
def check_maintenance_windows(manifest):
    """Check that maintenance fits its window without breaking availability budgets."""
    for name, maintenance in manifest.maintenance.items():
        path = f"$.maintenance.{name}"
        if maintenance.end <= maintenance.start:
            yield Problem(
                path, "The end is not after the start.", "Correct start or end."
            )
            continue
        for pool in maintenance.pools:
            if pool in manifest.pools:
                yield from check_pool_window(manifest, maintenance, path, pool)


def check_pool_window(manifest, maintenance, path, pool):
    """Check that maintenance of one pool fits its window and availability budget."""
    window_s = maintenance.end - maintenance.start
    count = len(hosts_in(manifest, pool))
    if count == 0:
        return
    limit = maintenance_limit(manifest, pool)
    if limit < 1:
        yield Problem(
            path,
            f"Pool {pool!r} has {count} hosts, {min_serving_hosts(manifest, pool)} of "
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
    """Check that no calendar day is 0; days count from 1, or from -1 backwards."""
    for name, event in manifest.calendar.items():
        for key in ("start_day", "end_day"):
            if getattr(event, key) == 0:
                yield Problem(
                    f"$.calendar.{name}.{key}",
                    "Day 0 does not exist.",
                    "Use 1 to 31, or -1 for the last day.",
                )
