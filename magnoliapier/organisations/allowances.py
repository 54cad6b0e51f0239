"""
Plans the allowances of organisations, for the holder of the fleet's shard.

A service counts with the greater of its reported use and of all allowances that its
holder may still act on. An allowance is raised only as far as the sum over all services
stays within the limit, so the limit holds however late a row is read and whoever holds
the shards. A lowered allowance frees its room once its holder acknowledges the row.

A row that was handed out for a commit counts as issued whatever becomes of the commit:
it may be applied late, and a service may act on it.
"""

import math

from magnoliapier.logs import get_logger
from magnoliapier.organisations.amounts import (
    EVERYTHING,
    NOTHING,
    UNLIMITED,
    admits,
    bounds_of,
    dominant_share,
    highest,
    lowest,
    minus,
    plus,
    total,
    values,
)
from magnoliapier.organisations.division import ServiceDemand, divide
from magnoliapier.organisations.next_allowances import (
    IssuedAmounts,
    Share,
    next_allowed,
)
from magnoliapier.organisations.rows import (
    NO_ALLOWANCE,
    NO_REPORT,
    NO_ROW,
    AllowanceRow,
    ServiceAllowance,
)
from magnoliapier.organisations.turns import HALF, Turns
from magnoliapier.submissions.model import Resources, fits

# Changes within this time are written as one row, as about forty hosts read each row
# over slow links.
MIN_WRITE_INTERVAL_S = 0.2
# Between plans from the same reports, which differ by turns and recent demand only.
REPLAN_INTERVAL_S = 0.5
# Between rows that only divide spare room anew, for which no task waits.
SPREAD_INTERVAL_S = 0.5
RECENT_HALF_LIFE_S = 10.0  # twice the length of a burst
# After this time without a report, a service counts as one without holder. A holder
# that keeps its lease reports much sooner, and runs without a holder have ended: no
# endpoint keeps a lease for so long that nobody extends.
UNREPORTED_LIMIT_S = 20.0
# Added to the version of an unreadable row: more than the numbers that a holder can
# have used without storing them.
SKIPPED_NUMBERS = 2**20

log = get_logger(__name__)


