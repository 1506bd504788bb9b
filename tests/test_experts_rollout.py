"""Test the rollout of a new expert map to all ranks, with late and lost orders."""

import random
import unittest
from collections import Counter

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nutmegslip_decisions.experts.placement import plan_even_shares
from nutmegslip_decisions.experts.rollout import (
    IDENTITY_COUNT,
    ChangeCompleted,
    Group,
    GroupUpdated,
    LayoutRead,
    LoadsMeasured,
    Options,
    OrderOutcome,
    Outcome,
    ReadLayout,
    ReadReports,
    ReportReceived,
    SendOrder,
    State,
    Tick,
    reduce,
)
from tests.experts_ranks import Ranks

SIZE, EXPERTS, PLACES, SPARE = 3, 12, 6, 2
NAMES = tuple(f"rank-{number}" for number in range(SIZE))
FIRST_MAP = (
    tuple(tuple(e for e in range(EXPERTS) if e % SIZE == r) for r in range(SIZE)),
)
TICK_MS = 100
REPORT_LAG_MS = 300


class Process:
    """A process that sends orders; it is suspended until ``frozen_until_ms``."""

    def __init__(self, identity):
        self.state = State(Options(identity, PLACES, SPARE))
        self.frozen_until_ms = 0
        self.backlog = []
        self.is_leader = True
        self.fence_lag_ms = 0
        self.silence_ms = 0


class Simulation:
    """Processes that change the map of one group; orders may be lost or late."""

    def __init__(self, seed, processes=2, fault_rate=0.3):
        self.random = random.Random(seed)
        self.ranks = Ranks(SIZE, FIRST_MAP)
        self.now_ms = 10_000
        self.fault_rate = fault_rate
        self.identities = iter(range(1, IDENTITY_COUNT))
        self.processes = [Process(next(self.identities)) for _ in range(processes)]
        self.late = []
        self.history = []
        self.seen = Counter()

    def run(self, ticks):
        for _ in range(ticks):
            self.tick()

    def tick(self):
        self.now_ms += TICK_MS
        self.history.append(
            (
                self.now_ms,
                self.ranks.epoch,
                [self.ranks.report(n) for n in range(SIZE)],
            )
        )
        self._execute_late()
        for process in self.processes:
            self._tick_process(process)
        begun = self.ranks.begin_pass()
        self.seen["held" if not begun else "passes"] += 1

    def _tick_process(self, process):
        if process.frozen_until_ms > self.now_ms:
            return
        for event in process.backlog:
            self._handle(process, event)
        process.backlog.clear()
        group = Group("g", self.ranks.epoch, NAMES)
        self._handle(process, GroupUpdated(self.now_ms, group))
        fenced_ms = self.now_ms - process.fence_lag_ms
        fence = fenced_ms * IDENTITY_COUNT + process.state.options.identity
        tick = Tick(self.now_ms, process.is_leader, fence, process.silence_ms)
        self._handle(process, tick)
        hot = self.random.randrange(EXPERTS)
        loads = tuple(10.0 if e == hot else 1.0 for e in range(EXPERTS))
        self._handle(process, LoadsMeasured(self.now_ms, (loads,)))

    def _handle(self, process, event):
        process.state, effects = reduce(process.state, event)
        for effect in effects:
            match effect:
                case SendOrder():
                    self._send_order(process, effect)
                case ReadReports():
                    self._read_reports(process)
                case ReadLayout():
                    self._read_layout(process)
                case ChangeCompleted():
                    self.seen["changed"] += 1
                case _:
                    self.seen["abandoned"] += 1

    def _send_order(self, process, sent):
        number = NAMES.index(sent.rank)
        order = (number, sent.epoch, sent.fence, sent.order)
        outcome = Outcome.UNKNOWN
        drawn = self.random.random()
        if drawn >= self.fault_rate:
            outcome = self.ranks.execute(*order)
        elif drawn < self.fault_rate * 0.5:
            delay_ms = self.random.randint(2_000, 12_000)
            self.late.append((self.now_ms + delay_ms, order))
        elif drawn < self.fault_rate * 0.8:
            self.ranks.execute(*order)  # only the response is lost
        event = OrderOutcome(
            self.now_ms, sent.rank, sent.epoch, sent.order, outcome, sent.fence
        )
        process.backlog.append(event)

    def _read_reports(self, process):
        old = [
            entry for entry in self.history if entry[0] <= self.now_ms - REPORT_LAG_MS
        ]
        if not old:
            return
        for name, report in zip(NAMES, old[-1][2], strict=True):
            if self.random.random() >= self.fault_rate / 2:
                process.backlog.append(ReportReceived(self.now_ms, name, report))

    def _read_layout(self, process):
        ranks = self.ranks.ranks
        event = LayoutRead(
            self.now_ms, self.ranks.epoch, ranks[0].version, ranks[0].layout
        )
        process.backlog.append(event)

    def _execute_late(self):
        due = [order for at_ms, order in self.late if at_ms <= self.now_ms]
        self.late = [item for item in self.late if item[0] > self.now_ms]
        for order in due:
            self.seen["late"] += 1
            self.ranks.execute(*order)

    def inject_fault(self):
        """Replace, suspend or change the role of a process, or reform the group."""
        process = self.random.choice(self.processes)
        match self.random.randrange(6):
            case 0:
                self.processes.remove(process)
                self.processes.append(Process(next(self.identities)))
            case 1 | 2:
                process.frozen_until_ms = self.now_ms + self.random.randint(300, 6_000)
            case 3 | 4:
                process.is_leader = not process.is_leader
                # Also where the leader before is only cut off, and goes on.
                process.silence_ms = self.random.choice((0, 600, 5_000))
            case 5 if self.random.random() < 0.3:
                self.ranks.reform()

    def end_faults(self):
        """End all faults and make one process the leader."""
        self.fault_rate = 0.0
        for number, process in enumerate(self.processes):
            process.frozen_until_ms = 0
            process.is_leader = number == 0


