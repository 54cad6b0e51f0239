"""
Specification of the ownership of one host: pools ``a`` and ``b``, one data centre.

``granter`` is an entry host of the host's data centre that gives grants, ``sender``
is another entry host, of the same data centre or of another one (by scenario).
Processes take steps at any time or not at all, so slow and cut-off processes,
delayed messages and an unreachable table need no state of their own. A tick lets
every grant that is not renewed expire; a process that is paused for two ticks is
stale, and after three ticks the host list may have dropped it. The order of these
durations (3 s, 20 s, 30 s) is all that the rules depend on.

The rules are R1 to R5 of ``docs/design.md``. Those that this specification found
incomplete are given in their repaired form, with the failure as a seeded mistake:

- R2a. A grant and a report count only for the incarnation they were made for.
- R2b. A check is valid for less than a tick (1 s in service), and the granter
  counts a grant as outstanding for that much longer than its holder does.
- R3a. A request counts as in flight from before its check.
- R3b. The granter consents once every other sender with a record has reported, in
  one message later than the last grant to it, seq >= s and no request in flight.
  For a sender without a record, the grant's expiry suffices; the requests of such
  a sender are not protected against an interruption.
- R3c. A restarted granter has forgotten its grants. It acts as if it had given one
  to every sender at its start.
- R4a. A host whose data centre has no registered sender is not assigned.

The environment is assumed to remove the record of a sender of the host's own data
centre only if that process was paused or down for the whole lag bound of the list.
"""

from functools import cache
from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

DRAIN, ASSIGN, CANCEL = "D", "A", "C"
IDLE, CHECKED, OLD_CHECK, SENT = range(4)
UNREGISTERED, OUTCOME_UNKNOWN, REGISTERED = range(3)
# ``pause`` is 0 for a running process, otherwise 1 plus the ticks it slept.
PAUSED, STALE, REMOVABLE = 1, 3, 4
NEVER = "never"


class Record(NamedTuple):
    """A sender's row; ``current`` if its present incarnation wrote it."""

    current: bool
    applied: int
    busy: bool


class Granter(NamedTuple):
    """
    An entry host of the host's data centre.

    ``report`` is what the sender last reported: NEVER if there is neither grant nor
    report since the start, None since the last grant, or (applied, busy).
    ``outstanding`` is the number of ticks for which a send under a grant may still
    happen. ``recorded`` and ``consent`` are its row in the table.
    """

    pause: int = 0
    eligible: bool = True
    applied: int = 0
    report: object = NEVER
    outstanding: int = 0
    recorded: bool = True
    consent: int = 0


class Sender(NamedTuple):
    """
    The other entry host.

    ``held`` and ``held_seq`` are the grant that it has.
    ``protected`` says that its request began while it had a record.
    """

    pause: int = 0
    registration: int = REGISTERED
    eligible: bool = True
    applied: int = 0
    phase: int = IDLE
    pool: str = ""
    protected: bool = False
    held: bool = False
    held_seq: int = 0
    record: Record | None = Record(True, 0, False)


class State(NamedTuple):
    """
    The log, the planner's memory, both entry hosts and the messages under way.

    ``planned`` is the drain for which the planner saw every consent. ``grant`` is
    (seq, current incarnation, unexpired), where the time counts from the request for
    it, ``report`` is (applied, busy, current incarnation).
    """

    log: str = ""
    planned: int = 0
    granter: Granter = Granter()
    sender: Sender = Sender()
    grant: tuple | None = None
    report: tuple | None = None
    wrong_send: bool = False
    interrupted: bool = False


def bounds(log, local, grants=False, pauses=False, faults=False, lost_answers=False):
    """
    Return the bounds of a scenario.

    ``log`` is the greatest length of the log. ``local`` puts the sender into the
    host's data centre, ``pauses`` lets it pause, ``lost_answers`` concerns its
    registration. ``faults`` are pauses and restarts of the granter.
    """
    return {
        "log": log,
        "local": local,
        "grants": grants,
        "pauses": pauses,
        "faults": faults,
        "lost_answers": lost_answers,
    }


@cache
def assignment(log, seq):
    """Return (pool, takes work) after the first ``seq`` entries."""
    pool, takes_work = "a", True
    for kind in log[:seq]:
        takes_work = kind != DRAIN
        if kind == ASSIGN:
            pool = "b" if pool == "a" else "a"
    return pool, takes_work


