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
    Makes attempts with one key at two entry hosts, while the claims are kept.

    Guards against a second run after lost answers, late writes, restarts and store
    outages, and against an answer that no run gave (rules C1 to C6).
    """

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock(1_000_000.0)
        self.table = FaultyTable(MemoryPlatform(self.clock).table)
        self.incarnation = 0
        self.runs = 0
        self.answered = False
        self.claims = [self.start(0), self.start(1)]
        self.open_requests = [[], []]

    def start(self, process):
        self.incarnation += 1
        name = f"entry-{process}"
        return Claims(self.table, self.clock, Metrics(), name, self.incarnation)

    def settle(self, process):
        """Wait until the writer has no more groups to write, then clear the script."""
        claims = self.claims[process]
        claims._writer.ask("settle")
        while claims._shared.flushing:
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
            self.open_requests[process].append(
                SimpleNamespace(claim=result, sent=False)
            )
        elif isinstance(result, Answer):
            assert self.answered and result.body == FIRST_ANSWER.body

    @precondition(lambda self: self.unsent())
    @rule(index=st.integers(0, 5))
    def send(self, index):
        unsent = self.unsent()
        open_request = unsent[index % len(unsent)]
        if open_request.claim.sendable(self.clock):
            open_request.sent = True
            self.runs += 1

    def unsent(self):
        return [
            open_request
            for group in self.open_requests
            for open_request in group
            if not open_request.sent
        ]

    @rule(process=PROCESSES, script=outcome_scripts, answers=st.booleans())
    def end(self, process, script, answers):
        """End the oldest request: record it if it was sent and release it otherwise."""
        if not self.open_requests[process]:
            return
        open_request = self.open_requests[process].pop(0)
        self.table.script.extend(script)
        if open_request.sent:
            self.answered |= answers
            answer = FIRST_ANSWER if answers else None
            self.claims[process].record(open_request.claim, answer, ran=answers)
        else:
            self.claims[process].release(open_request.claim)
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
        self.open_requests[process] = []

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
