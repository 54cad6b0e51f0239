"""
Specification of the allowances by which an organisation's limit is divided.

One organisation has runs on two services. The holder of the fleet's shard divides the
limit among the services in the allowance row. The holder of each service's shard starts
runs within its allowance and reports their number in the usage row. Each run takes one
unit of the limit. Both kinds of holder are replaced at times, commits may be applied
late or lose their answers, rows are read late, and configurations that change the limit
become known to the holders at different times.

The rules are:

- A1. A commit is conditional on the lease row of its shard, which each takeover
  changes.
- A2. After a lost answer the next commit rewrites the lease row, so that the commit
  whose answer was lost can no longer be applied.
- A3. Each content of the allowance row has a number of its own, which increases also if
  the answer to the commit of the previous content was lost.
- A4. A service counts with the greater of its reported use and all allowances that it
  may still act on: those of rows with the acknowledged number or a higher one, also of
  rows whose commit got no answer.
- A5. An allowance row is written only if each service's allowance, unless it is 0, and
  what all others count with fit into the limit, with the new row taken into account.
  Allowances that fit into a lowered limit together would not be enough: one service
  could start runs while another one still has more runs than its own allowance.
- A6. The allowance row holds a bound for each service: the greatest allowance that it
  might act on when the row was written. A new holder of the fleet's shard counts with
  the bound until its row is acknowledged. It reads the usage rows after its takeover.
- A7. A service's holder starts a run only while its runs are fewer than the allowance
  of the newest row that it has read. A run counts until it is certainly gone.
- A8. The usage row is written by the commit that stores the starts. Its use and its
  acknowledgement are those of the same moment, and the use includes the starts of the
  commit.
- A9. A start is sent only after its commit and while the holder's lease lasts.
- A10. A new holder of a service counts the recorded runs from the beginning. It acts
  only on allowance rows at least as new as the acknowledged one.
- A11. A service's holder that knows of no limit acts on no allowance row. The usage row
  therefore also holds the version of the configuration that the holder knows. A service
  counts without bound while that version is older than the one by which the fleet's
  holder divides, and a new holder starts nothing until it knows that version.

A configuration counts as in force as long as the fleet's holder knows no newer one or a
service's holder acts on a row that was written under it. Which version a service's
holder knows is modelled only in scenarios that have a configuration without limit.

Not modelled: several resources and runs of different sizes, more than two services,
the demand (each division of the limit may be chosen at any time), services that leave
the configuration, and times. A run that may still be started by an order without an
answer isn't distinguished from a running one. How the end of a run becomes certain is
the subject of ``shard`` and ``incarnations``.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

SERVICES = (0, 1)
NO_LIMIT = 99  # more than all runs of the model


class AllowanceRow(NamedTuple):
    """
    The allowance row.

    ``configuration`` is the version whose limit it divides and ``term`` the number of
    takeovers of the fleet's shard before it was written; neither is used by the rules.
    """

    number: int = 0
    allowed: tuple = (0, 0)
    bound: tuple = (0, 0)
    configuration: int = 0
    term: int = 0


class UsageRow(NamedTuple):
    """
    The usage row, and the number of runs that the service's progress rows record.

    ``configuration`` is the version that the holder knew.
    """

    configuration: int = 0
    acknowledged: int = 0
    use: int = 0
    runs: int = 0


class Fleet(NamedTuple):
    """
    The memory of the fleet's holder.

    ``row`` is the newest row that it has decided on. ``counted`` has, for each service,
    the allowances that it may still act on, as ``(number, allowance)`` without those
    that a later and greater one makes irrelevant. ``use`` is the use that the fleet's
    holder has read, or 0 if the counted allowances are greater, and ``versions`` are
    the versions of the configuration in the usage rows that it has read.
    ``configuration`` is the version that it knows itself. ``changed`` says that ``row``
    is not committed and ``unknown`` that the answer to a commit was lost.
    """

    row: AllowanceRow = AllowanceRow()
    counted: tuple = ((), ())
    use: tuple = (0, 0)
    versions: tuple = (0, 0)
    configuration: int = 0
    term: int = 0
    changed: bool = False
    unknown: bool = False


class Holder(NamedTuple):
    """
    The memory of a service's holder.

    ``row`` is the newest allowance row that it has read, reduced to what concerns the
    service, and ``acknowledged`` the number in the usage row at its takeover until a
    row is read. ``configuration`` is the version that it knows and ``required`` the one
    in the usage row at its takeover. Of its ``runs``, ``unsent`` are not sent yet.
    ``changed`` and ``unknown`` are as in :class:`Fleet`.
    """

    row: AllowanceRow | None = None
    acknowledged: int = 0
    configuration: int = 0
    required: int = 0
    runs: int = 0
    unsent: int = 0
    changed: bool = False
    unknown: bool = False


class Service(NamedTuple):
    """
    A service: its row, its holder, and what is true of its runs.

    ``alive`` counts the runs that are running or may still be started by an order in
    transit. ``late`` is a commit that may still be applied. ``former_unsent`` counts
    starts that a former holder might still send.
    """

    stored: UsageRow = UsageRow()
    holder: Holder = Holder()
    late: UsageRow | None = None
    alive: int = 0
    former_unsent: int = 0
    takeovers: int = 0


class State(NamedTuple):
    """
    The fleet's holder, both services and the allowance rows that may be read.

    ``rows`` has the contents of the allowance row that may still be read, the current
    one last. ``late_row`` is a commit that may still be applied. ``published`` is the
    newest configuration. ``exceeded`` is set by a start above all limits in force.
    """

    fleet: Fleet = Fleet()
    services: tuple = (Service(), Service())
    rows: tuple = (AllowanceRow(),)
    late_row: AllowanceRow | None = None
    published: int = 0
    exceeded: bool = False


@specifications.register("allowances")
class AllowancesSpecification(Specification):
    """
    The rules A1 to A11.

    In the bounds, ``limits`` are those of the configurations, ``most`` is the number of
    runs that a service without a limit can have, ``first`` is the first division of the
    limit and ``numbers`` the highest number of a row. Commits of the services in
    ``late`` may be late or lose their answers, and those of the fleet's holder if
    ``late_rows`` is set; a decision of any other holder is committed in the same step.
    ``takeovers`` and ``fleet_takeovers`` count replaced holders.
    """

    name = "allowances"
    mistakes = Registry("allowances mistake")
    scenarios = {
        "service takeover": {
            "limits": (1,),
            "first": (1, 0),
            "numbers": 3,
            "late": (0,),
            "late_rows": False,
            "takeovers": (1, 0),
            "fleet_takeovers": 0,
        },
        "both takeovers": {
            "limits": (1,),
            "first": (1, 0),
            "numbers": 3,
            "late": (0,),
            "late_rows": False,
            "takeovers": (1, 0),
            "fleet_takeovers": 1,
        },
        "late allowance rows": {
            "limits": (2,),
            "first": (2, 0),
            "numbers": 3,
            "late": (),
            "late_rows": True,
            "takeovers": (0, 0),
            "fleet_takeovers": 1,
        },
        "fleet takeover": {
            "limits": (2,),
            "first": (2, 0),
            "numbers": 4,
            "late": (),
            "late_rows": False,
            "takeovers": (0, 0),
            "fleet_takeovers": 1,
        },
        "lowered limit": {
            "limits": (2, 1),
            "first": (2, 0),
            "numbers": 3,
            "late": (),
            "late_rows": False,
            "takeovers": (0, 0),
            "fleet_takeovers": 1,
        },
        "lowered and raised": {
            "limits": (2, 1, 2),
            "first": (1, 1),
            "numbers": 3,
            "late": (),
            "late_rows": False,
            "takeovers": (0, 0),
            "fleet_takeovers": 0,
        },
        "introduced limit": {
            "limits": (NO_LIMIT, 1),
            "first": (0, 0),
            "most": 1,
            "numbers": 3,
            "late": (),
            "late_rows": False,
            "takeovers": (1, 0),
            "fleet_takeovers": 1,
        },
    }

    def __init__(self, scenario):
        super().__init__(scenario)
        self._knows_no_limit = NO_LIMIT in self.bounds["limits"]
        first = AllowanceRow(1, self.bounds["first"], self.bounds["first"])
        self.initial = State(
            fleet=Fleet(
                row=first, counted=counted_after([(), ()], 1, self.bounds["first"])
            ),
            rows=(first,),
        )

    def invariants(self):
        """Return the safety properties."""
        limits = self.bounds["limits"]
        return {
            "runs_within_the_highest_limit": lambda state: (
                sum(service.alive for service in state.services)
                <= max(limits[: state.published + 1])
            ),
            "no_start_above_the_limit_in_force": lambda state: not state.exceeded,
        }

    def witnesses(self):
        """Return the states that must be reachable."""
        bounds = self.bounds
        reached = {"limit_is_used": self._limit_is_used}
        if self._knows_no_limit:
            return {"starts_under_the_introduced_limit": self._allows_runs}
        if len(bounds["limits"]) == 1:
            reached["room_is_handed_on"] = lambda state: any(
                self._has_gained(service, index)
                for index, service in enumerate(state.services)
            )
        if any(bounds["takeovers"]):
            reached["new_service_holder_starts"] = lambda state: any(
                service.takeovers and service.holder.unsent
                for service in state.services
            )
        if bounds["fleet_takeovers"]:
            reached["new_fleet_holder_hands_on"] = lambda state: any(
                self._has_gained(service, index) and service.holder.row.term
                for index, service in enumerate(state.services)
            )
        if len(bounds["limits"]) == 2:
            reached["starts_under_the_lowered_limit"] = lambda state: (
                self._versions_in_force(state) == [1]
                and any(
                    self._has_gained(service, index)
                    for index, service in enumerate(state.services)
                )
            )
        if len(bounds["limits"]) > 2:
            reached["uses_the_raised_limit"] = lambda state: (
                self._versions_in_force(state) == [2] and self._limit_is_used(state)
            )
        return reached

    def _allows_runs(self, state):
        """Return whether a service runs what a row of the newest version allows."""
        newest = len(self.bounds["limits"]) - 1
        return self._versions_in_force(state) == [newest] and any(
            service.alive and service.holder.row and service.holder.row.allowed[index]
            for index, service in enumerate(state.services)
        )

    def _limit_is_used(self, state):
        return sum(service.alive for service in state.services) == max(
            self.bounds["limits"]
        )

    def _has_gained(self, service, index):
        """Return whether a service runs more than the first division allowed."""
        return service.alive > self.bounds["first"][index]

    def discards_after_takeover(self):
        """Return whether a takeover discards the commits of former holders (A1)."""
        return True

    def rewrites(self, holder):
        """Return whether a service's commit rewrites the lease row (A2)."""
        return holder.unknown

    def rewrites_fleet(self, fleet):
        """Return whether a commit of an allowance row rewrites the lease row (A2)."""
        return fleet.unknown

    def next_number(self, state):
        """Return the number of the next allowance row (A3)."""
        return state.fleet.row.number + 1

    def counts_with(self, use, counted, allowance):
        """Return what a service counts with if it gets an allowance (A4)."""
        return max(use, greatest(counted))

    def fits(self, allowed, former, counts, limit):
        """Return whether a row may follow on one that allowed ``former`` (A5)."""
        total = sum(counts)
        return all(
            own == 0 or own + total - counted <= limit
            for own, counted in zip(allowed, counts, strict=True)
        )

    def limit(self, configuration):
        """Return the limit that the fleet's holder divides (A5)."""
        return self.bounds["limits"][configuration]

    def adopted_allowances(self, row, index):
        """Return the allowances that a new fleet's holder counts with (A6)."""
        return ((row.number - 1, row.bound[index]), (row.number, row.allowed[index]))

    def usage_at_takeover(self, state):
        """Return the usage rows that a new fleet's holder reads (A6)."""
        return tuple(service.stored for service in state.services)

    def may_start(self, holder, index):
        """Return whether the allowance has room for one more run (A7)."""
        return holder.row is not None and holder.runs < holder.row.allowed[index]

    def is_gone(self, service):
        """Return whether a run counts as gone (A7)."""
        return service.holder.runs - service.holder.unsent > service.alive

    def reported_use(self, service):
        """Return the use that a commit reports (A8)."""
        return service.holder.runs

    def may_send(self, holder):
        """Return whether a start may be sent (A9)."""
        return not holder.changed

    def unsent_after_lease(self, holder):
        """Return the number of starts that a former holder still sends (A9)."""
        return 0

    def adopted_runs(self, stored):
        """Return the runs that a new holder of a service counts (A10)."""
        return stored.runs

    def may_act_on(self, row, holder):
        """Return whether a service's holder may act on an allowance row (A10)."""
        return row.number >= holder.acknowledged

    def may_be_read(self, row, service, index):
        """Return whether a holder of the service may still act on a row (A10)."""
        holder = service.holder
        if service.takeovers < self.bounds["takeovers"][index]:
            return row.number >= service.stored.acknowledged
        return holder.row is None or row.number > holder.row.number

    def is_outdated(self, version, fleet):
        """Return whether a service may not know the fleet's configuration (A11)."""
        return self._knows_no_limit and version < fleet.configuration

    def may_use_configuration(self, holder):
        """Return whether a service's holder may start runs by its version (A11)."""
        return holder.configuration >= holder.required

    def has_limit(self, holder):
        """Return whether a service's holder knows of a limit."""
        return self.bounds["limits"][holder.configuration] != NO_LIMIT

    def successors(self, state):
        """Yield the steps of the operator, all holders, the store and the runs."""
        for label, after in self._steps(state):
            if len(after.rows) > 1:
                after = self._without_unreadable_rows(after)
            yield label, after

    def _without_unreadable_rows(self, state):
        rows = tuple(
            row
            for row in state.rows[:-1]
            if any(
                self.may_be_read(row, service, index)
                for index, service in enumerate(state.services)
            )
        )
        return state._replace(rows=(*rows, state.rows[-1]))

    def _steps(self, state):
        if state.published + 1 < len(self.bounds["limits"]):
            yield "a configuration is published", state._replace(
                published=state.published + 1
            )
        yield from self._fleet_steps(state)
        for index in SERVICES:
            yield from self._service_steps(state, index, state.services[index])

    def _fleet_steps(self, state):
        fleet = state.fleet
        for version in range(fleet.configuration + 1, state.published + 1):
            yield f"the fleet's holder learns of configuration {version}", (
                state._replace(fleet=fleet._replace(configuration=version))
            )
        for index, service in enumerate(state.services):
            informed = with_usage(fleet, index, service.stored)
            if informed != fleet:
                yield f"the fleet's holder reads usage row {index}", state._replace(
                    fleet=informed
                )
        if not fleet.changed or fleet.unknown:
            yield from self._divide(state)
        if fleet.changed:
            yield "the allowance row is committed", self._after_row_commit(state)
            if state.late_row is None and self.bounds["late_rows"]:
                yield "a commit of the allowance row is late", state._replace(
                    late_row=fleet.row, fleet=fleet._replace(unknown=True)
                )
        if state.late_row is not None:
            yield "a late commit of the allowance row applies", state._replace(
                rows=with_row(state.rows, state.late_row), late_row=None
            )
        if fleet.term < self.bounds["fleet_takeovers"]:
            yield from self._take_over_fleet(state)

    def _divide(self, state):
        """Yield a decision on each division of the limit that may be written."""
        number = self.next_number(state)
        fleet = state.fleet
        limit = self.limit(fleet.configuration)
        if number > self.bounds["numbers"] or limit == NO_LIMIT:
            return
        for allowed in divisions(limit):
            if allowed == fleet.row.allowed:
                continue
            counted = counted_after(fleet.counted, number, allowed)
            counts = [
                (
                    NO_LIMIT
                    if self.is_outdated(fleet.versions[index], fleet)
                    else self.counts_with(fleet.use[index], counted[index], allowance)
                )
                for index, allowance in enumerate(allowed)
            ]
            if not self.fits(allowed, fleet.row.allowed, counts, limit):
                continue
            bound = tuple(greatest(entries) for entries in counted)
            row = AllowanceRow(number, allowed, bound, fleet.configuration, fleet.term)
            decided = state._replace(
                fleet=fleet._replace(row=row, counted=counted, changed=True)
            )
            if not self.bounds["late_rows"]:
                decided = self._after_row_commit(decided)
            yield f"the fleet's holder allows {allowed}", decided

    def _after_row_commit(self, state):
        fleet = state.fleet
        return state._replace(
            rows=with_row(state.rows, fleet.row),
            late_row=None if self.rewrites_fleet(fleet) else state.late_row,
            fleet=fleet._replace(changed=False, unknown=False),
        )

    def _take_over_fleet(self, state):
        row = state.rows[-1]
        usage = self.usage_at_takeover(state)
        for version in range(state.published + 1):
            fleet = Fleet(row, configuration=version, term=state.fleet.term + 1)
            counted = tuple(
                decreasing(self.adopted_allowances(row, index)) for index in SERVICES
            )
            fleet = fleet._replace(counted=counted)
            for index, stored in enumerate(usage):
                fleet = with_usage(fleet, index, stored)
            late_row = None if self.discards_after_takeover() else state.late_row
            yield f"a new fleet's holder knows configuration {version}", (
                state._replace(fleet=fleet, late_row=late_row)
            )

    def _service_steps(self, state, index, service):
        holder = service.holder
        if self._knows_no_limit:
            yield from self._learn_configuration(state, index, service)
        if self.has_limit(holder):
            yield from self._read_rows(state, index, service)
        may_start = (
            self.may_start(holder, index)
            if self.has_limit(holder)
            else holder.runs < self.bounds["most"]
        )
        if may_start and self.may_use_configuration(holder):
            yield f"s{index} starts a run", self._after_start(state, index, service)
        if holder.unsent and self.may_send(holder):
            yield f"s{index} sends a start", replace_service(
                state, index, after_sending(service)
            )
        if service.former_unsent:
            yield f"a former holder of s{index} sends a start", replace_service(
                state,
                index,
                service._replace(
                    alive=service.alive + 1, former_unsent=service.former_unsent - 1
                ),
            )
        if service.alive:
            yield from self._end_run(state, index, service)
        if holder.runs > holder.unsent and self.is_gone(service):
            gone = holder._replace(runs=holder.runs - 1, changed=True)
            yield f"s{index} knows that a run is gone", self._after_change(
                state, index, service._replace(holder=gone)
            )
        yield from self._commit_steps(state, index, service)
        if service.takeovers < self.bounds["takeovers"][index]:
            yield f"s{index} gets a new holder", replace_service(
                state, index, self._after_takeover(service)
            )

    def _learn_configuration(self, state, index, service):
        holder = service.holder
        for version in range(holder.configuration + 1, state.published + 1):
            informed = holder._replace(configuration=version, changed=True)
            if version >= holder.required:
                informed = informed._replace(required=0)
            yield f"s{index} learns of configuration {version}", self._after_change(
                state, index, service._replace(holder=informed)
            )

    def _read_rows(self, state, index, service):
        holder = service.holder
        for row in state.rows:
            is_newer = holder.row is None or row.number > holder.row.number
            if is_newer and self.may_act_on(row, holder):
                changed = holder._replace(
                    row=row_of_service(row, index), acknowledged=0, changed=True
                )
                yield f"s{index} reads allowance row {row.number}", self._after_change(
                    state, index, service._replace(holder=changed)
                )

    def _after_start(self, state, index, service):
        holder = service.holder
        taken = 1 + sum(
            each.alive + each.holder.unsent + each.former_unsent
            for each in state.services
        )
        limits = self.bounds["limits"]
        highest = max(limits[version] for version in self._versions_in_force(state))
        started = holder._replace(
            runs=holder.runs + 1, unsent=holder.unsent + 1, changed=True
        )
        return self._after_change(
            state._replace(exceeded=state.exceeded or taken > highest),
            index,
            service._replace(holder=started),
        )

    def _versions_in_force(self, state):
        """Return the versions of the configurations that may be in force."""
        acted_on = [
            service.holder.row.configuration
            for service in state.services
            if service.holder.row is not None
        ]
        if self._knows_no_limit:
            acted_on += [service.holder.configuration for service in state.services]
        oldest = min([state.fleet.configuration, *acted_on])
        return list(range(oldest, state.published + 1))

    def _end_run(self, state, index, service):
        ended = service._replace(alive=service.alive - 1)
        if index not in self.bounds["late"]:
            holder = ended.holder
            gone = holder._replace(runs=holder.runs - 1, changed=True)
            ended = self._after_commit(ended._replace(holder=gone))
        yield f"a run of s{index} ends", replace_service(state, index, ended)

    def _commit_steps(self, state, index, service):
        holder = service.holder
        if not holder.changed:
            return
        yield f"s{index} commits", replace_service(
            state, index, self._after_commit(service)
        )
        if service.late is None and index in self.bounds["late"]:
            late = service._replace(
                late=self._usage_row(service), holder=holder._replace(unknown=True)
            )
            yield f"a commit of s{index} is late", replace_service(state, index, late)
        if service.late is not None:
            applied = service._replace(stored=service.late, late=None)
            yield f"a late commit of s{index} applies", replace_service(
                state, index, applied
            )

    def _usage_row(self, service):
        holder = service.holder
        number = holder.row.number if holder.row else 0
        return UsageRow(
            max(holder.configuration, holder.required),
            max(number, holder.acknowledged),
            self.reported_use(service),
            holder.runs,
        )

    def _after_commit(self, service):
        holder = service.holder
        return service._replace(
            stored=self._usage_row(service),
            late=None if self.rewrites(holder) else service.late,
            holder=holder._replace(changed=False, unknown=False),
        )

    def _after_change(self, state, index, service):
        """Return the state after a change, which is committed now if never late."""
        if index not in self.bounds["late"]:
            service = self._after_commit(service)
            if service.holder.unsent:
                service = after_sending(service)
        return replace_service(state, index, service)

    def _after_takeover(self, service):
        stored = service.stored
        return service._replace(
            holder=Holder(
                acknowledged=stored.acknowledged,
                required=stored.configuration,
                runs=self.adopted_runs(stored),
            ),
            late=None if self.discards_after_takeover() else service.late,
            former_unsent=self.unsent_after_lease(service.holder),
            takeovers=service.takeovers + 1,
        )


