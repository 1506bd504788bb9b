"""Test what upstreams say in their answers: that they leave, or want a pause."""

import unittest

from nutmegslip_platform._headers import answer_fields

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Declined,
    GroupRank,
    ListingRead,
    RefusalKind,
    Refuse,
    RequestEnded,
    Send,
    StoreLost,
    Tick,
    UpstreamLeaving,
    UpstreamPaused,
    UpstreamPublished,
    UpstreamRemoved,
)
from nutmegslip_decisions.direct._pauses import MAX_PAUSE_MS
from nutmegslip_entry.direct import Pause
from nutmegslip_runtime.http1 import Framing, ResponseHead
from tests.direct_world import World, upstream

U1, U2 = upstream("u1"), upstream("u2")


class NoticeTestCase(unittest.TestCase):
    def setUp(self):
        self.world = World(U1, U2)

    def _pass(self, ms):
        self.world.now_ms += ms
        return self.world.take(Tick(self.world.now_ms))

    def _chosen(self, tries=6):
        """Return the upstreams that requests go to, each answered at once."""
        found = set()
        for _ in range(tries):
            (effect,) = self.world.arrive()
            ticket = self.world.tickets
            if isinstance(effect, Send):
                found.add(effect.upstream.id)
                self.world.take(RequestEnded(self.world.now_ms, ticket, answered=True))
            else:
                found.add(effect.kind)
        return found


class LeavingTests(NoticeTestCase):
    """Guard against sends to an upstream that has said that it leaves (DRAIN)."""

    def _leave(self, upstream_, **fields):
        self.world.take(UpstreamLeaving(self.world.now_ms, upstream_, **fields))

    def test_nothing_new_is_sent_to_it_whatever_the_store_says(self):
        self._leave(U1)
        self.assertEqual(self._chosen(), {"u2"})
        for event in (
            UpstreamPublished(self.world.now_ms, U1),
            ListingRead(self.world.now_ms, (U1, U2)),
            StoreLost(self.world.now_ms),
            UpstreamRemoved(self.world.now_ms, "u1"),
            UpstreamPublished(self.world.now_ms, U1),
        ):
            with self.subTest(type(event).__name__):
                self.world.take(event)
                self.assertEqual(self._chosen(), {"u2"})

    def test_the_belief_has_no_timer(self):
        self._leave(U1)
        self._pass(3_600_000)
        self.assertEqual(self._chosen(), {"u2"})

    def test_a_new_incarnation_starts_afresh(self):
        self._leave(U1)
        self._leave(U2)
        reborn = U1._replace(born_ms=9)
        self.world.take(UpstreamPublished(self.world.now_ms, reborn))
        self.assertEqual(self._chosen(), {"u1"})
        self._leave(U1)  # late, from the incarnation before
        self.assertEqual(self._chosen(), {"u1"})

    def test_waiting_repeated_and_resumed_requests_do_not_go_there(self):
        for _ in range(4):
            self.world.arrive()
        self.assertEqual(self.world.arrive(), ())
        self._leave(U1)
        sent = [
            effect.upstream.id
            for ticket in range(1, 5)
            for effect in self.world.take(
                AttemptFailed(self.world.now_ms, ticket, Broken())
            )
            if isinstance(effect, Send)
        ]
        self.assertEqual(set(sent), {"u2"})

    def test_an_answer_of_another_upstream_with_its_address(self):
        other = upstream("other", host="127.0.0.1", port=9_001)
        mine = upstream("mine", host="127.0.0.1", port=9_001)
        self.world.take(ListingRead(self.world.now_ms, (other, mine)))
        self._leave(mine, misdirected=True)
        self.assertEqual(self._chosen(), {"mine"})


