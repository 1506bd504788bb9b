"""Test what loads of experts are measured, and how soon a map follows them.

Popularity of experts shifts each few seconds. A new leader that planned by the counts
since the ranks' start made maps of what had been popular long ago, and a switch twelve
passes ahead came into force as the next shift began.
"""

import unittest
from types import SimpleNamespace

import gevent

from nutmegslip_decisions.direct import (
    ExpertLayout,
    State,
    StorePosition,
    counts_interval_ms,
    next_loads,
)
from nutmegslip_decisions.direct import Options as EntryOptions
from nutmegslip_decisions.experts.rollout import (
    Arm,
    Group,
    GroupUpdated,
    Hold,
    Idle,
    LayoutRead,
    LoadsMeasured,
    MapPlan,
    Options,
    OrderOutcome,
    Outcome,
    Prepare,
    Preparing,
    RankReport,
    ReadReports,
    ReportReceived,
    SendOrder,
    Tick,
    may_begin_change,
    plan_layers,
    reduce,
)
from nutmegslip_decisions.experts.rollout import State as RolloutState
from nutmegslip_entry.direct import ExpertCounts
from nutmegslip_entry.direct._expert_maps import ExpertMapManager
from tests.direct_world import upstream

GROUP = Group("g", 1, ("r0", "r1"))
LAYOUT = (((0, 1), (2, 3)),)
LOADS = ((90.0, 5.0, 3.0, 2.0),)
PASS_MS = 80
REPORT_LAG_MS = 200


class CountsTests(unittest.TestCase):
    def setUp(self):
        self.counts = {}
        self.measured = []
        machine = SimpleNamespace(clock=lambda: 0, state=State(EntryOptions("e")))
        client = SimpleNamespace(counts=lambda rank: self.counts[rank.id])
        self.manager = ExpertMapManager(
            machine, client, lambda: False, 1, StorePosition, SimpleNamespace()
        )
        self.manager._members["g"] = {name: upstream(name) for name in GROUP.ranks}
        self.manager._rollouts["g"] = RolloutState(Options(1, 4, 2, REPORT_LAG_MS))
        self.manager._dispatch = lambda _, event: self.measured.append(event.loads)

    def sample(self, *chosen, epoch=1):
        self.counts = {
            rank: ExpertCounts(epoch, tuple(map(float, chosen))) for rank in GROUP.ranks
        }
        self.manager._sample_loads("g", GROUP, ExpertLayout(1, 4, 4, 2))

    def test_the_first_counts_are_a_baseline(self):
        self.sample(9_000, 0, 0, 0)
        self.assertEqual(self.measured, [])
        self.sample(9_000, 0, 50, 0)
        self.assertEqual(self.measured, [((0.0, 0.0, 100.0, 0.0),)])

    def test_counts_of_a_newly_formed_group_are_a_baseline(self):
        self.sample(9_000, 0, 0, 0)
        self.sample(9_000, 100, 0, 0, epoch=2)
        self.assertEqual(self.measured, [])


class LoadsTests(unittest.TestCase):
    """Replay a shift of popularity where a map is copied in a fraction of a second."""

    FAST = ExpertLayout(1, 4, 4, 2, copy_ms=16.0)
    SLOW = ExpertLayout(1, 4, 4, 2, copy_ms=600.0)

    def test_counts_before_a_shift_do_not_outweigh_those_after_it(self):
        """A sampled rank read a prompt before the shift, and only writes after it."""
        before = next_loads(self.FAST, None, [90_000.0, 10_000.0, 0.0, 0.0])
        after = next_loads(self.FAST, before, [0.0, 1_000.0, 9_000.0, 0.0])
        self.assertEqual(after, ((0.0, 0.1, 0.9, 0.0),))

    def test_few_counts_that_differ_are_smoothed_out(self):
        """A group at light load; half of its requests differ from those before."""
        before = next_loads(self.FAST, None, [150.0, 50.0, 50.0, 50.0])
        ((first, second, *_),) = next_loads(
            self.FAST, before, [50.0, 150.0, 50.0, 50.0]
        )
        self.assertLess(second, 3 * first)

    def test_without_a_shift_single_requests_are_smoothed_out(self):
        before = next_loads(self.FAST, None, [500.0, 500.0, 0.0, 0.0])
        ((first, second, *_),) = next_loads(self.FAST, before, [540.0, 460.0, 0.0, 0.0])
        self.assertLess(first / (first + second), 0.54)

    def test_counts_are_read_more_often_only_where_a_map_is_copied_fast(self):
        self.assertEqual(counts_interval_ms(self.FAST, is_near_bound=True), 500)
        self.assertEqual(counts_interval_ms(self.FAST, is_near_bound=False), 1_500)
        for layout in (self.SLOW, ExpertLayout(1, 4, 4, 2)):
            interval_ms = counts_interval_ms(layout, is_near_bound=True)
            self.assertEqual(interval_ms, 1_500)
            before = next_loads(layout, None, [1_000.0, 0.0, 0.0, 0.0])
            after = next_loads(layout, before, [0.0, 100.0, 0.0, 0.0])
            self.assertEqual(after, ((300.0, 100.0, 0.0, 0.0),))


