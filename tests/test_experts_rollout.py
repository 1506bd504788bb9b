"""Test how a new expert map reaches every rank, also by late and lost orders."""

import random
import unittest
from collections import Counter

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nutmegslip_decisions.experts.placement import plan_even
from nutmegslip_decisions.experts.rollout import (
    IDENTITIES,
    Beat,
    Changed,
    Give,
    Group,
    GroupSeen,
    LayoutRead,
    LoadsMeasured,
    Options,
    Ordered,
    Outcome,
    ReadLayout,
    ReadReports,
    Reported,
    State,
    reduce,
)
from tests.experts_ranks import Ranks

SIZE, EXPERTS, PLACES, SPARE = 3, 12, 6, 2
NAMES = tuple(f"rank-{number}" for number in range(SIZE))
FIRST_MAP = (
    tuple(tuple(e for e in range(EXPERTS) if e % SIZE == r) for r in range(SIZE)),
)
BEAT_MS = 100
LAG_MS = 300


class Process:
    """Hold one process that gives orders; ``asleep_until_ms`` freezes it."""

    def __init__(self, identity):
        self.state = State(Options(identity, PLACES, SPARE))
        self.asleep_until_ms = 0
        self.backlog = []
        self.leads = True
        self.fence_lag_ms = 0


class World:
    """Run processes against one group, with orders that get lost or come late."""

    def __init__(self, seed, processes=2, trouble=0.3):
        self.random = random.Random(seed)
        self.ranks = Ranks(SIZE, FIRST_MAP)
        self.now_ms = 10_000
        self.trouble = trouble
        self.identities = iter(range(1, IDENTITIES))
        self.processes = [Process(next(self.identities)) for _ in range(processes)]
        self.late = []
        self.history = []
        self.seen = Counter()

    def run(self, beats):
        for _ in range(beats):
            self.beat()

    def beat(self):
        self.now_ms += BEAT_MS
        self.history.append(
            (
                self.now_ms,
                self.ranks.epoch,
                [self.ranks.report(n) for n in range(SIZE)],
            )
        )
        self._carry_out_late()
        for process in self.processes:
            self._beat_process(process)
        moved = self.ranks.begin_pass()
        self.seen["held" if not moved else "passes"] += 1

    def _beat_process(self, process):
        if process.asleep_until_ms > self.now_ms:
            return
        for event in process.backlog:
            self._take(process, event)
        process.backlog.clear()
        group = Group("g", self.ranks.epoch, NAMES)
        self._take(process, GroupSeen(self.now_ms, group))
        fenced_ms = self.now_ms - process.fence_lag_ms
        fence = fenced_ms * IDENTITIES + process.state.options.identity
        self._take(process, Beat(self.now_ms, process.leads, fence))
        hot = self.random.randrange(EXPERTS)
        loads = tuple(10.0 if e == hot else 1.0 for e in range(EXPERTS))
        self._take(process, LoadsMeasured(self.now_ms, (loads,)))

    def _take(self, process, event):
        process.state, effects = reduce(process.state, event)
        for effect in effects:
            match effect:
                case Give():
                    self._give(process, effect)
                case ReadReports():
                    self._read_reports(process)
                case ReadLayout():
                    self._read_layout(process)
                case Changed():
                    self.seen["changed"] += 1
                case _:
                    self.seen["abandoned"] += 1

    def _give(self, process, give):
        number = NAMES.index(give.rank)
        order = (number, give.epoch, give.fence, give.order)
        outcome = Outcome.UNKNOWN
        drawn = self.random.random()
        if drawn >= self.trouble:
            outcome = self.ranks.carry_out(*order)
        elif drawn < self.trouble * 0.5:
            delay_ms = self.random.randint(2_000, 12_000)
            self.late.append((self.now_ms + delay_ms, order))
        elif drawn < self.trouble * 0.8:
            self.ranks.carry_out(*order)  # only the answer is lost
        event = Ordered(self.now_ms, give.rank, give.epoch, give.order, outcome)
        process.backlog.append(event)

    def _read_reports(self, process):
        old = [entry for entry in self.history if entry[0] <= self.now_ms - LAG_MS]
        if not old:
            return
        for name, report in zip(NAMES, old[-1][2], strict=True):
            if self.random.random() >= self.trouble / 2:
                process.backlog.append(Reported(self.now_ms, name, report))

    def _read_layout(self, process):
        ranks = self.ranks.ranks
        event = LayoutRead(
            self.now_ms, self.ranks.epoch, ranks[0].version, ranks[0].layout
        )
        process.backlog.append(event)

    def _carry_out_late(self):
        due = [order for at_ms, order in self.late if at_ms <= self.now_ms]
        self.late = [item for item in self.late if item[0] > self.now_ms]
        for order in due:
            self.seen["late"] += 1
            self.ranks.carry_out(*order)

    def upset(self):
        """Kill, freeze or depose a process, or let the group form again."""
        process = self.random.choice(self.processes)
        match self.random.randrange(6):
            case 0:
                self.processes.remove(process)
                self.processes.append(Process(next(self.identities)))
            case 1 | 2:
                process.asleep_until_ms = self.now_ms + self.random.randint(300, 6_000)
            case 3 | 4:
                process.leads = not process.leads
            case 5 if self.random.random() < 0.3:
                self.ranks.form_again()

    def calm_down(self):
        """End every trouble and leave one process in the lead."""
        self.trouble = 0.0
        for number, process in enumerate(self.processes):
            process.asleep_until_ms = 0
            process.leads = number == 0


