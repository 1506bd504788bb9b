"""Test what an entry does when the store comes back from an older copy."""

import json
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent.server import StreamServer
from nutmegslip_platform import _feed, _store
from nutmegslip_platform._feed import StoreFeed

from fakes.runners import Runner
from fakes.store import StoreServer
from nutmegslip_decisions.direct import (
    ConfigurationPublished,
    ListingRead,
    Refuse,
    RequestEnded,
    Send,
    StoreLost,
    StorePosition,
    StoreReached,
    StoreRestored,
    Tick,
    UpstreamPublished,
    UpstreamRemoved,
    Verdict,
    ZonesOut,
    judge,
)
from nutmegslip_decisions.direct._restored import REWRITE_MS
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import _connection, encode_head
from tests.direct_world import World, configuration, upstream

AT = StorePosition(3, 100)
_ADDRESS = SimpleNamespace(address="127.0.0.1:9000")


class PositionTests(unittest.TestCase):
    """Guard against an answer of an older copy or an older era being used."""

    def test_the_verdict_on_each_answer(self):
        cases = (
            ("a later answer of the era", AT, 3, 101, Verdict.CURRENT),
            ("the same revision", AT, 3, 100, Verdict.CURRENT),
            ("an older answer of the era", AT, 3, 99, Verdict.STALE),
            ("a new era with a lower revision", AT, 4, 60, Verdict.RESTORED),
            ("a new era with a higher revision", AT, 4, 160, Verdict.RESTORED),
            ("an era that rose twice", AT, 5, 60, Verdict.RESTORED),
            ("a late answer of an older era", AT, 2, 180, Verdict.STALE),
            ("an answer without era", AT, None, 101, Verdict.CURRENT),
            ("an older answer without era", AT, None, 99, Verdict.STALE),
            ("the first answer", StorePosition(), 7, 5, Verdict.CURRENT),
            ("a store without eras", StorePosition(0, 9), None, 10, Verdict.CURRENT),
        )
        for name, position, era, revision, verdict in cases:
            with self.subTest(name):
                self.assertIs(judge(position, era, revision), verdict)

    def test_the_order_rises_when_the_revisions_fall(self):
        """Fencing numbers follow the order; ranks refuse lower ones."""
        self.assertGreater(StorePosition(4, 10).order, StorePosition(3, 400_000).order)
        self.assertGreater(StorePosition(3, 11).order, StorePosition(3, 10).order)


