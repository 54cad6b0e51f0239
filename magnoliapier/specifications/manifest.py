"""
Specification of manifest versions: how operators commit them and hosts apply them.

The scenario "operators" has two operators who commit on the same base, with delayed
writes and lost answers. The scenario "hosts" has two entry hosts of one data centre
that bring versions into force while their processes restart, hosts are replaced, the
two lose contact, and the table may be unreachable at any time.

The rules are:

- M1. A commit is conditional on the head that it builds on.
- M2. After a lost answer the operator reads the entry after the base. Its own id
  means accepted and another id means refused. While there is no entry, the operator
  repeats the same write, because a delayed one may still be applied.
- M3. A control process may bring its staged version into force once the other control
  process has staged it too, or while it has no contact with that process. What a peer
  has staged counts until that peer recovers again.
- M4. An entry process applies only higher versions. While its own control process
  has no state, it may use the other host's. An entry process without a version does
  so only if that control process is confirmed (M6) and has brought all that it staged
  into force. A control process that pauses for longer than its entry process waits for
  it must start again as after a restart (M5).
- M5. A restarted process takes the highest version of its entry process, the table
  and its peer. If all of them are unavailable, it serves nothing. A version from the
  table comes into force by M3 like any other.
- M6. A process hands out its state to a recovering peer only while it is confirmed: it
  has read the table, or has recovered from a process that is confirmed, since its
  start and since it last lost contact with a peer of its data centre.

M6 and the second and third sentences of M4 correct ``docs/design.md``, which lets any
peer answer. A peer that missed a version while it was cut off or paused would then
hand an older version to a replaced host.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

IDLE, WAITING, ACCEPTED, REFUSED = range(4)
NO_VERSION = -1


class Host(NamedTuple):
    """
    One entry host: its control process, its entry process and its history.

    ``staged`` and ``in_force`` are the control process's versions, ``peer_staged`` is
    the version that it knows its peer to have staged, and ``confirmed`` is defined by
    M6. ``applied`` is the entry process's version. The history is ``highest_served``,
    the highest version that this host ever served, and ``reverted``, which is set once
    the host has applied a lower one.
    """

    staged: int = 0
    in_force: int = 0
    confirmed: bool = True
    peer_staged: int = 0
    applied: int = 0
    highest_served: int = 0
    reverted: bool = False


class State(NamedTuple):
    """
    The log as a tuple of commit ids, operators, commits in transit, and hosts.

    Operator n commits entry 1 with the id n. ``contact`` is False while each of the
    hosts considers the other dead.
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
                for operator, status in enumerate(state.operators)
                if status == ACCEPTED
            ),
            "refused_means_not_in_the_log": lambda state: all(
                operator not in state.log
                for operator, status in enumerate(state.operators)
                if status == REFUSED
            ),
            "no_host_reverts": lambda state: not any(
                host.reverted for host in state.hosts
            ),
        }

    def witnesses(self):
        """Return the states that must be reachable."""
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
            "serves_nothing": lambda state: state.hosts[0].applied == NO_VERSION,
        }

    def accepts_commit(self, state):
        """Return whether the table accepts a commit (M1)."""
        return not state.log

    def read_outcome(self, state, operator):
        """Return what the operator concludes from reading entry 1 (M2)."""
        if not state.log:
            return WAITING
        return ACCEPTED if state.log[0] == operator else REFUSED

    def may_activate(self, state, host):
        """Return whether the host may bring its staged version into force (M3)."""
        return not state.contact or host.peer_staged >= host.staged

    def peer_staged_after_recovery(self, peer_staged):
        """Return the version known to be staged by a peer that recovers again (M3)."""
        return NO_VERSION

    def entry_accepts(self, version, applied):
        """Return whether the entry process applies an offered version (M4)."""
        return version > applied

    def may_start_entry_from(self, peer):
        """Return whether an entry process may start from its peer's control (M4)."""
        return peer.confirmed and peer.in_force == peer.staged

    def restarted_control(self, host):
        """Return the host after its control process restarted (M5)."""
        return host._replace(
            staged=NO_VERSION,
            in_force=NO_VERSION,
            confirmed=False,
            peer_staged=NO_VERSION,
        )

    def answers_recovery(self, peer):
        """Return whether a peer hands out its state to a recovering process (M6)."""
        return peer.confirmed and peer.staged != NO_VERSION

    def successors(self, state):
        """Yield the steps of operators and hosts."""
        if self.bounds["operators"]:
            yield from self.operator_steps(state)
        if self.bounds["hosts"]:
            yield from self.commit_and_contact_steps(state)
            for index in range(2):
                yield from self.control_steps(state, index)
                yield from self.restart_steps(state, index)

    def operator_steps(self, state):
        """Yield commits, their answers and reads after a lost answer."""
        for operator, status in enumerate(state.operators):
            if status == IDLE:
                yield f"{operator} commits", set_operator_status(
                    state, operator, WAITING
                )._replace(writes=state.writes | {operator})
            if status == WAITING:
                outcome = self.read_outcome(state, operator)
                yield f"{operator} reads", set_operator_status(state, operator, outcome)
                if outcome == WAITING:
                    yield f"{operator} repeats", state._replace(
                        writes=state.writes | {operator}
                    )
        for operator in state.writes:
            remaining = state._replace(writes=state.writes - {operator})
            yield f"commit of {operator} lost", remaining
            if self.accepts_commit(state):
                accepted = remaining._replace(log=(operator,))
                yield f"commit of {operator} accepted, answer lost", accepted
                if state.operators[operator] == WAITING:
                    yield f"{operator} accepted", set_operator_status(
                        accepted, operator, ACCEPTED
                    )

    def commit_and_contact_steps(self, state):
        """Yield commits, and the loss and return of contact between the hosts."""
        if len(state.log) < self.bounds["versions"]:
            yield "commit", state._replace(log=(*state.log, len(state.log)))
        if state.contact:
            hosts = tuple(
                host._replace(confirmed=False, peer_staged=NO_VERSION)
                for host in state.hosts
            )
            yield "contact lost", state._replace(contact=False, hosts=hosts)
        else:
            yield "contact restored", state._replace(contact=True)

    def control_steps(self, state, index):
        """Yield the steps of a host's control and entry process."""
        host, peer = state.hosts[index], state.hosts[1 - index]
        head = len(state.log)
        yield f"{index} reads the table", replace_host(
            state,
            index,
            host._replace(staged=head, confirmed=state.contact or host.confirmed),
        )
        if host.staged > host.in_force and self.may_activate(state, host):
            yield f"{index} activates", replace_host(
                state, index, host._replace(in_force=host.staged)
            )
        if host.in_force != NO_VERSION and self.entry_accepts(
            host.in_force, host.applied
        ):
            yield f"{index} applies", replace_host(
                state, index, apply_version(host, host.in_force)
            )
        if host.staged == NO_VERSION and self.may_apply_from_other(host, peer):
            yield f"{index} applies from the other control process", replace_host(
                state, index, apply_version(host, peer.in_force)
            )
        if state.contact and peer.staged != NO_VERSION:
            if peer.staged != host.peer_staged:
                yield f"{index} learns what its peer staged", replace_host(
                    state, index, host._replace(peer_staged=peer.staged)
                )
            if host.staged != NO_VERSION and peer.staged > host.staged:
                yield f"{index} pulls from its peer", replace_host(
                    state, index, host._replace(staged=peer.staged)
                )

    def may_apply_from_other(self, host, peer):
        """Return whether the entry process may apply the other host's version (M4)."""
        may_use = host.applied != NO_VERSION or self.may_start_entry_from(peer)
        offered = may_use and peer.in_force != NO_VERSION
        return offered and self.entry_accepts(peer.in_force, host.applied)

    def restart_steps(self, state, index):
        """Yield restarts, replacements and recoveries of a host."""
        host, peer = state.hosts[index], state.hosts[1 - index]
        yield f"{index} control restarts", replace_host(
            state, index, self.restarted_control(host)
        )
        yield f"{index} entry restarts", replace_host(
            state, index, host._replace(applied=NO_VERSION)
        )
        yield f"{index} is replaced", replace_host(
            state, index, self.restarted_control(host)._replace(applied=NO_VERSION)
        )
        if host.staged != NO_VERSION:
            return
        if host.applied != NO_VERSION:
            yield f"{index} recovers from its entry process", replace_host(
                state, index, host._replace(staged=host.applied, in_force=host.applied)
            )
        if state.contact and self.answers_recovery(peer):
            peer_staged = self.peer_staged_after_recovery(peer.peer_staged)
            recovered = host._replace(
                staged=max(peer.staged, host.applied),
                in_force=max(peer.staged, host.applied),
                confirmed=True,
            )
            yield f"{index} recovers from its peer", replace_host(
                replace_host(state, index, recovered),
                1 - index,
                peer._replace(peer_staged=peer_staged),
            )