class RolloutTests(unittest.TestCase):
    def test_a_calm_change_holds_no_pass_up(self):
        world = World(1, processes=1, trouble=0.0)
        world.run(60)
        self.assertGreaterEqual(world.seen["changed"], 1)
        self.assertEqual(world.seen["held"], 0)
        self.assertNotEqual(world.ranks.ranks[0].layout, FIRST_MAP)

    def test_a_lead_is_taken_over_also_with_a_lower_fence(self):
        world = World(1, trouble=0.0)
        first, second = world.processes
        second.leads = False
        while not any(rank.held for rank in world.ranks.ranks):
            world.beat()
        first.asleep_until_ms = world.now_ms + 60_000
        first.leads, second.leads = False, True
        second.fence_lag_ms = 20_000
        world.run(80)
        self.assertLess(world.seen["held"], 30)
        self.assertGreater(world.seen["changed"], 0)

    @given(seed=st.integers(0, 2**32), trouble=st.sampled_from((0.1, 0.3, 0.6)))
    @settings(max_examples=120, suppress_health_check=list(HealthCheck))
    def test_no_pass_begins_with_two_maps_and_none_is_held_for_good(
        self, seed, trouble
    ):
        world = World(seed, trouble=trouble)
        for _ in range(12):
            world.run(world.random.randint(3, 30))
            world.upset()
        world.calm_down()
        world.run(200)
        passes = world.seen["passes"]
        world.run(100)
        self.assertGreater(world.seen["passes"], passes + 80)

    def test_the_fuzz_meets_what_it_is_for(self):
        seen = Counter()
        for seed in range(40):
            world = World(seed, trouble=0.5)
            for _ in range(12):
                world.run(world.random.randint(3, 30))
                world.upset()
            seen += world.seen
        for case in ("changed", "abandoned", "held", "late", "passes"):
            self.assertGreater(seen[case], 10, case)


class PlacementTests(unittest.TestCase):
    @given(st.lists(st.floats(0, 1e6), min_size=EXPERTS, max_size=EXPERTS))
    @settings(max_examples=200)
    def test_a_plan_keeps_every_bound(self, loads):
        plan = plan_even(FIRST_MAP[0], loads, PLACES, SPARE)
        held = {expert for experts in plan.slots for expert in experts}
        self.assertEqual(held, set(range(EXPERTS)))
        for old, new in zip(FIRST_MAP[0], plan.slots, strict=True):
            self.assertLessEqual(len(new), PLACES)
            self.assertLessEqual(len(set(new) - set(old)), SPARE)
            self.assertEqual(len(new), len(set(new)))
        self.assertLessEqual(plan.after, plan.before * (1 + 1e-9))

    def test_a_popular_expert_is_copied(self):
        loads = [10.0] + [1.0] * (EXPERTS - 1)
        plan = plan_even(FIRST_MAP[0], loads, PLACES, SPARE)
        self.assertLess(plan.after, 0.7 * plan.before)


if __name__ == "__main__":
    unittest.main()