def decreasing(entries):
    """Return ``(number, allowance)`` entries without those that a later one covers."""
    kept, highest = [], 0
    for number, allowance in reversed(entries):
        if allowance > highest:
            kept.append((number, allowance))
            highest = allowance
    return tuple(reversed(kept))


def counted_after(counted, number, allowed):
    """Return the counted allowances of all services after a decision on a row."""
    return tuple(
        with_allowance(entries, number, allowance)
        for entries, allowance in zip(counted, allowed, strict=True)
    )


def with_allowance(entries, number, allowance):
    """Return the entries of a service with that of a new row."""
    earlier = decreasing([entry for entry in entries if entry[0] < number])
    return (*earlier, (number, allowance)) if allowance else earlier


def greatest(entries):
    """Return the greatest allowance of ``(number, allowance)`` entries."""
    return max((allowance for _, allowance in entries), default=0)


def row_of_service(row, index):
    """Return what a service's holder keeps of an allowance row."""
    allowed = tuple(row.allowed[index] if each == index else 0 for each in SERVICES)
    return row._replace(allowed=allowed, bound=(0, 0))


def divisions(limit):
    """Return all divisions of a limit among the services."""
    return [
        (first, second)
        for first in range(limit + 1)
        for second in range(limit + 1 - first)
    ]