def apply_version(host, version):
    """Return the host after its entry process applied ``version``."""
    return host._replace(
        applied=version,
        highest_served=max(host.highest_served, version),
        reverted=host.reverted or version < host.highest_served,
    )


def replace_host(state, index, host):
    """Return the state with one host replaced."""
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts))


def set_operator_status(state, operator, status):
    """Return the state with the status of one operator's commit replaced."""
    operators = list(state.operators)
    operators[operator] = status
    return state._replace(operators=tuple(operators))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return ManifestSpecification.mistakes.register(name)


@mistake("unconditional_commit")
class UnconditionalCommit(ManifestSpecification):
    """Drops M1: an operator overwrites the other's accepted commit."""

    def accepts_commit(self, state):
        """Accept every commit."""
        return True


@mistake("trusts_lost_answer")
class TrustsLostAnswer(ManifestSpecification):
    """Drops M2: an operator takes any entry after the base for its own commit."""

    def read_outcome(self, state, operator):
        """Check only whether there is an entry, and ignore its id."""
        return ACCEPTED if state.log else WAITING


@mistake("absent_is_refused")
class AbsentIsRefused(ManifestSpecification):
    """Weakens M2: a delayed commit is accepted after it was reported refused."""

    def read_outcome(self, state, operator):
        """Count a missing entry as a refusal."""
        return ACCEPTED if state.log[:1] == (operator,) else REFUSED