@specifications.register("ownership")
class OwnershipSpecification(Specification):
    """The ownership rules R1 to R5 as repaired."""

    name = "ownership"
    initial = State()
    mistakes = Registry("ownership mistake")
    scenarios = {
        # A part of "remote grants" in which most mistakes show early.
        "granter stays up": bounds(log=2, local=False, grants=True),
        "registration": bounds(log=4, local=True, pauses=True, lost_answers=True),
        "remote grants": bounds(log=2, local=False, grants=True, faults=True),
        "local grants": bounds(log=2, local=True, grants=True, pauses=True),
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "sends_only_for_the_hosts_pool": lambda state: not state.wrong_send,
            "assign_interrupts_nothing": lambda state: not state.interrupted,
        }

    def witnesses(self):
        """Return what must be reachable."""
        return {
            "sends_for_new_pool": lambda state: (
                state.sender.phase == SENT and state.sender.pool == "b"
            )
        }

    # Decisions of the sender.

    def may_send(self, state):
        """Return whether the sender's check passes (R1, R2)."""
        sender = state.sender
        _, takes_work = assignment(state.log, sender.applied)
        if self.bounds["local"] and sender.eligible:
            return takes_work
        granted = sender.held and self.grant_applies(sender)
        return takes_work and granted

    def grant_applies(self, sender):
        """Return whether the granter's seq has been applied (R2)."""
        return sender.applied >= sender.held_seq

    def eligible_after_registering(self):
        """Return whether registering suffices, without reading the log after."""
        return False

    def eligible_after_restart(self, record):
        """Return whether a restarted sender trusts the record that it finds."""
        return False

    def trusts_lost_registration(self):
        """Return whether a lost answer counts as a registration."""
        return False

    def is_busy(self, sender):
        """Return whether the sender reports a request in flight (R3a)."""
        return sender.phase != IDLE

    def check_lasts(self):
        """Return whether a check is valid without a limit (R2b)."""
        return False

    def keeps_eligibility(self, pause):
        """Return whether a woken process is still eligible (R5)."""
        return pause < STALE

    def keeps_expired_grant(self):
        """Return whether the sender overlooks the expiry of its grant."""
        return False

    def times_grant_from_receipt(self):
        """Return whether the holder's time starts at the receipt (R2)."""
        return False

    def accepts_earlier_incarnation(self):
        """Return whether old grants and reports are taken after a restart (R2a)."""
        return False

    # Decisions of the granter and the planner.

    def holder_settled(self, state, seq):
        """Return whether the other sender cannot send or be sending (R3b)."""
        report = state.granter.report
        if isinstance(report, tuple) and report[0] >= seq and not report[1]:
            return True
        return state.sender.record is None and not state.granter.outstanding

    def outstanding_ticks(self):
        """Return how long the granter counts a grant, in ticks (R2b)."""
        return 2

    def remembers_grants(self):
        """Return whether a restarted granter assumes outstanding grants (R3c)."""
        return True

    def consents(self, state, seq):
        """Return whether the records allow the planner to assign (R4)."""
        granter, record = state.granter, state.sender.record
        if granter.recorded and granter.consent < seq:
            return False
        if not self.bounds["local"]:
            return granter.recorded or self.assigns_without_consent()
        if record and (record.applied < seq or record.busy):
            return False
        return bool(granter.recorded or record) or self.assigns_without_consent()

    def may_remove(self, sender):
        """Return whether the planner may remove the sender's record (R4)."""
        return sender.pause >= REMOVABLE or not self.bounds["local"]

    def assigns_without_consent(self):
        """Return whether no registered sender means consent (R4a)."""
        return False

    def append_allowed(self, state):
        """Return whether the table accepts the planner's assignment."""
        return state.planned == len(state.log)

    def planned_drain(self, state):
        """Return the drain whose consents the planner looks for, or 0."""
        return len(state.log) if state.log.endswith(DRAIN) else 0

    # Steps.

    def successors(self, state):
        """Yield the steps of all processes, of the table and of time."""
        yield from self.planner_steps(state)
        yield from self.sender_steps(state)
        if self.bounds["local"]:
            yield from self.registration_steps(state)
        if self.bounds["grants"]:
            yield from self.grant_steps(state)
        yield from self.granter_steps(state)
        yield "tick", self.tick(state)

    def planner_steps(self, state):
        """Yield the steps of any planner; a change of planner loses ``planned``."""
        log, sender, granter = state.log, state.sender, state.granter
        draining = log.endswith(DRAIN)
        if not draining and len(log) + 1 < self.bounds["log"]:
            yield "drain", state._replace(log=log + DRAIN)
        if draining and len(log) + 2 < self.bounds["log"]:
            yield "cancel the drain", state._replace(log=log + CANCEL)
        seq = self.planned_drain(state)
        if seq and not state.planned and self.consents(state, seq):
            yield "planner sees consents", state._replace(planned=seq)
        if state.planned:
            yield "planner changes", state._replace(planned=0)
            if self.append_allowed(state) and len(log) < self.bounds["log"]:
                pool, _ = assignment(log, len(log))
                cut = sender.phase == SENT and sender.pool == pool
                yield "assign", state._replace(
                    log=log + ASSIGN,
                    planned=0,
                    interrupted=state.interrupted or (cut and sender.protected),
                )
        if sender.record and self.may_remove(sender):
            yield "sender's record removed", put(state, record=None, protected=False)
        if granter.recorded and granter.pause >= REMOVABLE:
            yield "granter's record removed", give(state, recorded=False)

    def sender_steps(self, state):
        """Yield the sender's requests, pauses and restarts."""
        sender = state.sender
        if sender.pause:
            yield "sender wakes", self.wake_sender(state)
        else:
            if sender.applied < len(state.log):
                yield "sender applies", put(state, applied=sender.applied + 1)
            if sender.phase == IDLE and self.may_send(state):
                pool, _ = assignment(state.log, sender.applied)
                yield "sender checks", put(
                    state,
                    phase=CHECKED,
                    pool=pool,
                    protected=sender.record is not None,
                )
            if sender.phase in (CHECKED, OLD_CHECK):
                wrong = assignment(state.log, len(state.log))[0] != sender.pool
                yield "sender sends", put(state, phase=SENT)._replace(
                    wrong_send=state.wrong_send or wrong
                )
            if self.bounds["pauses"]:
                yield "sender pauses", put(state, pause=PAUSED)
        if sender.phase != IDLE and (not sender.pause or sender.phase == SENT):
            yield "request ends", end_request(state)
        yield "sender restarts", self.restart_sender(state)

    def wake_sender(self, state):
        """Return the state after the sender's pause (R5)."""
        sender = state.sender
        if sender.eligible and self.keeps_eligibility(sender.pause):
            return put(state, pause=0)
        return put(state, pause=0, eligible=False, registration=UNREGISTERED)

    def restart_sender(self, state):
        """Return the state after a restart with the oldest state of any peer."""
        record = state.sender.record and state.sender.record._replace(current=False)
        eligible = self.eligible_after_restart(record)
        old_grant = state.grant and (state.grant[0], False, state.grant[2])
        kept_grant = old_grant if self.accepts_earlier_incarnation() else None
        old_report = state.report and (*state.report[:2], False)
        return state._replace(
            sender=Sender(registration=UNREGISTERED, eligible=eligible, record=record),
            grant=kept_grant,
            report=old_report,
        )

    def registration_steps(self, state):
        """Yield the steps of a local sender with the table."""
        sender = state.sender
        if sender.pause:
            return
        row = Record(True, sender.applied, self.is_busy(sender))
        if sender.registration == REGISTERED:
            if sender.record != row and sender.record:
                yield "sender writes its record", put(state, record=row)
            yield "sender reads the log", put(
                state, applied=len(state.log), eligible=True
            )
        elif sender.registration == OUTCOME_UNKNOWN:
            found = sender.record and sender.record.current
            found = found or self.trusts_lost_registration()
            yield "sender reads its record back", put(
                state, registration=REGISTERED if found else UNREGISTERED
            )
        else:
            eligible = self.eligible_after_registering()
            yield "sender registers", put(
                state, record=row, registration=REGISTERED, eligible=eligible
            )
            if self.bounds["lost_answers"]:
                unknown = put(state, registration=OUTCOME_UNKNOWN)
                yield "registration, answer lost", put(unknown, record=row)
                yield "registration lost", unknown

    def grant_steps(self, state):
        """Yield the messages between the sender and the granter."""
        sender, granter = state.sender, state.granter
        serving = not granter.pause and granter.eligible
        if not sender.pause:
            if state.report is None:
                report = (sender.applied, self.is_busy(sender), True)
                yield "sender reports", state._replace(report=report)
            if state.grant:
                yield "grant arrives", self.take_grant(state)
        if serving and state.grant is None:
            current = state.report if state.report and state.report[2] else None
            answered = give(state, outstanding=self.outstanding_ticks(), report=None)
            yield "granter grants", answered._replace(
                grant=(granter.applied, True, True),
                report=state.report if self.accepts_earlier_incarnation() else current,
            )
        if state.report:
            arrived = state._replace(report=None)
            yield "report lost", arrived
            if not granter.pause:
                yield "report arrives", give(arrived, report=state.report[:2])

    def take_grant(self, state):
        """Return the state after a grant reached its holder."""
        seq, current, unexpired = state.grant
        arrived = state._replace(grant=None)
        valid = (current or self.accepts_earlier_incarnation()) and (
            unexpired or self.times_grant_from_receipt()
        )
        return put(arrived, held=valid, held_seq=seq if valid else 0)

    def granter_steps(self, state):
        """Yield the granter's steps, and its faults if the scenario has them."""
        granter = state.granter
        if granter.pause:
            eligible = granter.eligible and self.keeps_eligibility(granter.pause)
            yield "granter wakes", give(state, pause=0, eligible=eligible)
        else:
            yield from self.consent_steps(state)
            if self.bounds["faults"]:
                yield "granter pauses", give(state, pause=PAUSED)
        if self.bounds["faults"]:
            yield "granter restarts", state._replace(
                granter=Granter(
                    eligible=False,
                    outstanding=self.remembers_grants() and self.outstanding_ticks(),
                    recorded=granter.recorded,
                    consent=granter.consent,
                )
            )

    def consent_steps(self, state):
        """Yield the granter's steps with the log and its record."""
        granter, seq = state.granter, len(state.log)
        if granter.applied < seq:
            yield "granter applies", give(state, applied=granter.applied + 1)
        if not granter.eligible:
            yield "granter registers and reads", give(
                state, eligible=True, recorded=True, applied=seq
            )
        drain = seq if state.log.endswith(DRAIN) else 0
        ready = granter.eligible and granter.recorded and granter.consent < drain
        if ready and granter.applied >= drain:
            settled = not self.bounds["grants"] or self.holder_settled(state, drain)
            if settled:
                yield "granter consents", give(state, consent=drain)

    def tick(self, state):
        """Return the state after grants expired and pauses grew."""
        sender, granter = state.sender, state.granter
        held = sender.held and self.keeps_expired_grant()
        waiting = put(
            state,
            pause=min(sender.pause + 1, REMOVABLE) if sender.pause else 0,
            held=held,
            held_seq=sender.held_seq if held else 0,
        )
        if sender.phase == CHECKED and not self.check_lasts():
            waiting = put(waiting, phase=OLD_CHECK)
        elif sender.phase == OLD_CHECK:
            waiting = end_request(waiting)
        # An expired grant under way is dropped, as its holder would ignore it.
        expired = state.grant and (*state.grant[:2], False)
        kept = expired if self.times_grant_from_receipt() else None
        waiting = waiting._replace(grant=kept)
        pause = min(granter.pause + 1, REMOVABLE) if granter.pause else 0
        outstanding = max(0, granter.outstanding - 1)
        return give(waiting, pause=pause, outstanding=outstanding)


