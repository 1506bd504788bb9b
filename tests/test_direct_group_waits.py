"""Replay a rank that dies in the only group of a service.

The list lags by seconds: requests met 25 dead addresses in turn, or stalled for 1.5 s
at a sound rank, and callers were refused twice before the group was back.
"""

import unittest

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Declined,
    GroupRank,
    NotSent,
    Options,
    RefusalKind,
    Refuse,
    RequestEnded,
    ResponseStarted,
    Send,
    Tick,
    UpstreamPublished,
)
from nutmegslip_entry.direct._expert_maps import _complete_group
from tests.direct_world import World, upstream

RANKS = 12
SLOTS = 5
WAIT_MS = 1_600  # four times the objective


def ranks(epoch=1, is_open=True, first="m"):
    return [
        upstream(
            f"{first}{n}",
            "model",
            slots=SLOTS,
            rank=GroupRank("g", epoch, n, is_open, RANKS),
        )
        for n in range(RANKS)
    ]


class GroupWorld(World):
    def __init__(self):
        options = Options("e", cold_slack=1_000.0, budget_slack=100.0)
        super().__init__(*ranks(), options=options)

    def sends(self, count=1):
        effects = [e for _ in range(count) for e in self.arrive("/verses/1")]
        return [effect for effect in effects if isinstance(effect, Send)]

    def fail(self, sent, failure, **fields):
        event = AttemptFailed(self.now_ms, sent.request.ticket, failure, **fields)
        return self.take(event)

    def form(self, epoch=2):
        """Publish the group as open in a later epoch; return what is sent."""
        effects = []
        for rank in ranks(epoch):
            effects += self.take(UpstreamPublished(self.now_ms, rank))
        return [effect for effect in effects if isinstance(effect, Send)]

    def pass_time(self, duration_ms):
        effects = []
        for _ in range(duration_ms // 100):
            self.now_ms += 100
            effects += self.take(Tick(self.now_ms))
        return effects


class EvidenceTests(unittest.TestCase):
    """What one rank shows is true of all ranks of its group."""

    def test_a_rank_that_is_gone_closes_its_group_at_once(self):
        for failure in (NotSent("no", refused=True), Declined(misdirected=True)):
            with self.subTest(failure=failure):
                world = GroupWorld()
                (sent,) = world.sends()
                self.assertEqual(world.fail(sent, failure), ())
                self.assertEqual(world.sends(10), [])

    def test_a_connection_that_timed_out_closes_nothing(self):
        world = GroupWorld()
        (sent,) = world.sends()
        (again,) = world.fail(sent, NotSent("timed out"))
        self.assertNotEqual(again.upstream.id, sent.upstream.id)

    def test_a_rank_that_publishes_a_broken_group_closes_the_others(self):
        world = GroupWorld()
        world.take(UpstreamPublished(world.now_ms, ranks(is_open=False)[3]))
        self.assertEqual(world.sends(10), [])

    def test_dead_ranks_of_an_earlier_epoch_do_not_close_the_group(self):
        """They are listed for seconds after the group has formed without them."""
        world = GroupWorld()
        stale = world.sends()[0]
        world.take(UpstreamPublished(world.now_ms, ranks(is_open=False)[3]))
        for rank in ranks(2, first="n"):
            world.take(UpstreamPublished(world.now_ms, rank))
        world.fail(stale, NotSent("no", refused=True))
        self.assertEqual(len(world.sends(10)), 10)

    def test_a_group_is_complete_without_the_dead_ranks_of_its_last_epoch(self):
        """Its map came two seconds later, when the last of them was removed."""
        listed = [*ranks()[:4], *ranks(2, first="n")]
        group = _complete_group("g", listed)
        self.assertEqual((group.epoch, len(group.ranks)), (2, RANKS))
        self.assertIsNone(_complete_group("g", listed[:-1]))


class WaitTests(unittest.TestCase):
    def setUp(self):
        self.world = GroupWorld()
        (sent,) = self.world.sends()
        self.world.fail(sent, NotSent("no", refused=True))

    def test_waiting_requests_are_sent_once_the_group_is_open(self):
        self.world.sends(3)
        self.world.now_ms += 1_000
        # Late ones take a part of the slots only; all of these fit.
        self.assertEqual(len(self.world.form()), 4)

    def test_waiting_ends_before_callers_leave(self):
        self.world.sends(3)
        refused = [e for e in self.world.pass_time(WAIT_MS) if isinstance(e, Refuse)]
        kinds = {effect.kind for effect in refused}
        self.assertEqual(kinds, {RefusalKind.NO_UPSTREAM})
        self.assertFalse([effect for effect in refused if effect.ran])

    def test_late_requests_leave_half_of_the_slots_to_those_on_time(self):
        for _ in range(RANKS * SLOTS):
            self.world.arrive("/verses/1")
        self.world.now_ms += 1_000
        sent = self.world.form()
        self.assertLessEqual(len(sent), RANKS * SLOTS // 2)
        self.assertGreaterEqual(len(sent), RANKS * SLOTS // 2 - 1)
        self.assertEqual(len(self.world.sends(5)), 5)

    def test_a_resumed_stream_waits_as_well(self):
        world = GroupWorld()
        (sent,) = world.sends()
        world.take(ResponseStarted(world.now_ms, sent.request.ticket))
        world.now_ms += 1_500
        world.take(UpstreamPublished(world.now_ms, ranks(is_open=False)[3]))
        self.assertEqual(world.fail(sent, Broken("cut"), streaming=True), ())
        (resumed,) = world.form()
        self.assertEqual(resumed.request.ticket, sent.request.ticket)

    def test_a_request_that_stalled_for_its_whole_patience_is_refused(self):
        world = GroupWorld()
        (sent,) = world.sends()
        world.now_ms += WAIT_MS
        (refusal,) = world.fail(sent, Declined(at_fault="m3"))
        self.assertIsInstance(refusal, Refuse)

    def test_a_caller_that_leaves_while_it_waits_leaves_nothing(self):
        self.world.sends(3)
        for ticket in tuple(self.world.state.requests):
            self.world.take(RequestEnded(self.world.now_ms, ticket, answered=False))
        self.assertEqual(self.world.form(), [])
        self.assertFalse(self.world.state.waiting["model"])

    def test_a_service_without_ranks_refuses_at_once(self):
        for rank in ranks():
            gone = rank._replace(leaving=True)
            self.world.take(UpstreamPublished(self.world.now_ms, gone))
        self.assertIsInstance(self.world.arrive("/verses/1")[0], Refuse)


if __name__ == "__main__":
    unittest.main()