class RestoredStoreTests(unittest.TestCase):
    """Guard against beliefs that fall back to the state of the copy."""

    def setUp(self):
        self.world = World(upstream("u1"), upstream("u2"))

    def _restore(self, *listing):
        self.world.take(StoreRestored(self.world.now_ms, 2))
        self.world.take(ListingRead(self.world.now_ms, listing))

    def _pass(self, ms):
        self.world.now_ms += ms
        self.world.take(Tick(self.world.now_ms))

    def _send(self):
        (effect,) = self.world.arrive()
        if isinstance(effect, Send):
            ticket = effect.request.ticket
            self.world.take(RequestEnded(self.world.now_ms, ticket, answered=True))
            return effect.upstream.id
        return effect.kind

    def test_upstreams_that_the_copy_lacks_stay_until_they_are_written_again(self):
        self._restore()
        self.assertIsInstance(self.world.arrive()[0], Send)
        self._pass(1_900)
        self.world.take(UpstreamPublished(self.world.now_ms, upstream("u1")))
        self._pass(200)
        self.assertEqual({self._send() for _ in range(6)}, {"u1"})

    def test_beliefs_stay_in_force_until_the_new_list_is_read(self):
        self.world.take(StoreRestored(self.world.now_ms, 2))
        self._pass(10_000)
        self.assertIsInstance(self.world.arrive()[0], Send)

    def test_the_copy_is_distrusted_from_its_list_on(self):
        """The store may name its era long before it can be listed."""
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self.world.take(ZonesOut(self.world.now_ms, frozenset({"z"})))
        self.world.take(StoreRestored(self.world.now_ms, 2))
        self._pass(REWRITE_MS + 4_000)
        listing = (upstream("u1"), upstream("u3", zone="z"))
        self.world.take(ListingRead(self.world.now_ms, listing))
        self.world.take(ZonesOut(self.world.now_ms, frozenset()))
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})
        self._pass(1_900)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_an_upstream_that_was_leaving_stays_so(self):
        leaving = upstream("u1", leaving=True)
        self.world.take(UpstreamPublished(self.world.now_ms, leaving))
        self._restore(upstream("u1"), upstream("u2"))
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})
        self._pass(60_000)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_an_upstream_that_was_leaving_and_gone_stays_so(self):
        leaving = upstream("u1", leaving=True)
        self.world.take(UpstreamPublished(self.world.now_ms, leaving))
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1"), upstream("u2"))
        self._pass(60_000)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_a_removed_upstream_that_the_copy_revives_gets_nothing(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1"), upstream("u2"))
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})
        self._pass(REWRITE_MS - 1)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_a_revived_upstream_is_used_once_it_has_written_again(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1"), upstream("u2", leaving=True))
        self.world.take(UpstreamPublished(self.world.now_ms, upstream("u1")))
        self.assertEqual(self._send(), "u1")

    def test_a_revived_upstream_that_is_still_listed_later_is_used(self):
        """Its registration had lapsed; renewals that change nothing show no event."""
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1"), upstream("u2", leaving=True))
        self._pass(REWRITE_MS)
        self.assertEqual(self._send(), "u1")

    def test_a_revived_upstream_that_lapses_is_gone(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1"), upstream("u2"))
        self._pass(3_000)
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._pass(60_000)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_an_incarnation_that_the_copy_shows_before_its_replacement(self):
        newer = upstream("u1", born_ms=5, port=9_001)
        self.world.take(UpstreamPublished(self.world.now_ms, newer))
        self._restore(upstream("u1", born_ms=4), upstream("u2", leaving=True))
        (effect,) = self.world.arrive()
        self.assertEqual(effect.upstream, newer)

    def test_an_incarnation_that_the_copy_shows_after_its_replacement_is_gone(self):
        leaving = upstream("u1", born_ms=4, leaving=True)
        self.world.take(UpstreamPublished(self.world.now_ms, leaving))
        newer = upstream("u1", born_ms=5)
        self.world.take(UpstreamPublished(self.world.now_ms, newer))
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._restore(upstream("u1", born_ms=4), upstream("u2"))
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_a_lapsed_upstream_that_is_listed_again_in_one_era_is_used(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        listing = (upstream("u1"), upstream("u2", leaving=True))
        self.world.take(ListingRead(self.world.now_ms, listing))
        self.assertEqual(self._send(), "u1")

    def test_a_zone_that_was_out_stays_out_until_it_was_written_again(self):
        self.world.take(ZonesOut(self.world.now_ms, frozenset({"a"})))
        self._restore(upstream("u1"), upstream("u2", zone="b"))
        self.world.take(ZonesOut(self.world.now_ms, frozenset()))
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})
        self.world.take(ZonesOut(self.world.now_ms, frozenset({"a"})))
        self._pass(REWRITE_MS)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_a_zone_that_is_not_written_again_returns(self):
        self.world.take(ZonesOut(self.world.now_ms, frozenset({"a"})))
        self._restore(upstream("u1"), upstream("u2"))
        self.world.take(ZonesOut(self.world.now_ms, frozenset()))
        self.assertIsInstance(self.world.arrive()[0], Refuse)
        self._pass(REWRITE_MS)
        self.assertIsInstance(self.world.arrive()[0], Send)

    def test_the_configuration_does_not_go_back(self):
        for version in (7, 6):
            event = ConfigurationPublished(self.world.now_ms, configuration(version))
            self.world.take(event)
            self.world.take(StoreRestored(self.world.now_ms, 2))
        self.assertEqual(self.world.state.configuration.version, 7)

    def test_two_restores_in_one_outage(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self.world.take(StoreRestored(self.world.now_ms, 2))
        self._pass(1_000)
        self.world.take(StoreRestored(self.world.now_ms, 3))
        self.world.take(StoreReached(self.world.now_ms))
        self.world.take(
            ListingRead(self.world.now_ms, (upstream("u1"), upstream("u2")))
        )
        self._pass(REWRITE_MS - 1)
        self.assertEqual({self._send() for _ in range(6)}, {"u2"})

    def test_removed_incarnations_are_forgotten_in_the_end(self):
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._pass(599_999)
        self.assertIn("u1", self.world.state.departures)
        self._pass(1)
        self.assertNotIn("u1", self.world.state.departures)

    def test_statistics_of_removed_upstreams_are_forgotten_in_the_end(self):
        """Guard against memory that grows with each upstream that ever was."""
        while self._send() != "u1":
            pass
        self.assertIn("u1", self.world.state.upstream_stats)
        self.world.take(UpstreamRemoved(self.world.now_ms, "u1"))
        self._pass(600_000)
        self.assertNotIn("u1", self.world.state.upstream_stats)
        self.assertIn("u2", self.world.state.upstreams)


class FeedTests(unittest.TestCase):
    """Test the reads of a store that is restored, by the events that they cause."""

    def setUp(self):
        self.store = StoreServer()
        self.addCleanup(self.store.close)
        self.lines = []
        self.events = []
        for number in range(60):  # two pages
            self._put(f"u{number}")

    def _put(self, name):
        record = Runner.registration(_ADDRESS, "board")
        self.store.history.put(f"servers/{name}", record)

    def _start(self):
        log = SimpleNamespace(emit=lambda name, **_fields: self.lines.append(name))
        feed = StoreFeed(self.store.address, self.events.append, log)
        greenlet = gevent.spawn(feed.run)
        self.addCleanup(greenlet.kill)
        return feed

    def _wait_for(self, condition):
        with gevent.Timeout(8):
            while not condition():
                gevent.sleep(0.02)

    def _listings(self):
        return [event for event in self.events if isinstance(event, ListingRead)]

    def _restores(self):
        return [event.era for event in self.events if isinstance(event, StoreRestored)]

    def test_a_start_from_the_copy_is_no_restore(self):
        self.store.era = 4
        feed = self._start()
        self._wait_for(self._listings)
        self.assertEqual((self._restores(), feed.position.era), ([], 4))

    def test_everything_is_listed_again_in_a_new_era(self):
        copy = self.store.history.copy()
        self._put("lost")
        self._start()
        self._wait_for(self._listings)
        self.store.restore(copy)
        self._wait_for(lambda: len(self._listings()) > 1)
        self.assertEqual(self._restores(), [2])
        first, second = (
            {upstream.id for upstream in listing.upstreams}
            for listing in self._listings()
        )
        self.assertEqual(first - second, {"lost"})
        self.assertLess(
            self.events.index(next(e for e in self.events if type(e) is StoreRestored)),
            self.events.index(self._listings()[1]),
        )

    def test_one_restore_is_seen_for_two_that_were_slept_through(self):
        copy = self.store.history.copy()
        self._start()
        self._wait_for(self._listings)
        self.store.restore(copy)
        self.store.restore(copy)
        self._wait_for(lambda: len(self._listings()) > 1)
        self.assertEqual(self._restores(), [3])

    def test_a_restore_between_two_pages_begins_the_list_again(self):
        history, pages = self.store.history, []
        copy, page = history.copy(), history.page

        def restore_after_first(prefix, after):
            pages.append(after)
            if len(pages) == 2:
                self.store.restore(copy)
            return page(prefix, after)

        history.page = restore_after_first
        self._start()
        self._wait_for(self._listings)
        self.assertEqual([bool(after) for after in pages], [False, True, False, True])
        self.assertEqual(len(self._listings()[0].upstreams), 60)

    def test_an_answer_of_an_older_copy_is_ignored(self):
        self.store.era = 5
        self._start()
        self._wait_for(self._listings)
        self.store.era = 4
        self._put("of-the-copy")
        self._wait_for(lambda: "store-answer-stale" in self.lines)
        self.assertEqual([e for e in self.events if type(e) is UpstreamPublished], [])
        self.store.era = 5
        self._wait_for(lambda: [e for e in self.events if type(e) is UpstreamPublished])
        self.assertEqual(self._restores(), [])

    def test_changes_that_are_too_long_for_one_answer_are_listed(self):
        """Guard against a process that never catches up with what it has missed."""
        self._start()
        self._wait_for(self._listings)
        with mock.patch.object(
            _connection.ClientConnection.read_whole_body,
            "__kwdefaults__",
            {"max_bytes": 20_000, "stall_ms": None},
        ):
            self.store.down = True
            self._wait_for(lambda: any(type(e) is StoreLost for e in self.events))
            for number in range(120):
                self._put(f"late{number}")
            self.store.down = False
            self._wait_for(lambda: len(self._listings()) > 1)
        self.assertEqual(len(self._listings()[1].upstreams), 180)
        self.assertIn("store-listed-again", self.lines)

    def test_a_store_without_eras_may_forget_its_revisions(self):
        with mock.patch.object(_store, "ERA", b"x-not-there"):
            copy = self.store.history.copy()
            self._put("lost")
            self._start()
            self._wait_for(self._listings)
            self.store.restore(copy)
            self._wait_for(lambda: len(self._listings()) > 1)
        self.assertEqual(self._restores(), [])


class SlowLinkTests(unittest.TestCase):
    """Guard against calls that are given up while their answer arrives, or too late."""

    STABILITY_WINDOW_MS = 3_000  # the platform's, after which a process is in touch

    def setUp(self):
        self.calls = []
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.client = _store.StoreClient(f"127.0.0.1:{server.server_port}", boottime_ms)

    def _serve(self, sock, _peer):
        while request := sock.recv(65_536):
            self.calls.append(request.split(b" ")[1])
            item = {"key": "op/none", "revision": 7, "value": "x" * 2_000}
            answer = {"items": [item], "hasMore": False, "currentRev": 7}
            body = json.dumps(answer).encode()
            sock.sendall(encode_head(200, [], length=len(body)))
            for start in range(0, len(body), 200):
                gevent.sleep(0.15)
                sock.sendall(body[start : start + 200])

    def test_an_answer_that_keeps_arriving_is_read_to_its_end(self):
        listed = self.client.list_items()
        self.assertEqual((listed.ok.revision, len(self.calls)), (7, 1))

    def test_a_lost_answer_is_noticed_before_the_process_is_in_touch_again(self):
        noticed_ms = _feed.WATCH_WAIT_MS + _store.ANSWER_TIMEOUT_MS
        listed_ms = 1_000 * _feed.RETRY_DELAY_S
        self.assertLess(noticed_ms + listed_ms, self.STABILITY_WINDOW_MS)


if __name__ == "__main__":
    unittest.main()