def with_usage(fleet, index, stored):
    """Return the fleet's holder after it has read a usage row."""
    counted, use = list(fleet.counted), list(fleet.use)
    versions = list(fleet.versions)
    versions[index] = stored.configuration
    counted[index] = tuple(
        entry for entry in counted[index] if entry[0] >= stored.acknowledged
    )
    use[index] = stored.use if stored.use > greatest(counted[index]) else 0
    return fleet._replace(
        counted=tuple(counted), use=tuple(use), versions=tuple(versions)
    )


def with_row(rows, row):
    """Return the contents of the allowance row with a new current one."""
    return rows if rows[-1] == row else (*rows, row)


def after_sending(service):
    """Return the service after its holder has sent a start."""
    holder = service.holder
    return service._replace(
        alive=service.alive + 1, holder=holder._replace(unsent=holder.unsent - 1)
    )


def replace_service(state, index, service):
    """Return the state with one service replaced."""
    services = list(state.services)
    services[index] = service
    return state._replace(services=tuple(services))


def only(name, **changes):
    """Return one scenario, for a mistake that concerns only this one."""
    return {name: {**AllowancesSpecification.scenarios[name], **changes}}


@AllowancesSpecification.mistakes.register("commits_without_fence")
class CommitsWithoutFence(AllowancesSpecification):
    """Drops A1: a former holder's commit replaces rows of its successor."""

    def discards_after_takeover(self):
        """Apply commits of former holders."""
        return False


