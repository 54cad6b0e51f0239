"""
Specification of the ownership of one host by pool ``a`` or ``b`` in one data centre.

``granter`` is an entry host of the host's data centre that issues grants, ``sender``
is another entry host, of the same data centre or of another one (by scenario).
Processes take steps at any time or not at all, so slow and unreachable processes,
delayed messages and an unreachable table are not modelled as states. At each tick
every grant that is not renewed expires. A process that is paused for two ticks is
stale, and after three ticks the host list may have dropped it. The rules depend only
on the order of these durations (3 s, 20 s, 30 s), not on their values.

The rules are R1 to R5 of ``docs/design.md``. Exploring this specification showed that
some of them were incomplete. These are given below in their corrected form, and each
failure is a seeded mistake:

- R2a. A grant counts only for the incarnation that it was issued to, and a report only
  for the incarnation that sent it.
- R2b. A check is valid for less than a tick (1 s in production), and the granter
  counts a grant as outstanding for that much longer than its holder does.
- R3a. A request counts as in flight from before its check.
- R3b. The granter consents to a drain at entry s of the log once every other sender
  with a record has reported that it has applied seq >= s and has no request in flight.
  Both must be in one message that is later than the last grant to that sender. For a
  sender without a record, the grant's expiry suffices; the requests of such a sender
  are not protected against an interruption.
- R3c. A restarted granter has lost the list of its grants. It acts as if it had issued
  one to every sender at its start.
- R4a. A host whose data centre has no registered sender is not assigned.

The environment is assumed to remove the record of a sender of the host's own data
centre only if that process was paused or down for the whole lag bound of the host list.
"""

from functools import cache
from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

DRAIN, ASSIGN, CANCEL = "D", "A", "C"
# ``OLD_CHECK`` is a check from before the last tick; it ends at the next one.
IDLE, CHECKED, OLD_CHECK, SENT = range(4)
UNREGISTERED, OUTCOME_UNKNOWN, REGISTERED = range(3)
# ``pause`` is 0 for a running process, otherwise 1 plus the ticks since it was paused.
PAUSED, STALE, REMOVABLE = 1, 3, 4
NEVER = "never"


class Record(NamedTuple):
    """
    A sender's row in the table.

    ``current`` says whether the sender's present incarnation wrote it.
    """

    current: bool
    applied: int
    busy: bool


class Granter(NamedTuple):
    """
    An entry host of the host's data centre.

    ``report`` is what the sender last reported: NEVER if there was neither a grant nor
    a report since the granter's start, None if there was no report since the last
    grant, otherwise (applied, busy). ``outstanding`` is the number of ticks for which
    the sender may still send under a grant. ``recorded`` says whether the granter has a
    row in the table, and ``consented_seq``, which is part of that row, is the log entry
    of the drain that it last consented to.
    """

    pause: int = 0
    eligible: bool = True
    applied: int = 0
    report: object = NEVER
    outstanding: int = 0
    recorded: bool = True
    consented_seq: int = 0


class Sender(NamedTuple):
    """
    The other entry host.

    ``held`` says whether it holds a grant, and ``held_seq`` is the granter's seq in
    that grant. ``protected`` says that its request began while it had a record.
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
    The log, the planner's memory, both entry hosts and the messages in transit.

    ``consented_drain`` is the entry of the drain for which the planner saw every
    consent, or 0. ``grant`` is (seq, current incarnation, unexpired); its duration
    counts from the request for it. ``report`` is (applied, busy, current incarnation).
    """

    log: str = ""
    consented_drain: int = 0
    granter: Granter = Granter()
    sender: Sender = Sender()
    grant: tuple | None = None
    report: tuple | None = None
    wrong_send: bool = False
    interrupted: bool = False