def end_request(state):
    """Return the state without a request of the sender."""
    return put(state, phase=IDLE, pool="", protected=False)


def put(state, **changes):
    """Return the state with a changed sender."""
    return state._replace(sender=state.sender._replace(**changes))


def give(state, **changes):
    """Return the state with a changed granter."""
    return state._replace(granter=state.granter._replace(**changes))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return OwnershipSpecification.mistakes.register(name)


@mistake("registers_after_reading")
class RegistersAfterReading(OwnershipSpecification):
    """A sender that the planner did not see has read the log too early."""

    def eligible_after_registering(self):
        """Count an earlier read."""
        return True


@mistake("trusts_old_record")
class TrustsOldRecord(OwnershipSpecification):
    """Drops R2 after a restart: the record shows an earlier incarnation's consent."""

    def eligible_after_restart(self, record):
        """Take the record that is there for one's own."""
        return record is not None


@mistake("trusts_lost_registration")
class TrustsLostRegistration(OwnershipSpecification):
    """Takes a lost answer to the registration for a success."""

    def trusts_lost_registration(self):
        """Skip the comparison of the row read back."""
        return True


@mistake("busy_only_once_sent")
class BusyOnlyOnceSent(OwnershipSpecification):
    """Drops R3a: consents between the check and the send."""

    def is_busy(self, sender):
        """Count requests that were sent."""
        return sender.phase == SENT


