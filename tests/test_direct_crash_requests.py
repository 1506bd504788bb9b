"""Test that a request that crashes each upstream that runs it is found and withheld.

It has the same path, caller and body each time, and comes to any entry. Without that,
it takes out all upstreams of a service as soon as they are back.
"""

import unittest

import cbor2
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Crash,
    ListingRead,
    NotSent,
    PartReport,
    PeerReported,
    RefusalKind,
    Refuse,
    StoreLost,
    UpstreamPublished,
    UpstreamRemoved,
)
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from tests.crash_requests_world import MAX_LATE_SENDS, Fleet, Load
from tests.direct_world import World, upstream

CLOSED = Broken("reset", closed=True)

SEEDS = (1, 2, 3, 4)


class CrashingRequestTests(unittest.TestCase):
    """The same request is sent again although it has crashed three upstreams."""

    def _play(self, load, entries=3, seeds=SEEDS):
        fleets = {seed: Fleet(seed, load, entries) for seed in seeds}
        for fleet in fleets.values():
            fleet.run()
            self.assertGreater(sum(map(len, fleet.crashes_ms.values())), 2)
        late = {seed: fleet.late_sends() for seed, fleet in fleets.items()}
        self.assertEqual({s: n for s, n in late.items() if n > MAX_LATE_SENDS}, {})
        return fleets.values()

    def test_a_lookup(self):
        self._play(Load())

    def test_a_lookup_that_comes_often(self):
        self._play(Load(bad_per_s=3.0))

    def test_a_push(self):
        self._play(Load(path="/pushes/1", bad_per_s=1.0))

    def test_a_stream(self):
        self._play(Load(path="/verses/1", bad_per_s=1.0))

    def test_several_of_them(self):
        self._play(Load(bad=3, bad_per_s=1.5))

    def test_beside_many_entries(self):
        self._play(Load(sound_per_s=2.0, bad_per_s=0.2), entries=12, seeds=(1, 2))

    def test_one_that_crashes_them_after_its_answer_began(self):
        """Guard against evidence that counts only until an answer begins."""
        for path in ("/lookups/1", "/pushes/1", "/verses/1"):
            for share in (0.5, 1.0):
                with self.subTest(path=path, share=share):
                    load = Load(path=path, bad_per_s=1.0, begun_share=share)
                    self._play(load, seeds=SEEDS[:2])

    def test_one_that_crashes_them_at_any_moment(self):
        """Guard against a moment of the crash that escapes, from connect to end."""
        load = Load(bad_per_s=1.0, crash_ms=(0, 400), begun_share=0.7)
        self._play(load)

    def test_while_entries_restart(self):
        self._play(Load(restarts_per_s=0.1))


class SoundRequestTests(unittest.TestCase):
    """Sound requests are not taken for one that crashes upstreams."""

    def test_sound_requests_beside_a_crashing_one(self):
        for seed in SEEDS:
            fleet = Fleet(seed, Load(bad_per_s=1.0))
            fleet.run()
            with self.subTest(seed=seed):
                self.assertEqual(fleet.false_refusals, [])
                self.assertGreater(fleet.sound_served, 0.95 * fleet.sound_sent)

    def test_attempts_that_break_whatever_they_ask_for(self):
        for share in (0.1, 0.5, 0.9):
            for seed in SEEDS[:2]:
                fleet = Fleet(seed, Load(bad_per_s=0, broken_share=share))
                fleet.run()
                with self.subTest(share=share, seed=seed):
                    self.assertEqual(fleet.false_refusals, [])


