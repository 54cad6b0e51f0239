"""
Specification of manifest versions: commits by operators, and versions in force.

The scenario "operators" has two operators who commit on the same base, with delayed
writes and lost answers. The scenario "hosts" has two entry hosts of one data centre
that bring versions into force while their processes restart, hosts are replaced, the
two lose contact, and the table may be out of reach at any time.

The rules are:

- M1. A commit is conditional on the head that it builds on.
- M2. After a lost answer the operator reads the entry after the base. Its own id
  means accepted and another id means refused. While there is none, the same write
  is repeated, because a delayed one may still land.
- M3. A version is in force once the other control process has staged it too, or
  while there is no contact with it. What a peer staged counts until that peer
  recovers again.
- M4. An entry process applies only higher versions. While its own control process
  has no state it may use the other host's; one that has no version itself does so
  only if that process is sure (M6) and has brought all that it staged into force. A
  control process that paused beyond its entry process's patience starts over (M5).
- M5. A restarted process takes the highest version of its entry process, the table
  and its peer. With none of them it serves nothing. A version from the table comes
  into force by M3 like any other.
- M6. A process answers a recovery only while it is sure: it has read the table, or
  has recovered from a process that is sure, since its start and since it last lost
  contact with a peer of its data centre.

M6 and the second sentence of M4 are repairs. ``docs/design.md`` lets any peer
answer, so a peer that missed a version while it was cut off or paused hands a
replaced host an older one.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

IDLE, WAITING, ACCEPTED, REFUSED = range(4)
NOTHING = -1


class Host(NamedTuple):
    """
    One entry host: its control process, its entry process and a history variable.

    ``staged`` and ``force`` are the control process's versions, ``seen`` is what it
    knows its peer to have staged, ``applied`` is the entry process's version.
    ``floor`` is the highest version that this host ever served.
    """

    staged: int = 0
    force: int = 0
    sure: bool = True
    seen: int = 0
    applied: int = 0
    floor: int = 0
    reverted: bool = False


class State(NamedTuple):
    """
    The log as a tuple of commit ids, operators, commits under way, and hosts.

    Operator n commits entry 1 with the id n. ``contact`` is False while each of the
    hosts takes the other for dead.
    """

    log: tuple = ()
    operators: tuple = (IDLE, IDLE)
    writes: frozenset = frozenset()
    hosts: tuple = (Host(), Host())
    contact: bool = True


@specifications.register("manifest")
class ManifestSpecification(Specification):
    """The manifest rules M1 to M6."""

    name = "manifest"
    initial = State()
    mistakes = Registry("manifest mistake")
    scenarios = {
        "operators": {"operators": 2, "hosts": 0, "versions": 1},
        "hosts": {"operators": 0, "hosts": 2, "versions": 2},
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "accepted_means_in_the_log": lambda state: all(
                state.log[:1] == (operator,)
                for operator, told in enumerate(state.operators)
                if told == ACCEPTED
            ),
            "refused_means_not_in_the_log": lambda state: all(
                operator not in state.log
                for operator, told in enumerate(state.operators)
                if told == REFUSED
            ),
            "no_host_reverts": lambda state: not any(
                host.reverted for host in state.hosts
            ),
        }

    def witnesses(self):
        """Return what must be reachable."""
        if not self.bounds["hosts"]:
            return {
                "second_operator_wins": lambda state: (
                    state.operators == (REFUSED, ACCEPTED)
                )
            }
        versions = self.bounds["versions"]
        return {
            "newest_in_force_everywhere": lambda state: (
                all(host.applied == versions for host in state.hosts)
            ),
            "serves_nothing": lambda state: state.hosts[0].applied == NOTHING,
        }

    def accepts(self, state):
        """Return whether the table accepts a commit (M1)."""
        return not state.log

    def outcome(self, state, operator):
        """Return what the operator concludes from reading entry 1 (M2)."""
        if not state.log:
            return WAITING
        return ACCEPTED if state.log[0] == operator else REFUSED

    def may_activate(self, state, host):
        """Return whether the staged version may come into force (M3)."""
        return not state.contact or host.seen >= host.staged

    def seen_after_recovery(self, seen):
        """Return what is known of a peer that recovers again (M3)."""
        return NOTHING

    def entry_accepts(self, version, applied):
        """Return whether the entry process applies an offered version (M4)."""
        return version > applied

    def serves_other_entry(self, peer):
        """Return whether an entry process may start from the other control (M4)."""
        return peer.sure and peer.force == peer.staged

    def fresh_control(self, host):
        """Return the host after its control process restarted (M5)."""
        return host._replace(staged=NOTHING, force=NOTHING, sure=False, seen=NOTHING)

    def answers_recovery(self, peer):
        """Return whether a peer hands out its state (M6)."""
        return peer.sure and peer.staged != NOTHING

    def successors(self, state):
        """Yield the steps of operators and hosts."""
        if self.bounds["operators"]:
            yield from self.operator_steps(state)
        if self.bounds["hosts"]:
            yield from self.shared_steps(state)
            for index in range(2):
                yield from self.control_steps(state, index)
                yield from self.restart_steps(state, index)

    def operator_steps(self, state):
        """Yield commits, their answers and reads after a lost answer."""
        for operator, told in enumerate(state.operators):
            if told == IDLE:
                yield f"{operator} commits", tell(state, operator, WAITING)._replace(
                    writes=state.writes | {operator}
                )
            if told == WAITING:
                outcome = self.outcome(state, operator)
                yield f"{operator} reads", tell(state, operator, outcome)
                if outcome == WAITING:
                    yield f"{operator} repeats", state._replace(
                        writes=state.writes | {operator}
                    )
        for operator in state.writes:
            left = state._replace(writes=state.writes - {operator})
            yield f"commit of {operator} lost", left
            if self.accepts(state):
                landed = left._replace(log=(operator,))
                yield f"commit of {operator} lands, answer lost", landed
                if state.operators[operator] == WAITING:
                    yield f"{operator} accepted", tell(landed, operator, ACCEPTED)

    def shared_steps(self, state):
        """Yield commits and changes of contact."""
        if len(state.log) < self.bounds["versions"]:
            yield "commit", state._replace(log=(*state.log, len(state.log)))
        if state.contact:
            hosts = tuple(
                host._replace(sure=False, seen=NOTHING) for host in state.hosts
            )
            yield "contact lost", state._replace(contact=False, hosts=hosts)
        else:
            yield "contact restored", state._replace(contact=True)

    def control_steps(self, state, index):
        """Yield the steps of a host's control and entry process."""
        host, peer = state.hosts[index], state.hosts[1 - index]
        head = len(state.log)
        yield f"{index} reads the table", put(
            state,
            index,
            host._replace(staged=head, sure=state.contact or host.sure),
        )
        if host.staged > host.force and self.may_activate(state, host):
            yield f"{index} activates", put(
                state, index, host._replace(force=host.staged)
            )
        if host.force != NOTHING and self.entry_accepts(host.force, host.applied):
            yield f"{index} applies", put(state, index, serve(host, host.force))
        if host.staged == NOTHING and self.may_use_other(host, peer):
            yield f"{index} applies from the other control process", put(
                state, index, serve(host, peer.force)
            )
        if state.contact and peer.staged != NOTHING:
            if peer.staged != host.seen:
                yield f"{index} hears", put(
                    state, index, host._replace(seen=peer.staged)
                )
            if host.staged != NOTHING and peer.staged > host.staged:
                yield f"{index} pulls", put(
                    state, index, host._replace(staged=peer.staged)
                )

    def may_use_other(self, host, peer):
        """Return whether the entry process applies the other host's version (M4)."""
        known = host.applied != NOTHING or self.serves_other_entry(peer)
        offered = known and peer.force != NOTHING
        return offered and self.entry_accepts(peer.force, host.applied)

    def restart_steps(self, state, index):
        """Yield restarts, replacements and recoveries of a host."""
        host, peer = state.hosts[index], state.hosts[1 - index]
        yield f"{index} control restarts", put(state, index, self.fresh_control(host))
        yield f"{index} entry restarts", put(
            state, index, host._replace(applied=NOTHING)
        )
        yield f"{index} is replaced", put(
            state, index, self.fresh_control(host)._replace(applied=NOTHING)
        )
        if host.staged != NOTHING:
            return
        if host.applied != NOTHING:
            yield f"{index} recovers from its entry process", put(
                state, index, host._replace(staged=host.applied, force=host.applied)
            )
        if state.contact and self.answers_recovery(peer):
            seen = self.seen_after_recovery(peer.seen)
            recovered = host._replace(
                staged=max(peer.staged, host.applied),
                force=max(peer.staged, host.applied),
                sure=True,
            )
            yield f"{index} recovers from its peer", put(
                put(state, index, recovered), 1 - index, peer._replace(seen=seen)
            )


