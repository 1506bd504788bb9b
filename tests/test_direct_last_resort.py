"""Replay the loss of a service's last zone, and the failures that hide its age."""

import time
import unittest
from types import SimpleNamespace

import gevent
from nutmegslip_platform._feed import StoreFeed

from fakes.runners import Runner
from fakes.store import StoreServer
from nutmegslip_decisions.direct import (
    AttemptFailed,
    Declined,
    ListingRead,
    NotSent,
    Options,
    OptionsChanged,
    RequestEnded,
    Send,
    StoreLost,
    StoreRestored,
    Tick,
    UpstreamPaused,
    UpstreamPublished,
    UpstreamRemoved,
    ZonesOut,
    depends_on_one_zone,
)
from nutmegslip_decisions.direct._options import LATE_ARRIVAL_MS
from nutmegslip_decisions.direct._restored import REWRITE_MS
from nutmegslip_entry.direct import read_settings
from nutmegslip_entry.direct._exchange import _Exchange
from tests.direct_world import World, upstream

EVACUATION_MS = 5_000
REQUEST_INTERVAL_MS = 80  # 12 requests a second
OPTIONS = Options("entry-1", budget_slack=100.0, evacuation_ms=EVACUATION_MS)
UPSTREAMS = (
    upstream("u1", zone="a"),
    upstream("u2", zone="b"),
    upstream("u3", zone="c"),
    upstream("m1", "model", zone="a"),
    upstream("m2", "model", zone="b"),
)