def scenario_bounds(
    log, local, grants=False, pauses=False, faults=False, lost_answers=False
):
    """
    Return the bounds of a scenario.

    ``log`` is the maximum length of the log. ``local`` puts the sender into the host's
    data centre, ``pauses`` lets it pause, and ``lost_answers`` lets the answers to its
    registration be lost. ``faults`` are pauses and restarts of the granter.
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
    """The ownership rules R1 to R5 in their corrected form."""

    name = "ownership"
    initial = State()
    mistakes = Registry("ownership mistake")
    scenarios = {
        # A subset of "remote grants", explored first as it reveals most mistakes early.
        "granter stays up": scenario_bounds(log=2, local=False, grants=True),
        "registration": scenario_bounds(
            log=4, local=True, pauses=True, lost_answers=True
        ),
        "remote grants": scenario_bounds(log=2, local=False, grants=True, faults=True),
        "local grants": scenario_bounds(log=2, local=True, grants=True, pauses=True),
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "sends_only_for_the_hosts_pool": lambda state: not state.wrong_send,
            "assign_interrupts_nothing": lambda state: not state.interrupted,
        }

    def witnesses(self):
        """Return the states that must be reachable."""
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
        granted = sender.held and self.granter_seq_applied(sender)
        return takes_work and granted

    def granter_seq_applied(self, sender):
        """Return whether the sender has applied the granter's seq (R2)."""
        return sender.applied >= sender.held_seq

    def eligible_after_registering(self):
        """Return whether a registered sender is eligible before it reads the log."""
        return False

    def eligible_after_restart(self, record):
        """Return whether a restarted sender trusts the record that it finds."""
        return False

    def trusts_lost_registration(self):
        """Return whether a registration with a lost answer counts as successful."""
        return False

    def is_busy(self, sender):
        """Return whether the sender reports a request in flight (R3a)."""
        return sender.phase != IDLE

    def check_never_expires(self):
        """Return whether a check is valid for an unlimited time (R2b)."""
        return False

    def keeps_eligibility(self, pause):
        """Return whether a process is still eligible after a pause (R5)."""
        return pause < STALE

    def keeps_expired_grant(self):
        """Return whether the sender ignores the expiry of its grant."""
        return False

    def times_grant_from_receipt(self):
        """Return whether a grant's duration starts at its receipt (R2)."""
        return False

    def accepts_earlier_incarnation(self):
        """Return whether grants and reports from before a restart count (R2a)."""
        return False

    # Decisions of the granter and the planner.

    def holder_settled(self, state, seq):
        """Return whether the sender has no request and can start none (R3b)."""
        report = state.granter.report
        if isinstance(report, tuple) and report[0] >= seq and not report[1]:
            return True
        return state.sender.record is None and not state.granter.outstanding

    def outstanding_ticks(self):
        """Return the ticks for which a grant counts as outstanding (R2b)."""
        return 2

    def assumes_outstanding_grants(self):
        """Return whether a restarted granter assumes outstanding grants (R3c)."""
        return True

    def all_consented(self, state, seq):
        """Return whether the records allow the planner to assign (R4)."""
        granter, record = state.granter, state.sender.record
        if granter.recorded and granter.consented_seq < seq:
            return False
        if not self.bounds["local"]:
            return granter.recorded or self.assigns_without_consent()
        if record and (record.applied < seq or record.busy):
            return False
        return bool(granter.recorded or record) or self.assigns_without_consent()

    def may_remove_record(self, sender):
        """Return whether the planner may remove the sender's record (R4)."""
        return sender.pause >= REMOVABLE or not self.bounds["local"]

    def assigns_without_consent(self):
        """Return whether a host without registered senders may be assigned (R4a)."""
        return False

    def accepts_assignment(self, state):
        """Return whether the table accepts the planner's assignment."""
        return state.consented_drain == len(state.log)

    def pending_drain(self, state):
        """Return the entry of the drain that awaits consent, or 0."""
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
        """Yield the planner's steps; a new planner does not know a consented drain."""
        log, sender, granter = state.log, state.sender, state.granter
        draining = log.endswith(DRAIN)
        if not draining and len(log) + 1 < self.bounds["log"]:
            yield "drain", state._replace(log=log + DRAIN)
        if draining and len(log) + 2 < self.bounds["log"]:
            yield "cancel the drain", state._replace(log=log + CANCEL)
        seq = self.pending_drain(state)
        if seq and not state.consented_drain and self.all_consented(state, seq):
            yield "planner sees consents", state._replace(consented_drain=seq)
        if state.consented_drain:
            yield "planner changes", state._replace(consented_drain=0)
            if self.accepts_assignment(state) and len(log) < self.bounds["log"]:
                pool, _ = assignment(log, len(log))
                interrupts = sender.phase == SENT and sender.pool == pool
                yield "assign", state._replace(
                    log=log + ASSIGN,
                    consented_drain=0,
                    interrupted=state.interrupted or (interrupts and sender.protected),
                )
        if sender.record and self.may_remove_record(sender):
            yield "sender's record removed", update_sender(
                state, record=None, protected=False
            )
        if granter.recorded and granter.pause >= REMOVABLE:
            yield "granter's record removed", update_granter(state, recorded=False)

    def sender_steps(self, state):
        """Yield the sender's requests, pauses and restarts."""
        sender = state.sender
        if sender.pause:
            yield "sender resumes", self.resume_sender(state)
        else:
            if sender.applied < len(state.log):
                yield "sender applies", update_sender(state, applied=sender.applied + 1)
            if sender.phase == IDLE and self.may_send(state):
                pool, _ = assignment(state.log, sender.applied)
                yield "sender checks", update_sender(
                    state,
                    phase=CHECKED,
                    pool=pool,
                    protected=sender.record is not None,
                )
            if sender.phase in (CHECKED, OLD_CHECK):
                wrong = assignment(state.log, len(state.log))[0] != sender.pool
                yield "sender sends", update_sender(state, phase=SENT)._replace(
                    wrong_send=state.wrong_send or wrong
                )
            if self.bounds["pauses"]:
                yield "sender pauses", update_sender(state, pause=PAUSED)
        if sender.phase != IDLE and (not sender.pause or sender.phase == SENT):
            yield "request ends", end_request(state)
        yield "sender restarts", self.restart_sender(state)

    def resume_sender(self, state):
        """Return the state after the end of the sender's pause (R5)."""
        sender = state.sender
        if sender.eligible and self.keeps_eligibility(sender.pause):
            return update_sender(state, pause=0)
        return update_sender(state, pause=0, eligible=False, registration=UNREGISTERED)

    def restart_sender(self, state):
        """Return the state after a restart that recovers the oldest possible state."""
        record = state.sender.record and state.sender.record._replace(current=False)
        eligible = self.eligible_after_restart(record)
        old_grant = state.grant and (state.grant[0], False, state.grant[2])
        remaining_grant = old_grant if self.accepts_earlier_incarnation() else None
        old_report = state.report and (*state.report[:2], False)
        return state._replace(
            sender=Sender(registration=UNREGISTERED, eligible=eligible, record=record),
            grant=remaining_grant,
            report=old_report,
        )

    def registration_steps(self, state):
        """Yield the steps by which a local sender uses the table."""
        sender = state.sender
        if sender.pause:
            return
        row = Record(True, sender.applied, self.is_busy(sender))
        if sender.registration == REGISTERED:
            if sender.record != row and sender.record:
                yield "sender writes its record", update_sender(state, record=row)
            yield "sender reads the log", update_sender(
                state, applied=len(state.log), eligible=True
            )
        elif sender.registration == OUTCOME_UNKNOWN:
            found = sender.record and sender.record.current
            found = found or self.trusts_lost_registration()
            yield "sender reads its record back", update_sender(
                state, registration=REGISTERED if found else UNREGISTERED
            )
        else:
            eligible = self.eligible_after_registering()
            yield "sender registers", update_sender(
                state, record=row, registration=REGISTERED, eligible=eligible
            )
            if self.bounds["lost_answers"]:
                unknown = update_sender(state, registration=OUTCOME_UNKNOWN)
                yield "registration, answer lost", update_sender(unknown, record=row)
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
                yield "grant arrives", self.deliver_grant(state)
        if serving and state.grant is None:
            current = state.report if state.report and state.report[2] else None
            answered = update_granter(
                state, outstanding=self.outstanding_ticks(), report=None
            )
            yield "granter grants", answered._replace(
                grant=(granter.applied, True, True),
                report=state.report if self.accepts_earlier_incarnation() else current,
            )
        if state.report:
            arrived = state._replace(report=None)
            yield "report lost", arrived
            if not granter.pause:
                yield "report arrives", update_granter(arrived, report=state.report[:2])

    def deliver_grant(self, state):
        """Return the state after a grant reached its holder."""
        seq, current, unexpired = state.grant
        arrived = state._replace(grant=None)
        valid = (current or self.accepts_earlier_incarnation()) and (
            unexpired or self.times_grant_from_receipt()
        )
        return update_sender(arrived, held=valid, held_seq=seq if valid else 0)

    def granter_steps(self, state):
        """Yield the granter's steps, and its faults if the scenario has them."""
        granter = state.granter
        if granter.pause:
            eligible = granter.eligible and self.keeps_eligibility(granter.pause)
            yield "granter resumes", update_granter(state, pause=0, eligible=eligible)
        else:
            yield from self.consent_steps(state)
            if self.bounds["faults"]:
                yield "granter pauses", update_granter(state, pause=PAUSED)
        if self.bounds["faults"]:
            yield "granter restarts", state._replace(
                granter=Granter(
                    eligible=False,
                    outstanding=self.assumes_outstanding_grants()
                    and self.outstanding_ticks(),
                    recorded=granter.recorded,
                    consented_seq=granter.consented_seq,
                )
            )

    def consent_steps(self, state):
        """Yield the steps by which the granter applies the log and consents."""
        granter, seq = state.granter, len(state.log)
        if granter.applied < seq:
            yield "granter applies", update_granter(state, applied=granter.applied + 1)
        if not granter.eligible:
            yield "granter registers and reads", update_granter(
                state, eligible=True, recorded=True, applied=seq
            )
        drain = seq if state.log.endswith(DRAIN) else 0
        ready = granter.eligible and granter.recorded and granter.consented_seq < drain
        if ready and granter.applied >= drain:
            settled = not self.bounds["grants"] or self.holder_settled(state, drain)
            if settled:
                yield "granter consents", update_granter(state, consented_seq=drain)

    def tick(self, state):
        """Return the state one tick later: grants expire and pauses last longer."""
        sender, granter = state.sender, state.granter
        held = sender.held and self.keeps_expired_grant()
        after = update_sender(
            state,
            pause=min(sender.pause + 1, REMOVABLE) if sender.pause else 0,
            held=held,
            held_seq=sender.held_seq if held else 0,
        )
        if sender.phase == CHECKED and not self.check_never_expires():
            after = update_sender(after, phase=OLD_CHECK)
        elif sender.phase == OLD_CHECK:
            after = end_request(after)
        # An expired grant in transit is dropped, as its holder would ignore it.
        expired = state.grant and (*state.grant[:2], False)
        remaining_grant = expired if self.times_grant_from_receipt() else None
        after = after._replace(grant=remaining_grant)
        pause = min(granter.pause + 1, REMOVABLE) if granter.pause else 0
        outstanding = max(0, granter.outstanding - 1)
        return update_granter(after, pause=pause, outstanding=outstanding)


