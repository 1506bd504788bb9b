"""Replay a rank of a lock-step group that turns slow, and with it the whole group.

Every pass lasts as long as its slowest rank. One of 72 that took 12 times as long made
the streams of all ranks late and closed the group's slots for as long as it was slow.
"""

import unittest
from types import SimpleNamespace

import cbor2
import gevent
import gevent.event
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    GroupRank,
    Moved,
    Options,
    PaceMeasured,
    PeerReported,
    RankRead,
    Refuse,
    ResponseStarted,
    Send,
    StorePosition,
    Tick,
    is_over_bound,
    open_share,
    should_move,
    slowness_report,
)
from nutmegslip_decisions.direct._slow_ranks import LIFETIME_MS
from nutmegslip_decisions.experts import rollout
from nutmegslip_decisions.experts.rollout import RankReport, ReadReports
from nutmegslip_entry.direct._expert_maps import ExpertMapManager
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from tests.direct_world import World, upstream

RANKS = 72
SLOTS = 5
GROUP = "g"


class GroupWorld(World):
    """An entry before one group of 72 ranks with five slots each."""

    def __init__(self):
        ranks = [
            upstream(
                f"m{n}",
                "model",
                slots=SLOTS,
                rank=GroupRank(GROUP, 1, n, True, RANKS),
            )
            for n in range(RANKS)
        ]
        options = Options("e", cold_slack=1_000.0, budget_slack=100.0)
        super().__init__(*ranks, options=options)

    def read(self, name, slowness):
        self.take(RankRead(self.now_ms, name, slowness))

    def send(self, count=1):
        """Submit streams and return the attempts of those that are sent at once."""
        return [
            effect
            for _ in range(count)
            for effect in self.arrive("/verses/1")
            if isinstance(effect, Send)
        ]

    def send_to(self, name):
        """Submit streams until one is sent to the rank, and let it begin."""
        while True:
            (sent,) = self.send()
            if sent.upstream.id == name:
                ticket = sent.request.ticket
                self.take(ResponseStarted(self.now_ms, ticket))
                return ticket

    def close_slots(self):
        """Measure gaps at which a group gets a few probes only."""
        for _ in range(4):
            self.now_ms += 250
            self.take(PaceMeasured(self.now_ms, "model", GROUP, 650.0))
        self.assert_closed()

    def assert_closed(self):
        if open_share(self.state, "model", GROUP, self.now_ms) > 0.1:
            raise AssertionError("the slots of the group are open")

    def should_move(self, ticket):
        return should_move(self.state, ticket, self.now_ms)


