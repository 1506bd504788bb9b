"""Test the decisions of an entry that sends to upstreams directly."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    ConfigurationPublished,
    Declined,
    DeliverFailure,
    Errored,
    EventSplitter,
    GroupRank,
    ListingRead,
    NotSent,
    Options,
    PaceMeasured,
    PeerReported,
    RefusalKind,
    Refuse,
    RequestEnded,
    ResponseStarted,
    Send,
    StoreLost,
    StoreReached,
    Tick,
    UpstreamPublished,
    UpstreamRemoved,
    ZonesOut,
    open_share,
)
from nutmegslip_decisions.direct._peers import STALE_AFTER_MS
from nutmegslip_decisions.direct._starting import MAX_START_WAIT_MS
from tests.direct_world import World, configuration, upstream


class PeerTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["p1", "p2", "p3"]),
                st.dictionaries(st.sampled_from(["u1", "u2"]), st.integers(0, 5)),
                st.integers(0, 2_000),
            ),
            max_size=12,
        )
    )
    def test_totals_are_the_sums_of_fresh_reports(self, reports):
        world = World(upstream("u1"), upstream("u2"))
        last = {}
        for peer, in_flight, later_ms in reports:
            world.now_ms += later_ms
            world.take(Tick(world.now_ms))
            world.take(PeerReported(world.now_ms, peer, Map(in_flight)))
            last[peer] = (world.now_ms, in_flight)
            for name in ("u1", "u2"):
                expected = sum(
                    found.get(name, 0)
                    for received_ms, found in last.values()
                    if received_ms + STALE_AFTER_MS > world.now_ms
                )
                self.assertEqual(world.state.peer_in_flight.get(name, 0), expected)


class ThunderingHerdTests(unittest.TestCase):
    """Guard against entries with the same reports choosing the same free upstreams."""

    def test_entries_with_the_same_reports_do_not_fill_the_same_upstreams(self):
        upstreams = [upstream(f"m{n}", "model", slots=5) for n in range(72)]
        loads = Map({one.id: 1 if n < 3 else 3 for n, one in enumerate(upstreams)})
        sent = Counter()
        for number in range(200):
            world = World(*upstreams, options=Options(f"entry-{number}", entries=200))
            world.take(PeerReported(world.now_ms, "other", loads))
            (effect,) = world.arrive("/verses/1", request_id=f"e{number}")
            sent[loads[effect.upstream.id]] += 1
        # A sample of twelve of 72 upstreams contains one of the three least loaded ones
        # for 43 of 100 requests.
        self.assertLess(sent[1], 120)
        self.assertGreater(sent[1], 50)

    def test_a_free_slot_is_found_wherever_it_is(self):
        upstreams = [upstream(f"m{n}", "model", slots=5) for n in range(72)]
        loads = Map({one.id: 5 for one in upstreams[1:]})
        for number in range(20):
            world = World(*upstreams)
            world.take(PeerReported(world.now_ms, "other", loads))
            (effect,) = world.arrive("/verses/1", request_id=f"f{number}")
            self.assertEqual(effect.upstream.id, "m0")


class OwnZoneTests(unittest.TestCase):
    """Guard against two of three requests crossing zones under even load."""

    def _zones(self, loads, count=40):
        """Return the zones that get requests, with the others' load by zone."""
        upstreams = [
            upstream(f"{zone}{n}", "model", zone=zone, slots=5)
            for zone in "abc"
            for n in range(3)
        ]
        in_flight = Map({one.id: loads[one.zone] for one in upstreams})
        zones = Counter()
        for number in range(count):
            world = World(*upstreams, options=Options("e", zone="a", entries=9))
            world.take(PeerReported(world.now_ms, "other", in_flight))
            (effect,) = world.arrive("/verses/1", request_id=f"z{number}")
            zones[effect.upstream.zone] += 1
        return zones

    def test_under_even_load_requests_stay_in_their_zone(self):
        self.assertEqual(self._zones({"a": 2, "b": 2, "c": 2}), {"a": 40})

    def test_a_fuller_zone_sends_its_requests_to_others(self):
        self.assertNotIn("a", self._zones({"a": 4, "b": 2, "c": 2}))