class EvidenceTests(unittest.TestCase):
    """A broken attempt counts once its upstream is known to be gone."""

    def setUp(self):
        self.upstreams = [upstream(f"u{n}", slots=6) for n in range(4)]
        self.world = World(*self.upstreams)

    def _break(self):
        """Send a push and break its attempt; return its upstream's id."""
        effects = self.world.arrive("/pushes/1", fingerprint="bad")
        self.world.now_ms += 50
        ticket = self.world.tickets
        self.world.take(AttemptFailed(self.world.now_ms, ticket, CLOSED))
        return effects[0].upstream.id

    def _counts(self):
        return list(self.world.state.parts.counts.values())

    def test_a_request_that_came_too_late_says_nothing_of_its_upstream(self):
        """Guard against a suspended entry that avoids its upstreams."""
        name = self._break()
        (send,) = self.world.arrive("/pushes/1", fingerprint="other")
        while send.upstream.id != name:
            (send,) = self.world.arrive("/pushes/1", fingerprint="other")
        before = self.world.state.stats_of(name)
        overdue = NotSent("the deadline passed", overdue=True)
        failed = AttemptFailed(self.world.now_ms, send.request.ticket, overdue)
        self.world.take(failed)
        after = self.world.state.stats_of(name)
        self.assertEqual(after.avoid_until_ms, before.avoid_until_ms)
        self.assertEqual(self._counts(), [])

    def test_what_shows_that_an_upstream_is_gone(self):
        def refused(world, upstream_id):
            ticket = next(
                t for t, r in world.state.requests.items() if r.upstream == upstream_id
            )
            world.take(AttemptFailed(world.now_ms, ticket, NotSent("refused")))

        def removed(world, upstream_id):
            world.take(UpstreamRemoved(world.now_ms, upstream_id))

        def reborn(world, upstream_id):
            again = upstream(upstream_id, slots=6, born_ms=7)
            world.take(UpstreamPublished(world.now_ms, again))

        def listed_again(world, upstream_id):
            world.take(UpstreamPublished(world.now_ms, upstream(upstream_id, slots=6)))

        def listed_without(world, upstream_id):
            others = [u for u in self.upstreams if u.id != upstream_id]
            world.take(ListingRead(world.now_ms, tuple(others)))

        def lapsed(world, upstream_id):
            world.take(StoreLost(world.now_ms))
            world.take(UpstreamRemoved(world.now_ms, upstream_id))

        for shown, counts in (
            (refused, [1]),
            (listed_without, [1]),
            (lapsed, []),
            (removed, [1]),
            (reborn, [1]),
            (listed_again, []),
        ):
            with self.subTest(shown.__name__):
                self.world = World(*(upstream(f"u{n}", slots=6) for n in range(4)))
                for number in range(20):
                    self.world.arrive("/pushes/1", fingerprint=f"other{number}")
                shown(self.world, self._break())
                self.assertEqual(self._counts(), counts)

    def test_it_is_not_taken_for_a_crash_long_after(self):
        world = self.world
        upstream_id = self._break()
        world.now_ms += 5_001
        world.take(UpstreamRemoved(world.now_ms, upstream_id))
        self.assertEqual(self._counts(), [])

    def test_the_fourth_time_it_is_refused_as_not_run(self):
        world = self.world
        for number in range(12):
            world.arrive("/lookups/1", fingerprint=f"sound{number}")
        for _ in range(3):
            world.take(UpstreamRemoved(world.now_ms, self._break()))
        (effect,) = world.arrive("/pushes/1", fingerprint="bad")
        self.assertIsInstance(effect, Refuse)
        self.assertEqual(effect.kind, RefusalKind.CRASHING_REQUEST)
        self.assertFalse(effect.ran)
        self.assertGreater(effect.retry_after_ms, 5_000)

    def test_crashes_of_entries_that_have_ended_are_not_forgotten(self):
        world = World(*self.upstreams)
        crashes = tuple(Crash(n, n + 1, 0.0, 0.0, n) for n in (1, 2))
        report = PartReport(Map({"request:1": crashes}))
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), report))
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), PartReport()))
        self.assertEqual(dict(world.state.parts.counts), {"request:1": 2})
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), report))
        self.assertEqual(dict(world.state.parts.counts), {"request:1": 2})


class ReportTests(unittest.TestCase):
    def test_places_travel_apart_and_an_earlier_build_has_none(self):
        crashes = (Crash(1, 2, 0.5, 0.0, 7), Crash(3, 4, 0.5, 0.0, 2**64 - 1))
        parts = PartReport(Map({"request:1": crashes}))
        data = encode_report(Report(Map(), (), parts), 10)
        self.assertEqual(decode_report(data, 10).parts, parts)
        earlier = decode_report(cbor2.dumps(cbor2.loads(data)[:6]), 10).parts
        places = [crash.place for crash in earlier.crashes["request:1"]]
        self.assertEqual(places, [0, 0])

    def test_malformed_places_raise_one_error(self):
        parts = PartReport(Map({"request:1": (Crash(1, 2),)}))
        *head, _ = cbor2.loads(encode_report(Report(Map(), (), parts), 10))
        for places in (7, {"request:1": 3}, {"request:1": ["x"]}, [1, 2]):
            with self.subTest(places=places), self.assertRaises(ReportError):
                decode_report(cbor2.dumps([*head, places]), 10)


if __name__ == "__main__":
    unittest.main()