class OrganisationAllowances:
    """
    The allowances of one organisation, as their only writer knows them.

    ``row`` is the newest one that was handed out, and ``stored`` whether its commit has
    been confirmed.
    """

    def __init__(self, row=NO_ROW):
        self.row = row
        self.stored = True
        self._issued = {
            name: IssuedAmounts(entry) for name, entry in row.services.items()
        }
        self._unreported_since = {}
        self._without_holder = set()
        self._typical = {}
        self._recent = {}
        self._recent_at = 0.0
        self._turns = Turns()
        self._in_turn = {}
        self._written_at = -math.inf
        self._planned = None
        self._planned_at = -math.inf

    def bound(self, service, report):
        """
        Return the most that a service's holder may still act on.

        Without a report that can be read, its use is unknown as well.
        """
        issued = self._issued.get(service)
        if issued is None or service in self._without_holder:
            return NOTHING
        return EVERYTHING if report is None else issued.bound(report.acknowledged)

    def _find_without_holder(self, reports, held, now):
        """
        Find the services that nobody has held since their limit was set.

        Such a service counts with everything. One that is not used any more would keep
        all others waiting, so it stops counting after UNREPORTED_LIMIT_S. One that is
        held goes on counting without a report: its runs may go on.
        """
        self._unreported_since = {
            name: self._unreported_since.get(name, now)
            for name, entry in self.row.services.items()
            if name not in reports and name not in held and entry.bound == EVERYTHING
        }
        for name, since in self._unreported_since.items():
            if now - since >= UNREPORTED_LIMIT_S and name not in self._without_holder:
                log.warning("service_without_report", service=name, since_s=now - since)
                self._without_holder.add(name)
        self._without_holder -= reports.keys()

    def plan(self, limit, services, reports, now, held=()):
        """
        Return the row to write now, or None.

        ``services`` are those that may run tasks of the organisation, and ``reports``
        holds the OrganisationUse of each that has reported one. ``held`` are the shards
        that have a holder.
        """
        names = sorted({*services, *reports, *self.row.services})
        if not self.row.number:
            self._issue(self._first_services(names, reports), now)
            return self.row
        self._find_without_holder(reports, held, now)
        if self._due(limit, names, reports, now):
            self._plan(limit, names, reports, now)
        return None if self.stored else self.row

    def _due(self, limit, names, reports, now):
        """Return whether the allowances have to be planned anew."""
        inputs = (self.row, limit, names, reports)
        if inputs == self._planned and now - self._planned_at < REPLAN_INTERVAL_S:
            return False
        # A plan is skipped only if the one before it could have been written.
        if now - self._written_at >= MIN_WRITE_INTERVAL_S:
            self._planned, self._planned_at = inputs, now
        return True

    def _plan(self, limit, names, reports, now):
        demands = self._demands(limit, names, reports, now)
        targets = divide(limit, demands)
        for name in names:
            targets.setdefault(name, NOTHING)  # those without a report
        allowed = self._next_allowed(limit, reports, targets)
        if self._worth_writing(limit, reports, targets, allowed, now):
            self._issue(self._next_services(reports, allowed), now)

    def _first_services(self, names, reports):
        """
        Return the allowances of the first row: none.

        A holder without a report may not know the limit yet and start anything until it
        acknowledges this row.
        """
        return {
            name: (
                ServiceAllowance()
                if name in reports
                else ServiceAllowance(NOTHING, EVERYTHING, since=1)
            )
            for name in names
        }

    def _issue(self, services, now):
        self.row = AllowanceRow(self.row.number + 1, services)
        for name, entry in services.items():
            issued = self._issued.setdefault(name, IssuedAmounts(entry))
            issued.add(self.row.number, entry.allowed)
        self.stored = False
        self._written_at = now

    def _demands(self, limit, names, reports, now):
        """Return the ServiceDemands of the services with a report, in their turn."""
        self._update_recent(limit, reports, now)
        asking = sum(report.demand != NOTHING for report in reports.values())
        stuck = {
            name
            for name, report in reports.items()
            if self._is_stuck(name, report)
            # One that has its fair share already gets no turn before others.
            and dominant_share(report.use, limit) * asking < 1
        }
        self._in_turn = {name: reports[name] for name in stuck}
        used = total(report.use for report in reports.values())
        used_share = dominant_share(used, limit)
        unused = minus(limit, used)
        too_large = {n for n in stuck if not fits(reports[n].largest, unused)}
        order, paused = self._turns.update(stuck, too_large, used_share, now)
        if used_share < HALF:
            paused |= reports.keys() - stuck
        others = sorted(
            reports.keys() - set(order),
            key=lambda name: (dominant_share(reports[name].use, limit), name),
        )
        return {
            name: ServiceDemand(
                reports[name],
                self._recent[name],
                name in order,
                name in paused,
                self._typical.get(name, NOTHING),
            )
            for name in (*order, *others)
        }

    def _update_recent(self, limit, reports, now):
        decay = 0.5 ** ((now - self._recent_at) / RECENT_HALF_LIFE_S)
        self._recent_at = now
        self._recent = {
            name: max(
                dominant_share(ServiceDemand(report).wanted(limit), limit),
                self._recent.get(name, 0.0) * decay,
            )
            for name, report in reports.items()
        }
        for name, report in reports.items():
            if report.demand != NOTHING:
                self._typical[name] = report.smallest

    def _is_stuck(self, name, report):
        """
        Return whether the largest waiting task or gang of a service lacks room.

        A service that was stuck stays so until it reports another use or largest task,
        so that room which was granted to it is not taken back before it is used.
        """
        if report.demand == NOTHING:
            return False
        before = self._in_turn.get(name, NO_REPORT)
        if (before.use, before.largest) == (report.use, report.largest):
            return True
        return not admits(report.largest, minus(self.row.allowed(name), report.use))

    def _next_allowed(self, limit, reports, targets):
        """Return what each service may be allowed next."""
        names = list(targets)
        bounds = {name: self.bound(name, reports.get(name)) for name in names}
        columns = []
        for index, limited in enumerate(values(limit)):
            shares = [
                Share(
                    values(reports[name].use)[index] if name in reports else 0,
                    values(bounds[name])[index],
                    values(self.row.allowed(name))[index],
                    values(targets[name])[index],
                )
                for name in names
            ]
            columns.append(next_allowed(limited, shares))
        rows = zip(names, zip(*columns, strict=True), strict=True)
        allowed = {name: Resources(*amounts) for name, amounts in rows}
        for name, report in reports.items():
            room = minus(allowed[name], report.use)
            if report.demand != NOTHING and not admits(report.smallest, room):
                # A raise by less than a task would have to be taken back for others.
                allowed[name] = lowest(allowed[name], self.row.allowed(name))
        return allowed

    def _next_services(self, reports, allowed):
        services = {}
        for name, amount in allowed.items():
            entry = self.row.services.get(name, NO_ALLOWANCE)
            bound = highest(self.bound(name, reports.get(name)), amount)
            if bound == amount:
                since = 0
            elif fits(entry.allowed, amount):
                # No row since then has allowed more than this one does.
                since = entry.since
            else:
                since = self.row.number + 1
            services[name] = ServiceAllowance(amount, bound, since)
        return services

    def _worth_writing(self, limit, reports, targets, allowed, now):
        """Return whether someone gains by a row with these allowances."""
        if all(self.row.allowed(name) == allowed[name] for name in allowed):
            return False
        if self._exceeds(limit, reports):
            return True
        idle_s = now - self._written_at
        if idle_s < MIN_WRITE_INTERVAL_S:
            return False
        for name, report in reports.items():
            if self._gains(name, report, targets[name], allowed, limit):
                return True
        return idle_s >= SPREAD_INTERVAL_S and any(
            self._lacks_spare_room(name, report, targets[name], limit)
            for name, report in reports.items()
        )

    def _exceeds(self, limit, reports):
        """Return whether the allowances and uses together exceed the limit."""
        used = NOTHING
        for name, entry in self.row.services.items():
            report = reports.get(name)
            use = report.use if report else NOTHING
            used = plus(used, highest(use, entry.allowed))
        pairs = zip(values(used), values(limit), strict=True)
        return any(value > limited for value, limited in pairs if limited < UNLIMITED)

    def _gains(self, name, report, target, allowed, limit):
        """Return whether a service that asks gets more, or others get less for it."""
        now_allowed = self.row.allowed(name)
        wanted = ServiceDemand(report).wanted(limit)
        if report.demand == NOTHING or fits(wanted, now_allowed):
            return False
        room = minus(allowed[name], report.use)
        more = minus(allowed[name], now_allowed)
        if more != NOTHING and admits(report.smallest, room):
            return True
        if minus(target, now_allowed) == NOTHING:
            return False
        return any(
            not fits(self.row.allowed(other), amount)
            for other, amount in allowed.items()
            if other != name
        )

    def _lacks_spare_room(self, name, report, target, limit):
        """Return whether a service has under half of the spare room of its target."""
        now_allowed = self.row.allowed(name)
        for allowed, wanted, use, limited in zip(
            values(now_allowed),
            values(target),
            values(report.use),
            values(limit),
            strict=True,
        ):
            spare = max(0, allowed - use)
            if limited < UNLIMITED and spare * 2 < wanted - use:
                return True
            if limited >= UNLIMITED and allowed < UNLIMITED:
                return True
        return False