@AllowancesSpecification.mistakes.register("late_commit_restores_usage")
class LateCommitRestoresUsage(AllowancesSpecification):
    """Drops A2 for services: a late commit restores an older usage row."""

    def rewrites(self, holder):
        """Never rewrite the lease row."""
        return False


@AllowancesSpecification.mistakes.register("late_commit_restores_allowances")
class LateCommitRestoresAllowances(AllowancesSpecification):
    """Drops A2 for the fleet: a late commit restores an older allowance row."""

    scenarios = only("late allowance rows")

    def rewrites_fleet(self, fleet):
        """Never rewrite the lease row."""
        return False


@AllowancesSpecification.mistakes.register("reuses_number")
class ReusesNumber(AllowancesSpecification):
    """Drops A3: an acknowledged number stands for one of two contents."""

    scenarios = only("late allowance rows", numbers=2)

    def next_number(self, state):
        """Count on from the last confirmed row."""
        fleet = state.fleet
        return fleet.row.number + (not fleet.unknown)


@AllowancesSpecification.mistakes.register("hands_on_unacknowledged")
class HandsOnUnacknowledged(AllowancesSpecification):
    """Breaks A4: hands on room that a service doesn't know to have lost."""

    def counts_with(self, use, counted, allowance):
        """Count the new allowance and the use only."""
        return max(use, allowance)


