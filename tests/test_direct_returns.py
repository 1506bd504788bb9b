"""Replay callers that are refused and come back, once, to any entry."""

import unittest
from collections import Counter

from immutables import Map

from nutmegslip_decisions.direct import (
    CallerRequest,
    Options,
    PeerReported,
    Refuse,
    RequestArrived,
    RequestEnded,
    Send,
    Tick,
    promise_report,
)
from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._returns import GRACE_MS, SPAN_MS
from nutmegslip_entry.direct._reports import Report, decode_report, encode_report
from tests.direct_world import HOST, KEY, World, upstream

HOLD_MS = 300


class ReturnTests(unittest.TestCase):
    def setUp(self):
        self.tickets = 0
        self.world = self._world("10.0.0.1")
        self.sent = [self._arrive() for _ in range(4)]
        self._fill_queue()

    def _world(self, address):
        upstreams = [upstream(f"m{n}", "model") for n in range(2)]
        world = World(*upstreams, options=Options(address, address, "a"))
        load = load_of(world.state, "model")._replace(hold_ms=HOLD_MS, start_ms=50)
        loads = world.state.loads.set("model", load)
        world.state = world.state._replace(loads=loads)
        return world

    def _fill_queue(self):
        while not any(isinstance(effect, Refuse) for effect in self._arrive("full")):
            pass

    def _arrive(self, fingerprint="", world=None):
        """Submit a request with 6 s left, with a new id each time."""
        self.tickets += 1
        world = world or self.world
        request = CallerRequest(
            self.tickets,
            f"r{self.tickets}",
            HOST,
            "/verses/1",
            KEY,
            world.now_ms + 6_000,
            fingerprint=fingerprint,
        )
        return world.take(RequestArrived(world.now_ms, request))

    def _refused(self, fingerprint):
        (refusal,) = self._arrive(fingerprint)
        self.assertIsInstance(refusal, Refuse)
        return refusal.retry_after_ms

    def _pass_time(self, delay_ms):
        self.world.now_ms += delay_ms
        self.world.take(Tick(self.world.now_ms))

    def _next_sent(self):
        """End the first request in flight and return the one sent in its place."""
        ticket = next(
            ticket
            for ticket, request in sorted(self.world.state.requests.items())
            if request.upstream
        )
        effects = self.world.take(RequestEnded(self.world.now_ms, ticket, True))
        return next(effect.request for effect in effects if isinstance(effect, Send))

    def test_a_caller_that_came_back_goes_ahead_once_it_has_waited(self):
        self._pass_time(self._refused("again"))
        self._arrive("again")
        returned = self.tickets
        self._arrive("new")
        self.assertNotEqual(self._next_sent().ticket, returned)
        self._pass_time(1_100)
        self._arrive("new")
        self.assertEqual(self._next_sent().ticket, returned)

    def test_it_may_wait_past_its_first_objective(self):
        self._pass_time(self._refused("again"))
        self._arrive("again")
        self._pass_time(1_000)
        self.assertIn(self.tickets, self.world.state.requests)
        self._pass_time(2_000)
        self.assertNotIn(self.tickets, self.world.state.requests)

    def test_callers_that_repeat_early_or_twice_gain_nothing(self):
        delay_ms = self._refused("again")
        self._arrive("again")
        self._pass_time(delay_ms)
        self._arrive("again")
        self._arrive("again")
        returned = [r.returned for _, r in sorted(self.world.state.requests.items())]
        self.assertEqual(returned.count(True), 1)

    def test_times_are_spread_over_the_spans_and_bounded(self):
        delays = [self._refused(f"f{number}") for number in range(40)]
        promised = promise_report(self.world.state)
        spans = Counter(p.return_ms // SPAN_MS for p in promised.values())
        room = 4 * SPAN_MS / HOLD_MS / 4
        self.assertLessEqual(max(spans.values()), room + 1)
        self.assertGreaterEqual(len(spans), 3)
        self.assertLess(len(promised), len(delays))
        self.assertTrue(all(0 < delay <= 2_000 for delay in delays))

    def test_another_entry_recognises_the_caller(self):
        delay_ms = self._refused("again")
        now_ms = self.world.now_ms
        report = Report(
            Map(),
            (),
            demand=Map({("model", "entries", ""): 1}),
            promises=promise_report(self.world.state),
        )
        found = decode_report(encode_report(report, now_ms), now_ms).promises
        other = self._world("10.0.0.2")
        other.now_ms = now_ms
        event = PeerReported(now_ms, "10.0.0.1", Map(), promises=found)
        other.take(event)
        other.now_ms += delay_ms
        self._arrive("again", other)
        self.assertTrue(other.state.requests[self.tickets].returned)
        self.assertEqual(promise_report(other.state), Map())

    def test_promises_expire(self):
        self._refused("again")
        for _ in range(2):  # what still waits is refused first
            self._pass_time(2_000 + GRACE_MS)  # callers wait no longer
        self.assertEqual(self.world.state.promises, Map())


if __name__ == "__main__":
    unittest.main()