@mistake("activates_alone")
class ActivatesAlone(ManifestSpecification):
    """Drops M3: a replaced host recovers a version older than one that it served."""

    def may_activate(self, state, host):
        """Bring every staged version into force at once."""
        return True


@mistake("counts_earlier_incarnation")
class CountsEarlierIncarnation(ManifestSpecification):
    """Weakens M3: what a peer staged before its restart still counts."""

    def peer_staged_after_recovery(self, peer_staged):
        """Keep what the peer's earlier incarnation reported."""
        return peer_staged


@mistake("entry_applies_any")
class EntryAppliesAny(ManifestSpecification):
    """Drops M4: an entry process follows a control process that fell behind."""

    def entry_accepts(self, version, applied):
        """Apply every version that differs from the current one."""
        return version != applied


@mistake("entry_starts_from_any_control")
class EntryStartsFromAnyControl(ManifestSpecification):
    """Weakens M4: the other control process may not have caught up yet."""

    def may_start_entry_from(self, peer):
        """Accept the other control process in any state."""
        return True


@mistake("starts_from_nothing")
class StartsFromNothing(ManifestSpecification):
    """Drops M5: a restarted process starts with version 0 instead of no version."""

    def restarted_control(self, host):
        """Start with version 0."""
        return host._replace(
            staged=0, in_force=0, confirmed=False, peer_staged=NO_VERSION
        )


@mistake("recovers_from_any_peer")
class RecoversFromAnyPeer(ManifestSpecification):
    """Drops M6: a peer that missed a version hands out an older one."""

    def answers_recovery(self, peer):
        """Recover from any peer that has a version."""
        return peer.staged != NO_VERSION