class SwitchTests(unittest.TestCase):
    """Replay a change by the times of passes, with reports that lag."""

    def setUp(self):
        self.now_ms = 100_000
        self.state = RolloutState(Options(1, 4, 2, REPORT_LAG_MS))
        self.take(GroupUpdated(self.now_ms, GROUP))
        self.take(Tick(self.now_ms, True, 1 << 20))
        for _ in range(6):
            self.wait(500)
        self.take(LayoutRead(self.now_ms, 1, 0, LAYOUT))
        self.take(LoadsMeasured(self.now_ms, LOADS))

    def test_a_plan_made_before_begins_the_same_change(self):
        begun, idle = self.state, self.state._replace(phase=Idle(0))
        self.assertIsInstance(begun.phase, Preparing)
        self.assertTrue(may_begin_change(idle, self.now_ms))
        planned = MapPlan(idle.layout, tuple(plan_layers(idle, LOADS)))
        other = MapPlan(((), ()), ())  # of a map that is no longer in force
        for plan in (planned, other, None):
            with self.subTest(plan=plan):
                state, _ = reduce(idle, LoadsMeasured(self.now_ms, LOADS, plan))
                self.assertEqual(state.phase.layout, begun.phase.layout)

    def test_a_plan_takes_experts_from_a_rank_that_reports_to_be_slow(self):
        idle = self.state._replace(phase=Idle(0))
        at_ms, report = idle.reports["r0"]
        slow = idle.reports.set("r0", (at_ms, report._replace(slowness=12.0)))
        even = ((25.0, 25.0, 25.0, 25.0),)
        (plan,) = plan_layers(idle, even)
        self.assertEqual(plan.slots, LAYOUT[0])
        (plan,) = plan_layers(idle._replace(reports=slow), even)
        self.assertLess(len(plan.slots[0]), 2)

    def test_streams_are_passed_on_between_the_layers_of_a_plan(self):
        """Guard against a plan that holds up the events of streams for its length."""
        machine = SimpleNamespace(clock=lambda: self.now_ms)
        manager = ExpertMapManager(
            machine, None, lambda: False, 1, StorePosition, SimpleNamespace()
        )
        layers = 12
        idle = self.state._replace(phase=Idle(0), layout=LAYOUT * layers)
        manager._rollouts["g"] = idle
        turns = []
        other = gevent.spawn(self._count_turns, turns)
        plan = manager._plan("g", LOADS * layers)
        other.kill()
        self.assertEqual(len(plan.layers), layers)
        self.assertGreaterEqual(len(turns), layers)

    def _count_turns(self, turns):
        while True:
            turns.append(None)
            gevent.sleep(0)

    def take(self, event):
        self.state, effects = reduce(self.state, event)
        return [effect.order for effect in effects if isinstance(effect, SendOrder)]

    def step(self, at_ms):
        return (at_ms - 90_000) // PASS_MS

    def wait(self, duration_ms, prepared=None):
        """Let time pass; return the orders after all ranks have reported."""
        self.now_ms += duration_ms
        orders = []
        for rank in GROUP.ranks:
            step = self.step(self.now_ms - REPORT_LAG_MS)
            report = RankReport(1, step, 0, prepared, None, None)
            orders += self.take(ReportReceived(self.now_ms, rank, report))
        return [*orders, *self.take(Tick(self.now_ms, True, 1 << 20))]

    def outcome(self, order, outcome, rank="r0"):
        fence = self.state.fence
        return self.take(OrderOutcome(self.now_ms, rank, 1, order, outcome, fence))

    def hold(self):
        (hold,) = self.wait(300, prepared=self.state.phase.version)
        self.assertIsInstance(hold, Hold)
        return hold

    def test_the_switch_is_a_few_passes_ahead_of_the_pass_that_runs(self):
        ahead = self.hold().step - self.step(self.now_ms)
        self.assertGreater(ahead, 0)
        self.assertLessEqual(ahead * PASS_MS, 500)

    def test_reports_whose_lags_differ_do_not_put_the_switch_far_ahead(self):
        """Ranks that are not prepared yet are read often, so two lags tell nothing."""
        for lag_ms in (260, 100, 300, 80):
            self.now_ms += 100
            for rank in GROUP.ranks:
                step = self.step(self.now_ms - lag_ms)
                report = RankReport(1, step, 0, None, None, None)
                self.take(ReportReceived(self.now_ms, rank, report))
        (hold,) = self.wait(100, prepared=self.state.phase.version)
        ahead = hold.step - self.step(self.now_ms)
        self.assertLessEqual(ahead * PASS_MS, 500)

    def test_while_orders_take_several_tries_the_switch_is_far_ahead(self):
        """Else the pass is held for as long as the ranks are armed in several tries."""
        order = Prepare(self.state.phase.version, LAYOUT)
        self.outcome(order, Outcome.UNKNOWN)
        self.now_ms += 500
        self.outcome(order, Outcome.DONE)
        ahead = self.hold().step - self.step(self.now_ms)
        self.assertGreaterEqual(ahead * PASS_MS, 700)

    def test_a_change_that_is_fenced_goes_on_with_a_higher_fence_once(self):
        """After all entries lost power only the ranks knew the last fence.

        Each first change was abandoned, and popularity shifted before the next one.
        """
        order = Prepare(self.state.phase.version, LAYOUT)
        refused = self.state.fence
        self.now_ms += 10
        orders = self.outcome(order, Outcome.FENCED)
        self.assertEqual([type(o) for o in orders], [Prepare, Prepare])
        self.assertGreater(self.state.fence, refused)
        late = OrderOutcome(self.now_ms, "r1", 1, order, Outcome.FENCED, refused)
        self.assertEqual(self.take(late), [])
        self.assertIsInstance(self.state.phase, Preparing)
        self.outcome(order, Outcome.FENCED)  # a rival has raised its own
        self.assertIsInstance(self.state.phase, Idle)
        self.assertGreater(self.state.phase.until_ms, self.now_ms)

    def test_an_entry_that_does_not_lead_abandons_a_fenced_change(self):
        """A process that was frozen in a change finds that another one leads."""
        self.take(Tick(self.now_ms, False, 1 << 20))
        self.outcome(Prepare(self.state.phase.version, LAYOUT), Outcome.FENCED)
        self.assertIsInstance(self.state.phase, Idle)

    def test_an_order_without_an_answer_is_soon_sent_again(self):
        """One of 72 ranks that leaves an order unanswered holds up the whole change."""
        orders = self.wait(200)
        self.assertEqual({type(order) for order in orders}, {Prepare})
        self.assertEqual(len(orders), len(GROUP.ranks))

    def test_while_passes_are_slow_the_switch_is_few_of_them_ahead(self):
        """Six passes ahead, as for fast ones, were four seconds with a slow rank."""
        slow_ms, begun_ms = 650, self.now_ms
        first = self.step(begun_ms - REPORT_LAG_MS)
        for _ in range(7):
            self.now_ms += 100
            for rank in GROUP.ranks:
                step = first + (self.now_ms - begun_ms) // slow_ms
                report = RankReport(1, step, 0, None, None, None)
                self.take(ReportReceived(self.now_ms, rank, report))
        version = self.state.phase.version
        for rank in GROUP.ranks:
            report = RankReport(1, first + 1, 0, version, None, None)
            self.take(ReportReceived(self.now_ms, rank, report))
        (hold,) = self.take(Tick(self.now_ms, True, 1 << 20))
        self.assertLessEqual(hold.step - first - 1, 2)
        (later,) = self.outcome(hold, Outcome.REFUSED)
        self.assertEqual(later.step, hold.step + 1)

    def test_ranks_are_read_sooner_while_events_are_late(self):
        self.state = self.state._replace(phase=Idle(0))
        for is_late, reads in ((False, 0), (True, 1)):
            with self.subTest(is_late=is_late):
                self.wait(1_000)
                self.now_ms += 400
                tick = Tick(self.now_ms, True, 1 << 20, is_late=is_late)
                _, effects = reduce(self.state, tick)
                found = [e for e in effects if isinstance(e, ReadReports)]
                self.assertEqual(len(found), reads)

    def test_a_hold_that_came_too_late_is_tried_for_a_later_pass(self):
        first = self.hold()
        (second,) = self.outcome(first, Outcome.REFUSED)
        self.assertGreater(second.step, first.step)
        armed = self.outcome(second, Outcome.DONE)
        self.assertEqual({(type(o), o.step) for o in armed}, {(Arm, second.step)})

    def test_a_foreign_held_pass_ends_the_change_before_it_holds_one(self):
        held = RankReport(1, 200, 0, None, None, 210)
        self.take(ReportReceived(self.now_ms, "r1", held))
        orders = self.take(Tick(self.now_ms, True, 1 << 20))
        self.assertFalse([order for order in orders if isinstance(order, Hold)])
        self.assertEqual(type(self.state.phase).__name__, "Idle")


if __name__ == "__main__":
    unittest.main()