@AllowancesSpecification.mistakes.register("ignores_use")
class IgnoresUse(AllowancesSpecification):
    """Breaks A4: hands on room that runs still take."""

    def counts_with(self, use, counted, allowance):
        """Count allowances only."""
        return greatest(counted)


@AllowancesSpecification.mistakes.register("lowers_to_the_sum")
class LowersToTheSum(AllowancesSpecification):
    """Breaks A5: a service starts a run while another exceeds its own allowance."""

    scenarios = only("lowered and raised")

    def fits(self, allowed, former, counts, limit):
        """Lower allowances until they fit into the limit together."""
        lowers = all(new <= old for new, old in zip(allowed, former, strict=True))
        return sum(counts) <= limit or (lowers and sum(allowed) <= limit)


@AllowancesSpecification.mistakes.register("ignores_lowered_limit")
class IgnoresLoweredLimit(AllowancesSpecification):
    """Breaks A5: a row is written under a limit that is no longer in force."""

    scenarios = only("lowered limit")

    def limit(self, configuration):
        """Use the highest limit so far."""
        return max(self.bounds["limits"][: configuration + 1])


@AllowancesSpecification.mistakes.register("forgets_bound")
class ForgetsBound(AllowancesSpecification):
    """Drops A6: a new fleet's holder doesn't know of earlier allowances."""

    scenarios = only("fleet takeover")

    def adopted_allowances(self, row, index):
        """Count the current allowances only."""
        return ((row.number, row.allowed[index]),)