def end_request(state):
    """Return the state after the sender's request or check has ended."""
    return update_sender(state, phase=IDLE, pool="", protected=False)


def update_sender(state, **changes):
    """Return the state with the given fields of the sender replaced."""
    return state._replace(sender=state.sender._replace(**changes))


def update_granter(state, **changes):
    """Return the state with the given fields of the granter replaced."""
    return state._replace(granter=state.granter._replace(**changes))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return OwnershipSpecification.mistakes.register(name)


@mistake("registers_after_reading")
class RegistersAfterReading(OwnershipSpecification):
    """A sender reads the log before it registers, so it may miss a later drain."""

    def eligible_after_registering(self):
        """Accept a read of the log from before the registration."""
        return True


@mistake("trusts_old_record")
class TrustsOldRecord(OwnershipSpecification):
    """Drops R2 after a restart: the record shows an earlier incarnation's consent."""

    def eligible_after_restart(self, record):
        """Treat an existing record as that of the present incarnation."""
        return record is not None


@mistake("trusts_lost_registration")
class TrustsLostRegistration(OwnershipSpecification):
    """Treats a registration whose answer was lost as successful."""

    def trusts_lost_registration(self):
        """Skip the check of the row that was read back."""
        return True


@mistake("busy_only_once_sent")
class BusyOnlyOnceSent(OwnershipSpecification):
    """Drops R3a: the granter may consent between the sender's check and its send."""

    def is_busy(self, sender):
        """Count only requests that were sent."""
        return sender.phase == SENT


