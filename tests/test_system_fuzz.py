"""Fuzz entries and sidecars together against a simple oracle."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from nutmegslip_decisions import entry
from tests.system_world import World

ZONES = ("z1", "z2", "z3")
zones = st.sampled_from(ZONES)
names = st.sampled_from([kind + zone for kind in "em" for zone in ZONES])
# A final answer is due by its deadline; the tick that sends it can be this late.
LATE_MS = 100


class SystemMachine(RuleBasedStateMachine):
    """Ask, strike and publish in any order."""

    cases: set[str] = set()

    @initialize(seed=st.integers(0, 2**16), repeat=st.sampled_from((0.0, 0.5)))
    def begin(self, seed: int, repeat: float) -> None:
        self.world = World(seed)
        self.world.repeat = repeat
        self.world.run(6_000)
        self.struck: set[str] = set()

    @rule(zone=zones, count=st.integers(1, 4), tokens=st.integers(1, 30))
    def ask(self, zone: str, count: int, tokens: int) -> None:
        for _ in range(count):
            self.world.ask(f"e{zone}", tokens, 2_000 + 200 * tokens)

    @rule(step_ms=st.sampled_from((5, 40, 300, 2_000)))
    def wait(self, step_ms: int) -> None:
        self.world.run(step_ms)

    @rule(name=names)
    def kill_and_restart(self, name: str) -> None:
        self.world.kill(name)
        for request in self._requests_at(name):
            self.world.asked.pop(request, None)
        self.struck.add("killed")
        self.world.run(5)
        self.world.start(name)

    @rule(zone=zones, after_ms=st.sampled_from((15, 60)), freeze=st.booleans())
    def strike_where_work_is(self, zone: str, after_ms: int, freeze: bool) -> None:
        self.ask(zone, 2, 20)
        self.world.run(after_ms)
        for name in self._serving()[:1]:
            if freeze:
                self.freeze_and_wake(name, 6_000)
            else:
                self.kill_and_restart(name)

    @rule(name=names, asleep_ms=st.sampled_from((100, 1_500, 6_000)))
    def freeze_and_wake(self, name: str, asleep_ms: int) -> None:
        self.world.freeze(name)
        for request in self._requests_at(name):
            self.world.asked[request].deadline_ms += asleep_ms
        self.struck.add("frozen")
        self.world.run(asleep_ms)
        self.world.wake(name)

    @rule(one=names, two=names)
    def cut(self, one: str, two: str) -> None:
        if one != two:
            self.struck.add("cut")
            self.world.cut_link(one, two)

    @rule()
    def heal(self) -> None:
        self.world.heal()
        self.world.service_up = True

    @rule(zone=zones, cold=st.booleans())
    def change_temperature(self, zone: str, cold: bool) -> None:
        engine = self.world.engines[f"m{zone}"]
        if cold and not engine.cold:
            self.struck.add("silently cold")
            engine.epoch += 1
        engine.cold = cold

    @rule(zone=zones, mark=st.sampled_from(("in", "out", "in")))
    def mark(self, zone: str, mark: str) -> None:
        world = self.world
        world.publish({f"zone/{zone}": {"mark": mark}})
        if mark == "out" and world.service_up:
            world.out_since.setdefault(zone, world.now_ms)
        else:
            world.out_since.pop(zone, None)

    @rule()
    def stop_service(self) -> None:
        self.struck.add("service down")
        self.world.service_up = False
        # A mark published now takes effect only after the service is back.
        self.world.out_since.clear()

    @invariant()
    def no_fault(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.faults, self.world.faults

    @invariant()
    def each_request_is_answered_by_its_deadline(self) -> None:
        if not hasattr(self, "world"):
            return
        for request, asked in self.world.asked.items():
            late = self.world.now_ms > asked.deadline_ms + LATE_MS
            assert asked.end is not None or not late, f"{request} has no answer"

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self.heal()
        self.world.run(9_000)
        self.no_fault()
        self.each_request_is_answered_by_its_deadline()
        ends = [asked.end for asked in self.world.asked.values()]
        whole = any(isinstance(end, entry.Complete) for end in ends)
        reached = {f"whole after {fault}" for fault in self.struck if whole}
        type(self).cases |= reached | set(self.world.cases)

    def _serving(self) -> list[str]:
        return [name for name, engine in self.world.engines.items() if engine.running]

    def _requests_at(self, name: str) -> list[str]:
        state = self.world.processes[name].state
        if not isinstance(state, entry.EntryState):
            return []
        return [request for request in state.requests if request in self.world.asked]


def run(machine: type[SystemMachine], examples: int, steps: int = 25) -> set[str]:
    machine.cases = set()
    budget = settings(
        max_examples=examples, stateful_step_count=steps, phases=(Phase.generate,)
    )
    run_state_machine_as_test(machine, settings=budget)
    return machine.cases


class SystemFuzzTests(unittest.TestCase):
    def test_fuzz(self) -> None:
        cases = run(SystemMachine, 45)
        wanted = {
            "resumed",
            "whole after killed",
            "whole after frozen",
            "whole after cut",
            "whole after silently cold",
            "whole after service down",
        }
        self.assertLessEqual(wanted, cases)
        self.assertTrue(any("ran no" in case for case in cases), cases)


if __name__ == "__main__":
    unittest.main()