class LastResortTests(unittest.TestCase):
    """The last upstreams are in a zone that is taken out."""

    def setUp(self):
        self._start(OPTIONS)

    def _start(self, options):
        self.world = World(*UPSTREAMS, options=options)
        self.start_ms = self.world.now_ms

    def _lose_others(self):
        """One upstream is removed, and the other one leaves."""
        self.world.take(UpstreamRemoved(self.world.now_ms, "u3"))
        leaving = upstream("u1", zone="a", leaving=True)
        self.world.take(UpstreamPublished(self.world.now_ms, leaving))

    def _read_zones(self, *zones, unmarked_ms):
        event = ZonesOut(self.world.now_ms, frozenset(zones), unmarked_ms)
        self.world.take(event)

    def _send(self):
        """Return the upstream that serves a request, None if it is refused."""
        effect = self.world.arrive()[0]
        if not isinstance(effect, Send):
            return None
        ticket = effect.request.ticket
        self.world.take(RequestEnded(self.world.now_ms, ticket, True))
        return effect.upstream.id

    def _replay(self, length_ms):
        """Return the upstreams of steady requests, by time since the start."""
        served = {}
        for _ in range(0, length_ms, REQUEST_INTERVAL_MS):
            self.world.take(Tick(self.world.now_ms))
            served[self.world.now_ms - self.start_ms] = self._send()
            self.world.now_ms += REQUEST_INTERVAL_MS
        return served

    def _assert_unused(self):
        self.assertEqual(set(self._replay(EVACUATION_MS).values()), {None})

    def test_it_serves_until_shortly_before_the_bound(self):
        self._lose_others()
        self._read_zones("b", unmarked_ms=self.start_ms)
        served = self._replay(EVACUATION_MS + 2_000)
        last_ms = EVACUATION_MS - LATE_ARRIVAL_MS
        self.assertEqual({served[at] for at in served if at < last_ms}, {"u2"})
        self.assertEqual({served[at] for at in served if at >= last_ms}, {None})

    def test_it_gets_nothing_while_another_upstream_serves(self):
        self._read_zones("b", unmarked_ms=self.start_ms)
        self.assertNotIn("u2", set(self._replay(EVACUATION_MS).values()))

    def test_it_serves_while_the_others_fail_are_full_or_pause(self):
        self.world.take(UpstreamRemoved(self.start_ms, "u3"))
        self._read_zones("b", unmarked_ms=self.start_ms)
        for failure in (NotSent(), Declined()):
            with self.subTest(failure=failure):
                sent = self.world.arrive("/drafts/1")[0]
                self.assertEqual(sent.upstream.id, "u1")
                failed = AttemptFailed(self.start_ms, sent.request.ticket, failure)
                self.assertEqual(self.world.take(failed)[0].upstream.id, "u2")
                ended = RequestEnded(self.start_ms, sent.request.ticket, True)
                self.world.take(ended)
                self.world.now_ms += 600
                self.assertEqual(self._send(), "u1")
        pause = UpstreamPaused(self.world.now_ms, upstream("u1", zone="a"), 300)
        self.world.take(pause)
        self.assertEqual(self._send(), "u2")

    def test_the_bound_counts_from_the_read_before(self):
        self._lose_others()
        self.world.now_ms += 3_000
        self._read_zones("b", unmarked_ms=self.start_ms)
        served = self._replay(3_000)
        last_ms = EVACUATION_MS - LATE_ARRIVAL_MS
        self.assertEqual({at for at in served if served[at] and at >= last_ms}, set())
        self.assertEqual(served[3_000], "u2")

    def test_an_order_read_late_leaves_no_time(self):
        self._lose_others()
        self.world.take(StoreLost(self.world.now_ms))
        self.world.now_ms += EVACUATION_MS
        self._read_zones("b", unmarked_ms=self.start_ms)
        self._assert_unused()

    def test_a_restarted_entry_knows_no_age(self):
        self._lose_others()
        self._read_zones("b", unmarked_ms=None)
        self._assert_unused()
        self._read_zones("b", unmarked_ms=self.world.now_ms)  # the order is no newer
        self._assert_unused()

    def test_without_the_setting_it_gets_nothing(self):
        self._start(OPTIONS._replace(evacuation_ms=None))
        self._lose_others()
        self._read_zones("b", unmarked_ms=self.start_ms)
        self._assert_unused()

    def test_the_setting_is_read(self):
        settings = read_settings("examples/direct-entry.toml").ok
        self.assertEqual(settings.options.evacuation_ms, EVACUATION_MS)

    def test_the_setting_may_change(self):
        self._start(OPTIONS._replace(evacuation_ms=None))
        self.world.take(OptionsChanged(self.start_ms, OPTIONS))
        self._lose_others()
        self._read_zones("b", unmarked_ms=self.start_ms)
        self.assertEqual(self._send(), "u2")

    def test_the_store_is_away_at_the_bound(self):
        self._lose_others()
        self._read_zones("b", unmarked_ms=self.start_ms)
        self.world.take(StoreLost(self.world.now_ms))
        self.world.now_ms += EVACUATION_MS - LATE_ARRIVAL_MS
        self.assertIsNone(self._send())

    def test_an_order_of_a_restored_store_has_no_age(self):
        self.world.take(StoreRestored(self.start_ms, 2))
        self.world.take(ListingRead(self.start_ms, UPSTREAMS))
        self._lose_others()
        self.world.now_ms += REWRITE_MS - 1
        self._read_zones("b", unmarked_ms=self.world.now_ms)
        self._assert_unused()

    def test_a_second_order_has_a_bound_of_its_own(self):
        self._read_zones("b", unmarked_ms=self.start_ms)
        self.world.now_ms += 60_000
        self._lose_others()
        self._read_zones(unmarked_ms=self.world.now_ms)
        self._read_zones("b", unmarked_ms=self.world.now_ms)
        self.assertEqual(self._send(), "u2")
        self.world.now_ms += EVACUATION_MS - LATE_ARRIVAL_MS
        self.assertIsNone(self._send())

    def test_a_zone_stays_out_while_the_list_of_a_second_copy_is_awaited(self):
        self._read_zones("b", unmarked_ms=None)
        world, listed = self.world, tuple(UPSTREAMS)
        world.take(StoreRestored(world.now_ms, 2))
        world.take(ListingRead(world.now_ms, listed))
        world.take(ZonesOut(world.now_ms, frozenset(), None))
        world.now_ms += REWRITE_MS - 100
        world.take(StoreRestored(world.now_ms, 3))
        world.now_ms += 200
        world.take(Tick(world.now_ms))
        world.take(ZonesOut(world.now_ms, frozenset(), None))
        self.assertEqual(world.state.zones_out, {"b"})

    def test_the_store_is_read_no_more_often_for_a_service_in_one_zone_always(self):
        world = World(UPSTREAMS[0], UPSTREAMS[4], options=OPTIONS)
        self.assertFalse(depends_on_one_zone(world.state))

    def test_the_store_is_read_often_while_one_zone_holds_a_service(self):
        self.assertFalse(depends_on_one_zone(self.world.state))
        self._lose_others()
        self.assertTrue(depends_on_one_zone(self.world.state))
        self._read_zones("b", unmarked_ms=self.start_ms)
        self.assertFalse(depends_on_one_zone(self.world.state))