@mistake("check_without_limit")
class CheckWithoutLimit(OwnershipSpecification):
    """Drops R2b: sends on a check made before a pause or an expiry."""

    def check_lasts(self):
        """Keep the check."""
        return True


@mistake("counts_grant_without_margin")
class CountsGrantWithoutMargin(OwnershipSpecification):
    """Drops the margin of R2b: a check made just before the expiry still sends."""

    def outstanding_ticks(self):
        """Count the bare duration."""
        return 1


@mistake("stale_sender_stays_eligible")
class StaleSenderStaysEligible(OwnershipSpecification):
    """Drops R5: a sender sends after its record was removed."""

    def keeps_eligibility(self, pause):
        """Ignore the gap."""
        return True


@mistake("overlooks_expiry")
class OverlooksExpiry(OwnershipSpecification):
    """Drops the expiry of grants of R2."""

    def keeps_expired_grant(self):
        """Keep the grant."""
        return True


@mistake("times_grant_from_receipt")
class TimesGrantFromReceipt(OwnershipSpecification):
    """Times a grant from its receipt, so a delayed one outlasts the granter's count."""

    def times_grant_from_receipt(self):
        """Start the time at the receipt."""
        return True


@mistake("accepts_earlier_incarnation")
class AcceptsEarlierIncarnation(OwnershipSpecification):
    """Drops R2a: a report made before a restart vouches for the new process."""

    def accepts_earlier_incarnation(self):
        """Ignore the incarnation."""
        return True