@mistake("check_without_limit")
class CheckWithoutLimit(OwnershipSpecification):
    """Drops R2b: a sender relies on a check made before a pause or an expiry."""

    def check_never_expires(self):
        """Keep the check for any length of time."""
        return True


@mistake("counts_grant_without_margin")
class CountsGrantWithoutMargin(OwnershipSpecification):
    """Drops the margin of R2b: a check just before the expiry still allows a send."""

    def outstanding_ticks(self):
        """Count the duration of the grant without a margin."""
        return 1


@mistake("stale_sender_stays_eligible")
class StaleSenderStaysEligible(OwnershipSpecification):
    """Drops R5: a sender sends after its record was removed."""

    def keeps_eligibility(self, pause):
        """Stay eligible after a pause of any length."""
        return True


@mistake("overlooks_expiry")
class OverlooksExpiry(OwnershipSpecification):
    """Drops the expiry of grants in R2."""

    def keeps_expired_grant(self):
        """Keep the grant after its expiry."""
        return True


@mistake("times_grant_from_receipt")
class TimesGrantFromReceipt(OwnershipSpecification):
    """Times a grant from its receipt: a delayed one outlasts the granter's record."""

    def times_grant_from_receipt(self):
        """Start the duration at the receipt."""
        return True


@mistake("accepts_earlier_incarnation")
class AcceptsEarlierIncarnation(OwnershipSpecification):
    """Drops R2a: a report made before a restart counts for the new process."""

    def accepts_earlier_incarnation(self):
        """Ignore the incarnation."""
        return True