def serve(host, version):
    """Return the host whose entry process applied ``version``."""
    return host._replace(
        applied=version,
        floor=max(host.floor, version),
        reverted=host.reverted or version < host.floor,
    )


def put(state, index, host):
    """Return the state with one host replaced."""
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def tell(state, operator, told):
    """Return the state with what one operator knows."""
    operators = list(state.operators)
    operators[operator] = told
    return state._replace(operators=tuple(operators))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return ManifestSpecification.mistakes.register(name)


@mistake("unconditional_commit")
class UnconditionalCommit(ManifestSpecification):
    """Drops M1: an operator overwrites the other's accepted commit."""

    def accepts(self, state):
        """Accept every commit."""
        return True


@mistake("trusts_lost_answer")
class TrustsLostAnswer(ManifestSpecification):
    """Drops M2: any entry after the base is taken for one's own."""

    def outcome(self, state, operator):
        """Look at the head only."""
        return ACCEPTED if state.log else WAITING


@mistake("absent_is_refused")
class AbsentIsRefused(ManifestSpecification):
    """Weakens M2: a delayed commit lands after its operator was told otherwise."""

    def outcome(self, state, operator):
        """Refuse at once."""
        return ACCEPTED if state.log[:1] == (operator,) else REFUSED


@mistake("activates_alone")
class ActivatesAlone(ManifestSpecification):
    """Drops M3: a replaced host finds its peer behind what it served."""

    def may_activate(self, state, host):
        """Activate at once."""
        return True