class AvoidanceTests(unittest.TestCase):
    def test_a_slow_rank_gets_no_new_streams(self):
        for slowness in (1.6, 12.0):
            with self.subTest(slowness=slowness):
                world = GroupWorld()
                world.read("m7", slowness)
                used = {sent.upstream.id for sent in world.send(RANKS * SLOTS)}
                self.assertEqual(len(used), RANKS - 1)
                self.assertNotIn("m7", used)

    def test_a_rank_that_is_hardly_slower_is_used(self):
        world = GroupWorld()
        world.read("m7", 1.1)
        self.assertEqual(len(world.send(RANKS * SLOTS)), RANKS * SLOTS)

    def test_a_rank_that_recovers_is_used_again(self):
        world = GroupWorld()
        world.read("m7", 12.0)
        world.read("m7", 1.0)
        self.assertEqual(len(world.send(RANKS * SLOTS)), RANKS * SLOTS)

    def test_a_report_that_is_not_repeated_lapses(self):
        world = GroupWorld()
        world.read("m7", 12.0)
        world.now_ms += LIFETIME_MS
        world.take(Tick(world.now_ms))
        self.assertEqual(len(world.send(RANKS * SLOTS)), RANKS * SLOTS)

    def test_a_group_of_which_many_ranks_are_slow_spares_none(self):
        world = GroupWorld()
        for n in range(RANKS // 2):
            world.read(f"m{n}", 12.0)
        self.assertEqual(len(world.send(RANKS * SLOTS)), RANKS * SLOTS)


class ReportTests(unittest.TestCase):
    """One entry reads the ranks; the others follow what it reports."""

    def peer_reports(self, world, slow_ranks, peer="10.0.0.1"):
        report = PeerReported(world.now_ms, peer, Map(), slow_ranks=Map(slow_ranks))
        world.take(report)

    def test_entries_follow_the_report_of_another_one(self):
        world = GroupWorld()
        self.peer_reports(world, {"m7": 12.0})
        self.assertIn("m7", world.state.slow_ranks)
        self.peer_reports(world, {})
        self.assertNotIn("m7", world.state.slow_ranks)

    def test_another_entry_does_not_end_what_one_reports(self):
        world = GroupWorld()
        self.peer_reports(world, {"m7": 12.0})
        self.peer_reports(world, {}, peer="10.0.0.2")
        self.assertIn("m7", world.state.slow_ranks)

    def test_own_reads_go_before_reports_and_are_passed_on_alone(self):
        world = GroupWorld()
        world.read("m7", 12.0)
        self.peer_reports(world, {"m7": 3.0, "m8": 2.0})
        self.assertEqual(slowness_report(world.state), Map({"m7": 12.0}))

    def test_what_an_entry_said_before_it_died_lapses(self):
        world = GroupWorld()
        self.peer_reports(world, {"m7": 12.0})
        world.now_ms += LIFETIME_MS
        world.take(Tick(world.now_ms))
        self.assertNotIn("m7", world.state.slow_ranks)

    def test_reports_carry_slow_ranks_and_are_read_by_earlier_builds(self):
        slow = Map({"m7": 12.0})
        data = encode_report(Report(Map(), (), slow_ranks=slow), 0)
        self.assertEqual(decode_report(data, 0).slow_ranks, slow)
        shorter = cbor2.dumps(cbor2.loads(data)[:8])
        self.assertEqual(decode_report(shorter, 0).slow_ranks, Map())

    def test_a_slowness_that_is_no_number_makes_a_datagram_no_report(self):
        fields = cbor2.loads(encode_report(Report(Map(), (), slow_ranks=Map(m=2.0)), 0))
        for value in (float("nan"), float("inf"), "fast", None):
            with self.subTest(value=value), self.assertRaises(ReportError):
                decode_report(cbor2.dumps([*fields[:-1], {"m": value}]), 0)


class MoveTests(unittest.TestCase):
    """Streams in flight on the slow rank hold up the passes of all others."""

    def test_a_stream_goes_on_at_another_rank_also_while_slots_are_closed(self):
        world = GroupWorld()
        ticket = world.send_to("m7")
        world.read("m7", 12.0)
        world.close_slots()
        world.read("m7", 12.0)
        self.assertTrue(world.should_move(ticket))
        moved = AttemptFailed(world.now_ms, ticket, Moved(), streaming=True)
        (sent,) = (e for e in world.take(moved) if isinstance(e, Send))
        self.assertEqual(sent.request.ticket, ticket)
        self.assertNotEqual(sent.upstream.id, "m7")
        self.assertFalse(world.should_move(ticket))

    def test_streams_stay_where_moving_costs_more_or_may_not_be(self):
        cases = {"a little slower": 1.6, "as fast as usual": 1.0}
        for name, slowness in cases.items():
            with self.subTest(name):
                world = GroupWorld()
                ticket = world.send_to("m7")
                world.read("m7", slowness)
                self.assertFalse(world.should_move(ticket))
        with self.subTest("no attempt left"):
            world = GroupWorld()
            ticket = world.send_to("m7")
            world.read("m7", 12.0)
            request = world.state.requests[ticket]._replace(sends=2)
            requests = world.state.requests.set(ticket, request)
            world.state = world.state._replace(requests=requests)
            self.assertFalse(world.should_move(ticket))

    def test_a_spent_retry_budget_leaves_a_stream_where_it_is(self):
        """Guard against a stream that is taken from its rank and then broken off."""
        world = GroupWorld()
        ticket = world.send_to("m7")
        world.read("m7", 12.0)
        self.assertTrue(world.should_move(ticket))
        spent = world.state.options._replace(budget_slack=0.0, budget_ratio=0.0)
        world.state = world.state._replace(options=spent)
        self.assertFalse(world.should_move(ticket))

    def test_a_stream_is_refused_nothing_where_no_rank_can_take_it(self):
        world = GroupWorld()
        ticket = world.send_to("m7")
        world.send(RANKS * SLOTS)
        world.read("m7", 12.0)
        self.assertFalse(world.should_move(ticket))
        moved = AttemptFailed(world.now_ms, ticket, Moved(), streaming=True)
        refused = [e for e in world.take(moved) if isinstance(e, Refuse)]
        self.assertFalse(refused)  # it waits for a slot


class EndedSlownessTests(unittest.TestCase):
    """Half of the slots stayed closed for three seconds after the rank was fast."""

    def test_slots_open_soon_after_slow_passes_end(self):
        world = GroupWorld()
        world.send(RANKS * 4)
        for gap_ms in (650.0,) * 8 + (60.0,) * 3:
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", GROUP, gap_ms))
        share = open_share(world.state, "model", GROUP, world.now_ms)
        self.assertEqual(share, 1.0)

    def test_two_held_passes_do_not_count_as_slowness_that_ended(self):
        world = GroupWorld()
        world.send(RANKS * 4)
        for gap_ms in (100.0, 650.0, 100.0, 650.0, 60.0, 60.0, 60.0):
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", GROUP, gap_ms))
        pace = world.state.loads["model"].paces[GROUP]
        self.assertEqual(len(pace.samples), 7)

    def test_ranks_are_read_at_once_after_one_late_pass(self):
        world = GroupWorld()
        for gap_ms, late in ((60.0, False), (650.0, True), (60.0, False)):
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", GROUP, gap_ms))
            over = is_over_bound(world.state, "model", GROUP, world.now_ms)
            self.assertEqual(over, late)


class ReadTests(unittest.TestCase):
    """A leader of 250 groups began reads faster than it ended them, until it died."""

    def test_a_rank_is_not_read_again_while_a_read_is_pending(self):
        calls, answered = [], gevent.event.Event()

        def report(rank):
            calls.append(rank.id)
            answered.wait()

        machine = SimpleNamespace(clock=lambda: 0, state=GroupWorld().state)
        manager = ExpertMapManager(
            machine,
            SimpleNamespace(report=report),
            lambda: False,
            1,
            StorePosition,
            SimpleNamespace(),
        )
        manager._members[GROUP] = {"m1": machine.state.upstreams["m1"]}
        for _ in range(3):
            manager._perform(GROUP, ReadReports(("m1",)))
            gevent.sleep(0)
        self.assertEqual(calls, ["m1"])
        answered.set()
        gevent.sleep(0)
        manager._perform(GROUP, ReadReports(("m1",)))
        gevent.sleep(0)
        self.assertEqual(calls, ["m1", "m1"])


class ReplanTests(unittest.TestCase):
    """Known loads are planned for at once; the next counts come seconds later."""

    LAYOUT = (((0, 1), (2, 3)),)
    LOADS = ((5.0, 5.0, 5.0, 5.0),)

    def setUp(self):
        machine = SimpleNamespace(clock=lambda: 0)
        self.manager = ExpertMapManager(
            machine, None, lambda: False, 1, StorePosition, SimpleNamespace()
        )
        self.manager._dispatch = lambda *_: None
        self.set_state(epoch=1)
        self.manager._loads[GROUP] = self.LOADS
        self.manager._plan_change(GROUP, self.LOADS)

    def set_state(self, epoch, slowness=1.0):
        report = RankReport(epoch, 5, 0, None, None, None, slowness)
        reports = Map({"r0": (0, report), "r1": (0, report._replace(slowness=1.0))})
        self.manager._rollouts[GROUP] = rollout.State(
            rollout.Options(1, 3, 2),
            rollout.Group(GROUP, epoch, ("r0", "r1")),
            self.LAYOUT,
            reports=reports,
            is_leader=True,
        )

    def is_due(self):
        return self.manager._is_replan_due(GROUP, 0)

    def test_nothing_is_planned_anew_while_nothing_changes(self):
        self.assertFalse(self.is_due())

    def test_a_plan_follows_a_rank_that_turns_slow_and_recovers(self):
        self.set_state(epoch=1, slowness=12.0)
        self.assertTrue(self.is_due())
        self.manager._plan_change(GROUP, self.LOADS)
        self.assertFalse(self.is_due())
        self.set_state(epoch=1)
        self.assertTrue(self.is_due())

    def test_a_group_that_has_formed_anew_gets_its_map_back(self):
        self.set_state(epoch=2)
        self.assertTrue(self.is_due())


if __name__ == "__main__":
    unittest.main()