class RoutingTests(unittest.TestCase):
    def test_refusals_before_any_upstream_is_chosen(self):
        cases = (
            ("/nothing/1", "key-1", RefusalKind.NO_ROUTE),
            ("/lookup", "key-1", RefusalKind.NO_ROUTE),
            ("/lookups/1", "other", RefusalKind.UNKNOWN_KEY),
            ("/lookups/1", None, RefusalKind.UNKNOWN_KEY),
        )
        for path, key, kind in cases:
            with self.subTest(path=path, key=key):
                (effect,) = World(upstream("u1")).arrive(path, key=key)
                self.assertEqual((effect.kind, effect.ran), (kind, False))

    def test_a_public_route_needs_no_key(self):
        (effect,) = World(upstream("u1")).arrive("/open/1", key=None)
        self.assertIsInstance(effect, Send)
        self.assertEqual(effect.request.account, "")

    def test_a_refusal_without_configuration_has_a_retry_delay(self):
        world = World(upstream("u1"))
        world.state = world.state._replace(configuration=None, table=None)
        self.assertEqual(world.arrive(), ())
        (effect,) = world.take(Tick(world.now_ms + MAX_START_WAIT_MS))
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)
        self.assertGreater(effect.retry_after_ms, 0)

    def test_the_longest_prefix_wins(self):
        world = World(upstream("u1"))
        longer = configuration().routes[0]._replace(name="deep", prefix="/lookups/x/")
        routes = (*configuration().routes, longer)
        newer = configuration(2, routes=routes)
        world.take(ConfigurationPublished(world.now_ms, newer))
        names = [
            world.arrive(path)[0].request.route.name
            for path in ("/lookups/x/1", "/lookups/x")
        ]
        self.assertEqual(names, ["deep", "lookups"])

    def test_an_older_version_is_ignored(self):
        world = World(upstream("u1"))
        world.take(ConfigurationPublished(world.now_ms, configuration(5)))
        old = configuration(4, routes=())
        world.take(ConfigurationPublished(world.now_ms, old))
        self.assertEqual(world.state.configuration.version, 5)

    def test_the_earlier_deadline_of_caller_and_route_applies(self):
        for wait_ms, remaining_ms in ((500, 500), (5_000, 800), (None, 800)):
            with self.subTest(wait_ms=wait_ms):
                world = World(upstream("u1"))
                (effect,) = world.arrive(wait_ms=wait_ms)
                self.assertEqual(
                    effect.request.deadline_ms, world.now_ms + remaining_ms
                )