class SuspendedSendTests(unittest.TestCase):
    """The process is suspended between the choice and the sending."""

    def test_nothing_is_sent_after_the_bound(self):
        sent = []
        connection = SimpleNamespace(send=lambda *arguments: sent.append(arguments))
        machine = SimpleNamespace(clock=lambda: 2_000)
        codec = SimpleNamespace(upstream_headers=lambda *_: [])
        http_request = SimpleNamespace(method=b"GET", target=b"/", body=b"")
        exchange = _Exchange(machine, codec, None, None, http_request)
        for send_by_ms, expected in ((None, True), (2_001, True), (2_000, False)):
            with self.subTest(send_by_ms=send_by_ms):
                request = SimpleNamespace(deadline_ms=9_000, send_by_ms=send_by_ms)
                is_sent = exchange._send_request(connection, request, None)
                self.assertEqual((is_sent, len(sent)), (expected, int(expected)))
                sent.clear()


class ReadAgeTests(unittest.TestCase):
    """What is known of the age of an order that is read."""

    def setUp(self):
        self.store = StoreServer()
        self.addCleanup(self.store.close)
        address = SimpleNamespace(address="127.0.0.1:9000")
        self.store.history.put("servers/u1", Runner.registration(address, "board"))
        self.events = []

    def _start(self):
        log = SimpleNamespace(emit=lambda *_arguments, **_fields: None)
        feed = StoreFeed(self.store.address, self.events.append, log, lambda: True)
        greenlet = gevent.spawn(feed.run)
        self.addCleanup(greenlet.kill)

    def _read(self, count):
        """Return the events that put zones out, once there are so many."""
        with gevent.Timeout(8):
            while len(found := [e for e in self.events if type(e) is ZonesOut]) < count:
                gevent.sleep(0.02)
        return found

    def _now_ms(self):
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def test_an_order_is_younger_than_the_call_before(self):
        self._start()
        self._read(2)
        for zone in ("b", "c"):
            gevent.sleep(0.7)
            ordered_ms = self._now_ms()
            count = len(self._read(0))
            self.store.history.put(f"op/evacuate/{zone}", {})
            read = self._read(count + 1)[-1]
            self.assertIn(zone, read.zones)
            self.assertLessEqual(read.unmarked_ms, ordered_ms)
            self.assertGreater(read.unmarked_ms, ordered_ms - 700)

    def test_an_order_that_overtakes_an_answer_is_no_younger_for_it(self):
        history, ordered_ms = self.store.history, []
        watch = history.watch

        def delay_the_first(*arguments):
            changes = watch(*arguments)
            if not ordered_ms and not changes["events"]:
                ordered_ms.append(self._now_ms())
                history.put("op/evacuate/b", {})
                gevent.sleep(0.3)
            return changes

        history.watch = delay_the_first
        self._start()
        read = self._read(3)[-1]
        self.assertEqual(read.zones, {"b"})
        self.assertLessEqual(read.unmarked_ms, ordered_ms[0])

    def test_the_first_list_tells_no_age_and_comes_after_its_zones(self):
        self.store.history.put("op/evacuate/b", {})
        self._start()
        read = self._read(2)
        self.assertEqual([event.unmarked_ms for event in read], [None, None])
        kinds = [type(event) for event in self.events[:3]]
        self.assertEqual(kinds, [ZonesOut, ListingRead, ZonesOut])

    def test_a_list_of_a_restored_store_tells_no_age(self):
        copy = self.store.history.copy()
        self._start()
        self._read(2)
        self.store.restore(copy)
        self.store.history.put("op/evacuate/b", {})
        read = next(event for event in self._read(3) if event.zones)
        self.assertIsNone(read.unmarked_ms)


if __name__ == "__main__":
    unittest.main()