class AllowancePlanner:
    """
    Plans the allowance rows of all organisations.

    ``rows`` are the stored ones by organisation. ``unreadable`` maps those whose row
    can't be read to a number that no row of theirs has reached.

    Example::

        planner = AllowancePlanner(rows)
        changed = planner.plan({"acme": Resources(8000)}, ["desk"], usages, now)
        await store(changed)
        planner.mark_stored(changed)
    """

    def __init__(self, rows, unreadable=()):
        self._organisations = {
            name: OrganisationAllowances(row) for name, row in rows.items()
        }
        self._unreadable = dict(unreadable)

    def numbers(self):
        """Return the number of each organisation's newest row."""
        return {name: each.row.number for name, each in self._organisations.items()}

    def plan(self, limits, services, usages, now, held=()):
        """
        Return the rows to write now, by organisation.

        ``limits`` maps organisations to their configured limits, ``usages`` services to
        their UsageRows, and ``held`` are the shards that have a holder. An organisation
        whose limit was dropped keeps its row, under which everything is allowed.
        """
        changed = {}
        for name in sorted({*limits, *self._organisations, *self._unreadable}):
            reports = {
                service: usage.organisations[name]
                for service, usage in usages.items()
                if name in usage.organisations
            }
            allowances = self._allowances_of(name, {*services, *reports})
            limit = bounds_of(limits.get(name, NOTHING))
            row = allowances.plan(limit, services, reports, now, held)
            if row is not None:
                changed[name] = row
        return changed

    def _allowances_of(self, name, services):
        number = self._unreadable.pop(name, None)
        if number is not None:
            entry = ServiceAllowance(NOTHING, EVERYTHING, number)
            lost = OrganisationAllowances(
                AllowanceRow(number, dict.fromkeys(services, entry))
            )
            lost.stored = False
            self._organisations[name] = lost
        return self._organisations.setdefault(name, OrganisationAllowances())

    def mark_stored(self, rows):
        """Record that the commit of rows was confirmed."""
        for name, row in rows.items():
            allowances = self._organisations[name]
            if allowances.row is row:
                allowances.stored = True

    def write_again(self, name):
        """Let the next plan return the row of an organisation again."""
        self._organisations[name].stored = False