@AllowancesSpecification.mistakes.register("takes_over_without_usage")
class TakesOverWithoutUsage(AllowancesSpecification):
    """Breaks A6: the bound doesn't cover use that the former holder knew of."""

    scenarios = only("fleet takeover")

    def usage_at_takeover(self, state):
        """Go on with usage rows that were read long before the takeover."""
        return (UsageRow(), UsageRow())


@AllowancesSpecification.mistakes.register("unanswered_start_counts_as_gone")
class UnansweredStartCountsAsGone(AllowancesSpecification):
    """Breaks A7: a start without an answer is carried out late."""

    def is_gone(self, service):
        """Count a run as gone that may still start."""
        return True


@AllowancesSpecification.mistakes.register("reports_confirmed_use")
class ReportsConfirmedUse(AllowancesSpecification):
    """Breaks A8: use counts from the confirmation instead of from the commit."""

    def reported_use(self, service):
        """Leave out the starts that are not sent yet."""
        return service.holder.runs - service.holder.unsent


@AllowancesSpecification.mistakes.register("reports_earlier_use")
class ReportsEarlierUse(AllowancesSpecification):
    """Breaks A8: a row is acknowledged with the use of an earlier moment."""

    def reported_use(self, service):
        """Repeat the use of the previous commit."""
        return service.stored.use


