"""Fuzz the gate against an upstream that turns cold without notice."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegslip_decisions import gate
from nutmegslip_decisions.work import RefusalKind

COLD_LIMIT = 2
WARM_LIMIT = 8
LEASE_MS = 2**40


class GateMachine(RuleBasedStateMachine):
    """Exchange delayed messages between the gate and a simulated upstream."""

    reached: set[str] = set()
    reduce = staticmethod(gate.reduce)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.state = gate.new_gate(COLD_LIMIT, WARM_LIMIT)
        self.cold, self.epoch = True, 0
        self.sent_since_cold: set[str] = set()
        self.in_upstream: set[str] = set()
        self.to_upstream: list[str] = []
        self.to_gate: list[gate.GateEvent] = []
        self.offered: set[str] = set()
        self.decided: set[str] = set()
        self.marked_out = self.draining = False
        self.apply(gate.Reported(0, True, 0, 0))

    @initialize(warm=st.booleans())
    def begin(self, warm: bool) -> None:
        if warm:
            self.warm_up()
            self.report()

    def apply(self, event: gate.GateEvent) -> None:
        self.state, effects = self.reduce(self.state, event)
        for effect in effects:
            match effect:
                case gate.Dispatch(attempt_id):
                    assert not self.marked_out and not self.draining, (
                        "dispatched while marked out or draining"
                    )
                    assert attempt_id not in self.decided, "dispatched twice"
                    self.decided.add(attempt_id)
                    self.to_upstream.append(attempt_id)
                case gate.Refuse(attempt_id, kind, _):
                    assert attempt_id not in self.decided, "refused after a decision"
                    self.decided.add(attempt_id)
                    self.reached.add(f"refused {kind}")
                case gate.Drained():
                    assert not self.in_upstream and not self.to_upstream
                    self.reached.add("drained")

    @rule(
        count=st.integers(1, 4),
        priority=st.integers(0, 2),
        max_wait_ms=st.integers(1, 50),
    )
    def offer(self, count: int, priority: int, max_wait_ms: int) -> None:
        for _ in range(count):
            self.offer_one(priority, max_wait_ms)

    def offer_one(self, priority: int, max_wait_ms: int) -> None:
        attempt_id = f"a{len(self.offered)}"
        self.offered.add(attempt_id)
        deadline_ms = self.now_ms + max_wait_ms
        event = gate.Offered(
            self.now_ms, attempt_id, "w", deadline_ms, LEASE_MS, priority
        )
        self.apply(event)

    @precondition(lambda self: self.to_upstream)
    @rule(index=st.integers(0, 7), count=st.integers(1, 4))
    def arrive(self, index: int, count: int) -> None:
        for _ in range(min(count, len(self.to_upstream))):
            self.arrive_one(index)

    def arrive_one(self, index: int) -> None:
        attempt_id = self.to_upstream.pop(index % len(self.to_upstream))
        self.in_upstream.add(attempt_id)
        if self.cold:
            self.sent_since_cold.add(attempt_id)
        event = (attempt_id, self.cold, self.epoch)
        self.to_gate.append(event)

    @precondition(lambda self: self.to_gate)
    @rule(index=st.integers(0, 7))
    def acknowledge(self, index: int) -> None:
        attempt_id, cold, epoch = self.to_gate.pop(index % len(self.to_gate))
        if cold and not self.state.cold:
            self.reached.add("turned cold between reports")
        self.apply(gate.Acknowledged(self.now_ms, attempt_id, cold, epoch, LEASE_MS))

    @precondition(lambda self: self.in_upstream)
    @rule(index=st.integers(0, 7))
    def end(self, index: int) -> None:
        attempt_id = sorted(self.in_upstream)[index % len(self.in_upstream)]
        self.in_upstream.discard(attempt_id)
        self.sent_since_cold.discard(attempt_id)
        self.apply(gate.Ended(self.now_ms, attempt_id, LEASE_MS))

    @rule()
    def turn_cold(self) -> None:
        if not self.cold:
            self.reached.add("silently cold")
        self.cold, self.epoch = True, self.epoch + 1
        self.sent_since_cold = set()

    @rule()
    def warm_up(self) -> None:
        self.cold = False

    @rule()
    def report(self) -> None:
        running = len(self.in_upstream)
        self.apply(gate.Reported(self.now_ms, self.cold, self.epoch, running))

    @rule(step_ms=st.integers(1, 40))
    def wait(self, step_ms: int) -> None:
        self.now_ms += step_ms
        self.apply(gate.Tick(self.now_ms, LEASE_MS))

    @rule(marked_out=st.sampled_from((True, False, False, False)))
    def mark(self, marked_out: bool) -> None:
        self.marked_out = marked_out
        self.apply(gate.MarkChanged(self.now_ms, not marked_out))

    @precondition(lambda self: len(self.offered) > 15)
    @rule()
    def drain(self) -> None:
        self.draining = True
        self.apply(gate.DrainStarted(self.now_ms))

    @invariant()
    def a_cold_upstream_stays_within_its_limit(self) -> None:
        assert len(self.sent_since_cold) <= COLD_LIMIT, "cold limit exceeded"

    @invariant()
    def no_attempt_is_lost(self) -> None:
        assert self.offered == self.decided | set(self.state.waiting)


def run(machine: type[GateMachine], examples: int) -> None:
    machine.reached = set()
    phases = (Phase.generate,)
    budget = settings(max_examples=examples, stateful_step_count=50, phases=phases)
    run_state_machine_as_test(machine, settings=budget)


class GateTests(unittest.TestCase):
    def test_fuzz(self) -> None:
        # The drawn values also depend on the loaded modules: 200 runs reached every
        # case with some sets of modules only.
        run(GateMachine, 1000)
        cases = {"drained", "silently cold", "turned cold between reports"}
        kinds = (
            RefusalKind.COLD,
            RefusalKind.BUSY,
            RefusalKind.DRAINING,
            RefusalKind.MARKED_OUT,
            RefusalKind.DEADLINE,
        )
        cases |= {f"refused {kind}" for kind in kinds}
        self.assertLessEqual(cases, GateMachine.reached)

    def test_fuzz_finds_a_gate_that_waits_for_reports(self) -> None:
        """Without the bound on unacknowledged attempts, the cold limit is exceeded."""

        def ignore_unacknowledged(state: gate.GateState, event: gate.GateEvent):
            return gate.reduce(state._replace(unacknowledged=0), event)

        broken = type(
            "Broken", (GateMachine,), {"reduce": staticmethod(ignore_unacknowledged)}
        )
        with self.assertRaisesRegex(AssertionError, "cold limit exceeded"):
            run(broken, 1000)

    def test_refuses_work_without_a_lease(self) -> None:
        state = gate.new_gate(COLD_LIMIT, WARM_LIMIT)
        state, _ = gate.reduce(state, gate.Reported(0, False, 1, 0))
        _, effects = gate.reduce(state, gate.Offered(10, "a", "w", 99, 10))
        self.assertEqual(effects[0].kind, RefusalKind.NO_LEASE)

    def test_no_work_before_the_first_report(self) -> None:
        state = gate.new_gate(COLD_LIMIT, WARM_LIMIT)
        _, effects = gate.reduce(state, gate.Offered(0, "a", "w", 99, 10))
        self.assertEqual(effects[0].kind, RefusalKind.COLD)

    def test_requests_of_a_previous_incarnation_count(self) -> None:
        state = gate.new_gate(COLD_LIMIT, WARM_LIMIT)
        state, _ = gate.reduce(state, gate.Reported(0, True, 1, 2))
        self.assertEqual(gate.free_slots(state), 0)
        state, _ = gate.reduce(state, gate.Reported(0, True, 1, 1))
        self.assertEqual(gate.free_slots(state), 1)