class ChoiceTests(unittest.TestCase):
    def test_unusable_upstreams_are_not_chosen(self):
        cases = (
            upstream("u1", leaving=True),
            upstream("u1", zone="out"),
            upstream("u1", service="other"),
            upstream("u1", rank=GroupRank("g", 1, 0, is_open=False)),
        )
        for bad in cases:
            with self.subTest(upstream=bad):
                world = World(bad, upstream("u2"))
                world.take(ZonesOut(world.now_ms, frozenset({"out"})))
                self.assertEqual(world.arrive()[0].upstream.id, "u2")

    def test_load_counts_requests_of_all_entries(self):
        world = World(upstream("u1"), upstream("u2"))
        world.take(PeerReported(world.now_ms, "other", Map({"u1": 1})))
        self.assertEqual(world.arrive()[0].upstream.id, "u2")

    def test_a_stale_peer_no_longer_counts(self):
        world = World(upstream("u1"))
        world.take(PeerReported(world.now_ms, "other", Map({"u1": 2})))
        self.assertEqual(world.arrive(), ())
        world.now_ms += 2_000
        effects = world.take(Tick(world.now_ms))
        self.assertTrue(any(isinstance(effect, Refuse | Send) for effect in effects))
        self.assertIsInstance(world.arrive("/open/2")[0], Send)

    def test_a_cold_limit_is_shared_by_the_entries(self):
        options = Options("entry-1", entries=3, cold_multiplier=1.5, cold_slack=6.0)
        world = World(upstream("u1", "model", slots=100), options=options)
        sent = sum(
            isinstance(effect, Send)
            for _ in range(20)
            for effect in world.arrive("/verses/1")
        )
        self.assertEqual(sent, (20 * 1.5 + 6) // 3)


class WaitingTests(unittest.TestCase):
    def test_a_queued_request_is_sent_when_a_slot_is_free(self):
        world = World(upstream("u1"))
        world.arrive()
        world.arrive()
        self.assertEqual(world.arrive(), ())
        (effect,) = world.take(RequestEnded(world.now_ms + 10, 1, answered=True))
        self.assertEqual(effect.request.ticket, 3)

    def test_a_wait_that_is_too_long_is_refused_with_a_retry_delay(self):
        world = World(upstream("u1"))
        effects = [effect for _ in range(30) for effect in world.arrive()]
        refusals = [effect for effect in effects if isinstance(effect, Refuse)]
        self.assertTrue(refusals)
        for refusal in refusals:
            self.assertIs(refusal.kind, RefusalKind.OVERLOADED)
            self.assertFalse(refusal.ran)
            self.assertGreater(refusal.retry_after_ms, 0)

    def test_nothing_is_sent_past_its_deadline_after_a_pause(self):
        for event in (Tick, lambda now_ms: ZonesOut(now_ms, frozenset())):
            with self.subTest(event=event):
                world = World(upstream("u1"))
                for _ in range(3):
                    world.arrive()
                world.state = world.state._replace(upstream_stats=Map())
                effects = world.take(event(world.now_ms + 1_100))
                self.assertFalse([e for e in effects if isinstance(e, Send)])

    def test_a_cancelled_request_leaves_the_queue(self):
        world = World(upstream("u1"))
        for _ in range(4):
            world.arrive()
        world.take(RequestEnded(world.now_ms, 3, answered=False))
        (effect,) = world.take(RequestEnded(world.now_ms, 1, answered=True))
        self.assertEqual(effect.request.ticket, 4)

    def test_a_refusal_without_upstreams_has_a_retry_delay(self):
        (effect,) = World().arrive()
        self.assertIs(effect.kind, RefusalKind.NO_UPSTREAM)
        self.assertGreater(effect.retry_after_ms, 0)


class FailureTests(unittest.TestCase):
    def _fail(self, path, failure, **fields):
        world = World(upstream("u1"), upstream("u2"), upstream("m1", "model"))
        (sent,) = world.arrive(path)
        failed = AttemptFailed(world.now_ms, sent.request.ticket, failure, **fields)
        effects = world.take(failed)
        return sent, effects

    def test_the_effect_of_each_failure(self):
        cases = (
            ("/lookups/1", NotSent(), Send),
            ("/lookups/1", Declined(), Send),
            ("/lookups/1", Broken(), Send),
            ("/lookups/1", Errored(), Send),
            ("/pushes/1", NotSent(), Send),
            ("/pushes/1", Declined(misdirected=True), Send),
            ("/pushes/1", Declined(), Refuse),
            ("/pushes/1", Broken(), Refuse),
            ("/pushes/1", Errored(), DeliverFailure),
            ("/drafts/1", Declined(), Send),
            ("/drafts/1", Broken(), Refuse),
            ("/drafts/1", Errored(), DeliverFailure),
        )
        for path, failure, expected in cases:
            with self.subTest(path=path, failure=failure):
                sent, (effect,) = self._fail(path, failure)
                self.assertIsInstance(effect, expected)
                if isinstance(effect, Send):
                    self.assertNotEqual(effect.upstream.id, sent.upstream.id)

    def test_refusal_reports_whether_the_request_could_have_run(self):
        for failure, ran in ((Declined(), False), (Broken(), True)):
            with self.subTest(failure=failure):
                _, (effect,) = self._fail("/pushes/1", failure)
                self.assertEqual(effect.ran, ran)

    def test_retries_stay_within_the_budget(self):
        options = Options("entry-1", budget_ratio=0.0, budget_slack=3.0)
        world = World(*(upstream(f"u{n}", slots=50) for n in (1, 2)), options=options)
        retries = 0
        for _ in range(10):
            (sent,) = world.arrive()
            failed = AttemptFailed(world.now_ms, sent.request.ticket, Broken())
            (effect,) = world.take(failed)
            retries += isinstance(effect, Send)
        self.assertEqual(retries, 3)

    def test_retries_after_a_misdirected_send_count_towards_the_budget(self):
        # After a power loss a zone restarts with new ids while the list is stale.
        options = Options("entry-1", budget_ratio=0.0, budget_slack=3.0)
        names = [f"u{number}" for number in range(6)]
        world = World(*(upstream(name, slots=50) for name in names), options=options)
        retries = 0
        for _ in range(10):
            effects = world.arrive()
            while effects and isinstance(effects[0], Send):
                ticket = effects[0].request.ticket
                failed = AttemptFailed(world.now_ms, ticket, Declined(misdirected=True))
                effects = world.take(failed)
                retries += isinstance(effects[0], Send)
        self.assertEqual(retries, 3)

    def test_a_misdirected_upstream_is_avoided_until_the_list_is_current(self):
        world = World(upstream("u1"), upstream("u2"))
        (sent,) = world.arrive()
        wrong = sent.upstream.id
        failed = AttemptFailed(
            world.now_ms, sent.request.ticket, Declined(misdirected=True)
        )
        world.take(failed)
        world.now_ms += 900
        chosen = [world.arrive()[0]]
        names = {send.upstream.id for send in chosen if isinstance(send, Send)}
        self.assertNotIn(wrong, names)

    def test_nothing_is_sent_after_the_deadline(self):
        world = World(upstream("u1"), upstream("u2"))
        (sent,) = world.arrive(wait_ms=300)
        late = AttemptFailed(world.now_ms + 299, sent.request.ticket, Broken())
        self.assertIsInstance(world.take(late)[0], Refuse)


class GroupTests(unittest.TestCase):
    """Guard against sends to a group with a failed rank while the list is stale."""

    RANKS = tuple(
        upstream(f"m{n}", "model", rank=GroupRank("g", 1, n, is_open=True))
        for n in range(3)
    )

    def _after_a_fault(self):
        world = World(*self.RANKS)
        (sent,) = world.arrive("/verses/1")
        fault = Declined(at_fault="m2")
        world.now_ms += 1_500
        world.take(AttemptFailed(world.now_ms, sent.request.ticket, fault))
        return world

    def test_a_zone_of_dead_ranks_costs_a_request_one_attempt(self):
        """The entry prefers its own zone, whose ranks are down or have returned."""
        for failure in (NotSent(), Declined(misdirected=True)):
            with self.subTest(failure=failure):
                self._meet_dead_ranks(failure)

    def _meet_dead_ranks(self, failure):
        ranks = [
            upstream(
                f"{zone}{number}",
                "model",
                zone=zone,
                slots=5,
                rank=GroupRank(f"g-{zone}", 1, number, is_open=True),
            )
            for zone in ("a", "c")
            for number in range(20)
        ]
        options = Options("entry-1", zone="c", budget_slack=100.0)
        world = World(*ranks, options=options)
        for _ in range(15):
            (sent,) = world.arrive("/verses/1")
            attempts = 1
            while sent.upstream.zone == "c":
                refused = AttemptFailed(world.now_ms, sent.request.ticket, failure)
                (sent,) = world.take(refused)
                attempts += 1
            self.assertLessEqual(attempts, 2)
            world.now_ms += 40

    def test_a_request_that_met_a_crash_is_not_led_to_another_group(self):
        """It may have caused the crash."""
        ranks = [
            upstream(name, "model", zone=name[0], rank=GroupRank(name[0], 1, 0, True))
            for name in ("a0", "c0", "c1")
        ]
        world = World(*ranks, options=Options("entry-1", zone="c", budget_slack=9.0))
        (sent,) = world.arrive("/verses/1")
        crash = AttemptFailed(
            world.now_ms, sent.request.ticket, Broken("closed", closed=True)
        )
        self.assertEqual(world.take(crash)[0].upstream.group, "c")

    def _close_again(self, world):
        """Let the probe of a group fail, so that the group stays closed."""
        effects = []
        for request in tuple(world.state.requests.values()):
            if request.upstream:
                fault = AttemptFailed(
                    world.now_ms, request.ticket, Declined(at_fault="m2")
                )
                effects += world.take(fault)
        self.assertFalse([e for e in effects if isinstance(e, Send)])
        return effects

    def _refusals_after_the_wait(self, count):
        """Return what callers get who come while a group stays closed."""
        world = self._after_a_fault()
        for _ in range(count):
            self.assertEqual(world.arrive("/verses/1"), ())
        effects = []
        for _ in range(20):
            world.now_ms += 100
            effects += world.take(Tick(world.now_ms))
            effects += self._close_again(world)
        refusals = [e for e in effects if isinstance(e, Refuse)]
        return [refusal for refusal in refusals if refusal.ticket > 1]

    def test_nothing_is_sent_to_a_stalled_group(self):
        refusals = self._refusals_after_the_wait(3)
        kinds = {refusal.kind for refusal in refusals}
        self.assertEqual(len(refusals), 3)
        self.assertEqual(kinds - {RefusalKind.DECLINED}, {RefusalKind.NO_UPSTREAM})
        self.assertFalse([refusal for refusal in refusals if refusal.ran])
        self.assertGreaterEqual(min(r.retry_after_ms for r in refusals), 1_400)

    def test_an_answered_probe_reopens_the_group(self):
        world = self._after_a_fault()
        world.now_ms += 600
        for _ in range(3):
            self.assertEqual(world.arrive("/verses/1"), ())
        effects = world.take(Tick(world.now_ms))
        (probe,) = (effect for effect in effects if isinstance(effect, Send))
        world.take(ResponseStarted(world.now_ms + 200, probe.request.ticket))
        self.assertIsInstance(world.arrive("/verses/1")[0], Send)

    def test_a_later_epoch_reopens_the_group(self):
        world = self._after_a_fault()
        for rank in self.RANKS:
            later = rank._replace(rank=rank.rank._replace(epoch=2))
            world.take(UpstreamPublished(world.now_ms, later))
        self.assertIsInstance(world.arrive("/verses/1")[0], Send)

    def test_retry_delays_in_an_outage_are_long_and_spread(self):
        refusals = self._refusals_after_the_wait(20)
        waits = [refusal.retry_after_ms for refusal in refusals]
        # A caller waits at most a third of what is left of its 8 s.
        left_ms = 8_000 - 1_600
        self.assertEqual(len(waits), 20)
        self.assertLessEqual(max(waits), 8_000 / 3)
        self.assertGreaterEqual(min(waits), 0.69 * left_ms / 3)
        self.assertGreater(max(waits) - min(waits), 300)


class PaceTests(unittest.TestCase):
    """Guard against load that fills every slot and makes every stream late."""

    def test_slots_close_while_the_gap_is_over_its_target_and_reopen(self):
        world = World(upstream("m1", "model", slots=20))
        for _ in range(8):
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", "", 105.0))
        taken = sum(
            isinstance(effect, Send)
            for _ in range(20)
            for effect in world.arrive("/verses/1")
        )
        self.assertLess(taken, 18)
        self.assertGreaterEqual(taken, 10)
        for _ in range(20):
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", "", 60.0))
        self.assertEqual(open_share(world.state, "model", "", world.now_ms), 1.0)

    def test_an_entry_probes_slow_slots_beside_streams_of_other_entries(self):
        # Streams of other entries, which measure shorter gaps, take the few open slots.
        world = World(upstream("m1", "model", slots=12))
        world.take(PaceMeasured(world.now_ms, "model", "", 313.0))
        sent = []
        for _ in range(100):
            world.now_ms += 100
            ended = [t for t, sent_ms in sent if sent_ms == world.now_ms - 1_000]
            effects = [
                effect
                for event in (
                    *(RequestEnded(world.now_ms, ticket, True) for ticket in ended),
                    PeerReported(world.now_ms, "other", Map({"m1": 2})),
                    Tick(world.now_ms),
                )
                for effect in world.take(event)
            ]
            effects += world.arrive("/verses/1")
            sent += [
                (effect.request.ticket, world.now_ms)
                for effect in effects
                if isinstance(effect, Send)
            ]
        # The measurement counts for 2 of the 10 s; 80 of 100 streams arrive later.
        self.assertGreaterEqual(len(sent), 70)

    def _two_groups(self):
        ranks = [
            upstream(
                f"{group}{number}",
                "model",
                slots=10,
                rank=GroupRank(group, 1, number, True, 2),
            )
            for group in ("slow", "fast")
            for number in (0, 1)
        ]
        return World(*ranks)

    def _sent_by_group(self, world):
        return Counter(
            effect.upstream.group
            for _ in range(40)
            for effect in world.arrive("/verses/1")
            if isinstance(effect, Send)
        )

    def test_a_slow_group_closes_only_its_own_slots(self):
        world = self._two_groups()
        for _ in range(8):
            world.now_ms += 250
            world.take(PaceMeasured(world.now_ms, "model", "slow", 105.0))
            world.take(PaceMeasured(world.now_ms, "model", "fast", 60.0))
        sent = self._sent_by_group(world)
        self.assertEqual(sent["fast"], 20)
        self.assertLess(sent["slow"], 18)

    def test_a_group_too_slow_to_finish_gets_only_probes_until_it_recovers(self):
        world = self._two_groups()
        world.take(PaceMeasured(world.now_ms, "model", "slow", 700.0))
        sent = self._sent_by_group(world)
        self.assertEqual((sent["fast"], sent["slow"]), (20, 1))
        world.take(PaceMeasured(world.now_ms, "model", "slow", 80.0))
        share = open_share(world.state, "model", "slow", world.now_ms)
        self.assertGreaterEqual(share, 0.5)

    def test_services_without_a_gap_bound_keep_their_slots(self):
        world = World(upstream("u1"))
        world.take(PaceMeasured(world.now_ms, "board", "", 900.0))
        self.assertNotIn("board", world.state.loads)


class ListingTests(unittest.TestCase):
    def test_an_upstream_removed_after_a_store_outage_is_kept_for_two_seconds(self):
        world = World(upstream("u1"))
        world.take(StoreLost(world.now_ms))
        world.take(StoreReached(world.now_ms))
        world.take(ListingRead(world.now_ms, ()))
        self.assertIsInstance(world.arrive()[0], Send)
        world.now_ms += 2_000
        world.take(Tick(world.now_ms))
        self.assertIsInstance(world.arrive()[0], Refuse)

    def test_an_upstream_that_is_listed_again_stays(self):
        world = World(upstream("u1"))
        world.take(StoreLost(world.now_ms))
        world.take(StoreReached(world.now_ms))
        world.take(UpstreamRemoved(world.now_ms, "u1"))
        world.take(UpstreamPublished(world.now_ms + 500, upstream("u1")))
        world.now_ms += 3_000
        world.take(Tick(world.now_ms))
        self.assertIsInstance(world.arrive()[0], Send)

    def test_a_removal_while_the_store_is_reachable_applies_at_once(self):
        world = World(upstream("u1"))
        world.take(UpstreamRemoved(world.now_ms, "u1"))
        self.assertIsInstance(world.arrive()[0], Refuse)


class EventSplitterTests(unittest.TestCase):
    def test_only_complete_events_are_passed_on(self):
        splitter = EventSplitter()
        parts = [splitter.feed(data) for data in (b"id: 1\nda", b"ta: a\n\nid: 2\n")]
        self.assertEqual(parts, [b"", b"id: 1\ndata: a\n\n"])
        self.assertEqual((splitter.last_id, splitter.is_complete), ("1", False))
        splitter.restart()
        self.assertEqual(splitter.feed(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n")
        self.assertEqual((splitter.last_id, splitter.is_complete), ("2", True))

    @given(st.lists(st.sampled_from([b"\n", b"\n\n", b"id: 7\n", b"data: a"])))
    def test_the_events_are_the_same_for_any_split(self, parts):
        whole, bytewise = EventSplitter(), EventSplitter()
        data = b"".join(parts)
        events = whole.feed(data) + whole.rest
        pieces = [bytewise.feed(data[i : i + 1]) for i in range(len(data))]
        self.assertEqual(b"".join([*pieces, bytewise.rest]), events)
        self.assertEqual(bytewise.last_id, whole.last_id)
        self.assertEqual(bytewise.is_complete, whole.is_complete)

    def test_an_event_is_searched_once_however_small_its_pieces_are(self):
        """Guard against work that grows with the square of an event's length."""

        class Buffer(bytearray):
            searched = 0

            def rfind(self, wanted, start=0):
                Buffer.searched += len(self) - start
                return super().rfind(wanted, start)

            def __add__(self, data):
                Buffer.searched += len(self) + len(data)
                return Buffer(super().__add__(data))

        splitter = EventSplitter()
        splitter._partial = Buffer()
        for _ in range(2_000):
            splitter.feed(b"x" * 10)
        self.assertLess(Buffer.searched, 2 * 20_000)


if __name__ == "__main__":
    unittest.main()