@mistake("ignores_granters_seq")
class IgnoresGrantersSeq(OwnershipSpecification):
    """Drops the last condition of R2: a sender behind the granter's seq sends."""

    def granter_seq_applied(self, sender):
        """Ignore the granter's seq."""
        return True


@mistake("expiry_is_consent")
class ExpiryIsConsent(OwnershipSpecification):
    """Takes the grant's expiry as consent (R3): the holder's request is interrupted."""

    def holder_settled(self, state, seq):
        """Wait only for the expiry."""
        return not state.granter.outstanding


@mistake("expiry_with_earlier_report")
class ExpiryWithEarlierReport(OwnershipSpecification):
    """Applies R3 literally: "nothing in flight" may be older than the expiry."""

    def holder_settled(self, state, seq):
        """Combine the expiry with the last report, however old it is."""
        report = state.granter.report
        if not isinstance(report, tuple):
            return state.sender.record is None and not state.granter.outstanding
        return (report[0] >= seq or not state.granter.outstanding) and not report[1]


@mistake("asks_remembered_holders_only")
class AsksRememberedHoldersOnly(OwnershipSpecification):
    """Applies R3 literally after a restart, when the granter has lost its grants."""

    def holder_settled(self, state, seq):
        """Consent at once if the granter knows of no grant."""
        return state.granter.report == NEVER or super().holder_settled(state, seq)


@mistake("forgets_grants")
class ForgetsGrants(OwnershipSpecification):
    """Drops R3c: a restarted granter does not wait for its earlier grants."""

    def assumes_outstanding_grants(self):
        """Start without outstanding grants."""
        return False


@mistake("assigns_without_consent")
class AssignsWithoutConsent(OwnershipSpecification):
    """Drops R4a: no registered sender is left that knows of the issued grants."""

    def assigns_without_consent(self):
        """Treat the absence of records as consent."""
        return True


@mistake("assigns_after_cancel")
class AssignsAfterCancel(OwnershipSpecification):
    """Drops the check of head and epoch: consents to an earlier drain still count."""

    def accepts_assignment(self, state):
        """Accept the assignment after any drain."""
        return state.log.endswith(DRAIN)


@mistake("ignores_applied_seq")
class IgnoresAppliedSeq(OwnershipSpecification):
    """Drops half of R4: an idle sender that has not applied the drain consents."""

    def all_consented(self, state, seq):
        """Check only whether the sender is busy."""
        record = state.sender.record
        return not record or not record.busy


@mistake("removes_cut_off_sender")
class RemovesCutOffSender(OwnershipSpecification):
    """Breaks the assumption on the host list: a live sender's record is removed."""

    def may_remove_record(self, sender):
        """Allow the removal before the lag bound has passed."""
        return True