@mistake("ignores_granters_seq")
class IgnoresGrantersSeq(OwnershipSpecification):
    """Drops the last condition of R2: sends under a grant on older state."""

    def grant_applies(self, sender):
        """Ignore the granter's seq."""
        return True


@mistake("expiry_is_consent")
class ExpiryIsConsent(OwnershipSpecification):
    """Reads R3 as "the grant has expired": interrupts the holder's request."""

    def holder_settled(self, state, seq):
        """Wait for the expiry only."""
        return not state.granter.outstanding


@mistake("expiry_with_earlier_report")
class ExpiryWithEarlierReport(OwnershipSpecification):
    """Reads R3 literally: "nothing in flight" may be older than the expiry."""

    def holder_settled(self, state, seq):
        """Combine the expiry with whatever was reported last."""
        report = state.granter.report
        if not isinstance(report, tuple):
            return state.sender.record is None and not state.granter.outstanding
        return (report[0] >= seq or not state.granter.outstanding) and not report[1]


@mistake("asks_remembered_holders_only")
class AsksRememberedHoldersOnly(OwnershipSpecification):
    """Reads R3 literally after a granter's restart, which forgets its grants."""

    def holder_settled(self, state, seq):
        """Settle at once if no grant is remembered."""
        return state.granter.report == NEVER or super().holder_settled(state, seq)


@mistake("forgets_grants")
class ForgetsGrants(OwnershipSpecification):
    """Drops R3c: a restarted granter does not wait for its earlier grants."""

    def remembers_grants(self):
        """Start without outstanding grants."""
        return False


@mistake("assigns_without_consent")
class AssignsWithoutConsent(OwnershipSpecification):
    """Drops R4a: no sender is left that accounts for the grants."""

    def assigns_without_consent(self):
        """Take no record for consent."""
        return True


@mistake("assigns_after_cancel")
class AssignsAfterCancel(OwnershipSpecification):
    """Drops the check of the head and epoch: consents to an earlier drain count."""

    def append_allowed(self, state):
        """Append to whatever the head is."""
        return state.log.endswith(DRAIN)


@mistake("ignores_applied_seq")
class IgnoresAppliedSeq(OwnershipSpecification):
    """Drops half of R4: an idle sender that has not applied the drain consents."""

    def consents(self, state, seq):
        """Look at the busy hosts only."""
        record = state.sender.record
        return not record or not record.busy


@mistake("removes_cut_off_sender")
class RemovesCutOffSender(OwnershipSpecification):
    """Breaks the assumption on the list: a live sender's record is removed."""

    def may_remove(self, sender):
        """Remove without the lag bound."""
        return True