class RolloutTests(unittest.TestCase):
    def test_a_change_without_faults_delays_no_pass(self):
        simulation = Simulation(1, processes=1, fault_rate=0.0)
        simulation.run(60)
        self.assertGreaterEqual(simulation.seen["changed"], 1)
        self.assertEqual(simulation.seen["held"], 0)
        self.assertNotEqual(simulation.ranks.ranks[0].layout, FIRST_MAP)

    def test_a_new_leader_takes_over_even_with_a_lower_fence(self):
        simulation = Simulation(1, fault_rate=0.0)
        first, second = simulation.processes
        second.is_leader = False
        while not any(rank.held for rank in simulation.ranks.ranks):
            simulation.tick()
        first.frozen_until_ms = simulation.now_ms + 60_000
        first.is_leader, second.is_leader = False, True
        second.fence_lag_ms = 20_000
        simulation.run(80)
        self.assertLess(simulation.seen["held"], 30)
        self.assertGreater(simulation.seen["changed"], 0)

    def test_a_takeover_does_not_wait_long_for_a_read_that_got_no_answer(self):
        """Entries restart one after the other, so a read of all ranks often fails."""
        simulation = Simulation(1, fault_rate=0.0)
        first, second = simulation.processes
        second.is_leader = False
        while not any(rank.held for rank in simulation.ranks.ranks):
            simulation.tick()
        first.frozen_until_ms = simulation.now_ms + 60_000
        read, unanswered = simulation._read_layout, iter(range(2))
        simulation._read_layout = lambda process: (
            read(process) if next(unanswered, None) is None else None
        )
        first.is_leader, second.is_leader = False, True
        simulation.run(80)
        self.assertLess(simulation.seen["held"] * TICK_MS, 1_500)

    def test_the_successor_of_a_silent_leader_trusts_the_first_reports(self):
        """The leader froze with a pass held, and was silent for the time limit."""
        held = []
        for silence_ms in (0, 500):
            simulation = Simulation(1, fault_rate=0.0)
            first, second = simulation.processes
            second.is_leader = False
            while not any(rank.held for rank in simulation.ranks.ranks):
                simulation.tick()
            first.frozen_until_ms = simulation.now_ms + 60_000
            simulation.run(5)
            first.is_leader, second.is_leader = False, True
            second.silence_ms = silence_ms
            simulation.run(80)
            held.append(simulation.seen["held"] * TICK_MS)
        self.assertLessEqual(held[1], held[0] - 300)

    @given(seed=st.integers(0, 2**32), fault_rate=st.sampled_from((0.1, 0.3, 0.6)))
    @settings(max_examples=120, suppress_health_check=list(HealthCheck))
    def test_no_pass_begins_with_two_maps_or_is_held_forever(self, seed, fault_rate):
        simulation = Simulation(seed, fault_rate=fault_rate)
        for _ in range(12):
            simulation.run(simulation.random.randint(3, 30))
            simulation.inject_fault()
        simulation.end_faults()
        simulation.run(200)
        passes = simulation.seen["passes"]
        simulation.run(100)
        self.assertGreater(simulation.seen["passes"], passes + 80)

    def test_the_fuzz_reaches_each_case(self):
        seen = Counter()
        for seed in range(40):
            simulation = Simulation(seed, fault_rate=0.5)
            for _ in range(12):
                simulation.run(simulation.random.randint(3, 30))
                simulation.inject_fault()
            seen += simulation.seen
        for case in ("changed", "abandoned", "held", "late", "passes"):
            self.assertGreater(seen[case], 10, case)


class PlacementTests(unittest.TestCase):
    @given(st.lists(st.floats(0, 1e6), min_size=EXPERTS, max_size=EXPERTS))
    @settings(max_examples=200)
    def test_a_plan_keeps_every_bound(self, loads):
        plan = plan_even_shares(FIRST_MAP[0], loads, PLACES, SPARE)
        held = {expert for experts in plan.slots for expert in experts}
        self.assertEqual(held, set(range(EXPERTS)))
        for old, new in zip(FIRST_MAP[0], plan.slots, strict=True):
            self.assertLessEqual(len(new), PLACES)
            self.assertLessEqual(len(set(new) - set(old)), SPARE)
            self.assertEqual(len(new), len(set(new)))
        self.assertLessEqual(plan.peak_after, plan.peak_before * (1 + 1e-9))

    def test_a_copy_that_takes_long_must_gain_more(self):
        copies = Counter()
        for seed in range(30):
            weights = random.Random(seed)
            loads = [weights.paretovariate(1.0) for _ in range(EXPERTS)]
            for copy_ms in (0.0, 1_000.0):
                plan = plan_even_shares(FIRST_MAP[0], loads, PLACES, SPARE, copy_ms)
                copies[copy_ms] += sum(
                    len(set(new) - set(old))
                    for old, new in zip(FIRST_MAP[0], plan.slots, strict=True)
                )
        self.assertGreater(copies[0.0], copies[1_000.0])
        self.assertGreater(copies[1_000.0], 30)

    def test_a_popular_expert_is_copied(self):
        loads = [10.0] + [1.0] * (EXPERTS - 1)
        plan = plan_even_shares(FIRST_MAP[0], loads, PLACES, SPARE)
        self.assertLess(plan.peak_after, 0.7 * plan.peak_before)


if __name__ == "__main__":
    unittest.main()