@mistake("counts_earlier_incarnation")
class CountsEarlierIncarnation(ManifestSpecification):
    """Weakens M3: what a peer staged before its restart still counts."""

    def seen_after_recovery(self, seen):
        """Keep what the peer's earlier incarnation reported."""
        return seen


@mistake("entry_applies_any")
class EntryAppliesAny(ManifestSpecification):
    """Drops M4: an entry process follows a control process that fell behind."""

    def entry_accepts(self, version, applied):
        """Follow the control process."""
        return version != applied


@mistake("entry_starts_from_any_control")
class EntryStartsFromAnyControl(ManifestSpecification):
    """Weakens M4: the other control process may not have caught up yet."""

    def serves_other_entry(self, peer):
        """Take what the other control process has in force."""
        return True


@mistake("starts_from_nothing")
class StartsFromNothing(ManifestSpecification):
    """Drops M5: a restarted process begins with version 0 rather than refuse."""

    def fresh_control(self, host):
        """Begin with the first version."""
        return host._replace(staged=0, force=0, sure=False, seen=NOTHING)


@mistake("recovers_from_any_peer")
class RecoversFromAnyPeer(ManifestSpecification):
    """Drops M6: a peer that missed a version hands out an older one."""

    def answers_recovery(self, peer):
        """Take the state of any live peer."""
        return peer.staged != NOTHING
