from types import SimpleNamespace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from magnoliapier.claims import Claim, Claims
from magnoliapier.clock import VirtualClock
from magnoliapier.connections import Answer
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.metrics import Metrics
from tests.hostile_table import STATEFUL_SETTINGS, FaultyTable, outcome_scripts

PROCESSES = st.integers(0, 1)
ENTRY = SimpleNamespace(service="wire", organisation="desk-a", key="filing-1")
FIRST_ANSWER = Answer(200, "OK", [("X-Run", "1")], b"filed")


class ClaimsMachine(RuleBasedStateMachine):
    """
    Attempts with one key at two entry hosts, for less than the time claims are kept.

    Guards against a second run after lost answers, late writes, restarts and an
    absent store, and against an answer that no run gave (rules C1 to C6).
    """

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock(1_000_000.0)
        self.table = FaultyTable(MemoryPlatform(self.clock).table)
        self.incarnation = 0
        self.runs = 0
        self.answered = False
        self.claims = [self.start(0), self.start(1)]
        self.held = [[], []]

    def start(self, process):
        self.incarnation += 1
        name = f"entry-{process}"
        return Claims(self.table, self.clock, Metrics(), name, self.incarnation)

    def settle(self, process):
        """Wait until the writer's thread has nothing to do."""
        claims = self.claims[process]
        claims._writer.ask("settle")
        while claims._claims.flushing:
            claims._writer.ask("settle")
        self.table.script.clear()

    @rule(process=PROCESSES, script=outcome_scripts)
    def attempt(self, process, script):
        results = []
        self.table.script.extend(script)
        self.claims[process].claim(ENTRY, "digest", 600.0, results.append)
        self.settle(process)
        (result,) = results
        if isinstance(result, Claim):
            self.held[process].append(SimpleNamespace(claim=result, sent=False))
        elif isinstance(result, Answer):
            assert self.answered and result.body == FIRST_ANSWER.body

    @precondition(lambda self: self.unsent())
    @rule(index=st.integers(0, 5))
    def send(self, index):
        unsent = self.unsent()
        held = unsent[index % len(unsent)]
        if held.claim.sendable(self.clock):
            held.sent = True
            self.runs += 1

    def unsent(self):
        return [held for group in self.held for held in group if not held.sent]

    @rule(process=PROCESSES, script=outcome_scripts, answers=st.booleans())
    def end(self, process, script, answers):
        """End the oldest request: record it if it was sent, otherwise release it."""
        if not self.held[process]:
            return
        held = self.held[process].pop(0)
        self.table.script.extend(script)
        if held.sent:
            self.answered |= answers
            answer = FIRST_ANSWER if answers else None
            self.claims[process].record(held.claim, answer, ran=answers)
        else:
            self.claims[process].release(held.claim)
        self.settle(process)

    @rule(process=PROCESSES, script=outcome_scripts)
    def tick(self, process, script):
        self.table.script.extend(script)
        self.claims[process].tick()
        self.settle(process)

    @rule(process=PROCESSES)
    def restart(self, process):
        self.claims[process].close()
        self.claims[process] = self.start(process)
        self.held[process] = []

    @rule(seconds=st.sampled_from([1.0, 60.0, 900.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 5))
    def land(self, index):
        self.table.apply_late(index)

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    def teardown(self):
        for claims in self.claims:
            claims.close()


class ClaimsStatefulTests(ClaimsMachine.TestCase):
    settings = settings(STATEFUL_SETTINGS, max_examples=100, stateful_step_count=30)