@AllowancesSpecification.mistakes.register("sends_before_commit")
class SendsBeforeCommit(AllowancesSpecification):
    """Breaks A9: a new holder doesn't know of a run that was started."""

    def may_send(self, holder):
        """Send a start whose commit is not confirmed."""
        return True


@AllowancesSpecification.mistakes.register("sends_after_lease")
class SendsAfterLease(AllowancesSpecification):
    """Breaks A9: a holder that is cut off starts a run that its successor gave up."""

    def unsent_after_lease(self, holder):
        """Send committed starts after the lease has ended too."""
        return 0 if holder.changed else holder.unsent


@AllowancesSpecification.mistakes.register("ignores_former_runs")
class IgnoresFormerRuns(AllowancesSpecification):
    """Breaks A10: a new holder starts runs beside those of its predecessor."""

    def adopted_runs(self, stored):
        """Start with no runs."""
        return 0


@AllowancesSpecification.mistakes.register("acts_on_older_row")
class ActsOnOlderRow(AllowancesSpecification):
    """Breaks A10: a new holder acts on an allowance that was given up."""

    def may_act_on(self, row, holder):
        """Act on any row."""
        return True

    def may_be_read(self, row, service, index):
        """Keep all rows for new holders."""
        return True


@AllowancesSpecification.mistakes.register("trusts_earlier_acknowledgement")
class TrustsEarlierAcknowledgement(AllowancesSpecification):
    """Breaks A11: a service that knows of no limit counts with its allowance."""

    scenarios = only("introduced limit")

    def is_outdated(self, version, fleet):
        """Count by the acknowledged number alone."""
        return False


@AllowancesSpecification.mistakes.register("uses_older_configuration")
class UsesOlderConfiguration(AllowancesSpecification):
    """Breaks A11: a new holder knows of no limit and its predecessor knew of one."""

    scenarios = only("introduced limit")

    def may_use_configuration(self, holder):
        """Use any version."""
        return True