class PauseTests(NoticeTestCase):
    """Guard against sends to an upstream in a pause that it asked for (BUDGET)."""

    def _pause(self, upstream_, asked_ms, text=""):
        event = UpstreamPaused(self.world.now_ms, upstream_, asked_ms, text)
        self.world.take(event)

    def test_others_are_chosen_until_the_pause_ends(self):
        self._pause(U1, 1_500)
        self._pass(1_499)
        self.assertEqual(self._chosen(), {"u2"})
        self._pass(1)
        self.assertEqual(self._chosen(), {"u1", "u2"})

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self._pause(U1, 5_000)
        self._pause(U1, 100)
        self._pass(4_999)
        self.assertEqual(self._chosen(), {"u2"})

    def test_a_pause_has_an_upper_bound(self):
        self._pause(U1, 10**12)
        self._pass(MAX_PAUSE_MS)
        self.assertEqual(self._chosen(), {"u1", "u2"})

    def test_zero_and_unreadable_values_pause_nothing(self):
        for asked_ms in (0, None):
            with self.subTest(asked_ms=asked_ms):
                self._pause(U1, asked_ms, "soon")
                self.assertEqual(self._chosen(), {"u1", "u2"})

    def test_a_new_incarnation_has_no_pause(self):
        self._pause(U1, 60_000)
        reborn = U1._replace(born_ms=9)
        self.world.take(UpstreamPublished(self.world.now_ms, reborn))
        self._pause(U1, 60_000)
        self.assertEqual(self._chosen(), {"u1", "u2"})

    def test_a_request_waits_for_a_short_pause(self):
        self._pause(U1, 60)
        self._pause(U2, 80)
        self.assertEqual(self.world.arrive(), ())
        self.assertEqual(self._pass(50), ())
        (effect,) = self._pass(20)
        self.assertEqual(effect.upstream.id, "u1")

    def test_a_hopeless_request_is_rejected_at_once_with_the_end_of_the_pause(self):
        self._pause(U1, 2_000)
        self._pause(U2, 3_000)
        (effect,) = self.world.arrive(wait_ms=9_000)
        self.assertIs(effect.kind, RefusalKind.OVERLOADED)
        self.assertFalse(effect.ran)
        self.assertGreaterEqual(effect.retry_after_ms, 2_000)
        self.assertLess(effect.retry_after_ms, 3_600)

    def test_the_delay_is_true_also_beyond_the_patience_of_the_caller(self):
        self._pause(U1, 2_000)
        self._pause(U2, 3_000)
        (effect,) = self.world.arrive(wait_ms=700)
        self.assertEqual(effect.retry_after_ms, 2_000)

    def test_a_waiting_request_that_becomes_hopeless_is_rejected_at_the_next_tick(self):
        for _ in range(4):
            self.world.arrive()
        self.assertEqual(self.world.arrive(), ())
        self._pause(U1, 2_000)
        self._pause(U2, 2_000)
        (effect,) = self._pass(10)
        self.assertIsInstance(effect, Refuse)
        self.assertGreaterEqual(effect.retry_after_ms, 1_990)

    def test_a_stream_that_no_upstream_can_resume_in_time_ends_at_once(self):
        world = self.world = World(upstream("m1", "model"))
        (sent,) = world.arrive("/verses/1", wait_ms=4_000)
        self._pause(sent.upstream, 4_000)
        failed = AttemptFailed(world.now_ms, 1, Broken(), streaming=True)
        (effect,) = world.take(failed)
        self.assertIsInstance(effect, Refuse)

    def test_a_rejected_request_goes_elsewhere(self):
        (sent,) = self.world.arrive()
        self._pause(sent.upstream, 1_000)
        (again,) = self.world.take(AttemptFailed(self.world.now_ms, 1, Declined()))
        self.assertNotEqual(again.upstream.id, sent.upstream.id)

    def test_the_other_ranks_of_a_group_go_on(self):
        ranks = [
            upstream(f"m{n}", "model", rank=GroupRank("g", 1, n, True, 2))
            for n in range(2)
        ]
        world = self.world = World(*ranks)
        self._pause(ranks[0], 1_000)
        self.assertEqual(world.arrive("/verses/1")[0].upstream.id, "m1")


class HeaderTests(unittest.TestCase):
    def _fields(self, status, *headers):
        return answer_fields(ResponseHead(status, b"", headers, Framing.NONE, True))

    def test_values_of_retry_after(self):
        cases = (
            (b"2", Pause(2_000, "2")),
            (b"0.25", Pause(250, "0.25")),
            (b" 1.0004 ", Pause(1_001, "1.0004")),
            (b"0", Pause(0, "0")),
            (b"-3", Pause(0, "-3")),
            (b"1e9", Pause(10**12, "1e9")),
            (b"inf", Pause(None, "inf")),
            (b"nan", Pause(None, "nan")),
            (b"", Pause(None, "")),
            (b"soon", Pause(None, "soon")),
            (
                b"Fri, 04 Dec 2026 05:00:00 GMT",
                Pause(None, "Fri, 04 Dec 2026 05:00:00 GMT"),
            ),
        )
        for value, pause in cases:
            with self.subTest(value):
                fields = self._fields(503, (b"Retry-After", value))
                self.assertEqual(fields.pause, pause)

    def test_only_a_503_asks_for_a_pause(self):
        for status in (200, 429, 500):
            with self.subTest(status):
                self.assertIsNone(self._fields(status, (b"retry-after", b"2")).pause)

    def test_every_answer_can_say_that_its_runner_leaves(self):
        for status in (200, 404, 421, 500, 503):
            with self.subTest(status):
                leaving = self._fields(status, (b"Server-Leaving", b"1"))
                staying = self._fields(status, (b"Server-Leaving", b"0"))
                self.assertTrue(leaving.leaving)
                self.assertFalse(staying.leaving)


if __name__ == "__main__":
    unittest.main()
