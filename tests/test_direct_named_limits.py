"""Test that all entries together keep to the limits that upstreams name."""

import unittest

import cbor2
from immutables import Map
from nutmegslip_platform._headers import answer_fields

from nutmegslip_decisions.direct import (
    NamedLimit,
    Options,
    PeerReported,
    Refuse,
    Send,
    Tick,
    UpstreamLimited,
    UpstreamPublished,
    UpstreamRemoved,
    limit_report,
)
from nutmegslip_decisions.direct._named_limits import MAX_REPORTED_LIMITS
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from nutmegslip_runtime.http1 import Framing, ResponseHead
from tests.direct_world import World, upstream
from tests.named_limits_world import HEALTHY, LimitedFleet, Naming

U1, U2 = (upstream(name) for name in ("u1", "u2"))

SEEDS = (1, 2)
ALL = tuple(f"m{n}" for n in range(4))
TO_MS = 24_000
ROLLED = tuple((5_000 + 1_000 * number, number) for number in range(6))
CRASH_LOOP = tuple((5_000 + 1_500 * turn, turn % 2) for turn in range(12))


def named(upstreams, per_s, from_ms=1_000, to_ms=TO_MS):
    return tuple(Naming(u, from_ms, to_ms, per_s) for u in upstreams)


class NamedLimitTests(unittest.TestCase):
    """An upstream gets more than its limit, although each entry knows it."""

    def _fleets(self, namings, load=HEALTHY, entries=6, seeds=SEEDS):
        fleets = {s: LimitedFleet(s, namings, load, entries) for s in seeds}
        for fleet in fleets.values():
            fleet.run()
        excess = {seed: fleet.limit_excess() for seed, fleet in fleets.items()}
        self.assertEqual({s: e for s, e in excess.items() if e > 0}, {})
        return fleets.values()

    def test_one_upstream_is_used_up_to_its_limit_and_others_take_the_rest(self):
        for fleet in self._fleets(named(["m0"], 4.0)):
            used = fleet.sent_between("m0", 5_000, TO_MS) / 19
            self.assertTrue(2.8 <= used <= 4.4, used)
            self.assertEqual(fleet.refused_ms, [])

    def test_small_limits_of_most_upstreams(self):
        # The last upstream has 30 slots, of which this load takes two thirds.
        load = HEALTHY._replace(per_s=10.0)
        for fleet in self._fleets(named(ALL[:3], 0.5), load):
            self.assertEqual(fleet.refused_ms, [])
            used = sum(fleet.sent_between(u, 5_000, TO_MS) for u in ALL[:3])
            self.assertGreater(used, 0.7 * 3 * 0.5 * 19)

    def test_all_upstreams_are_used_up_to_their_limits(self):
        for fleet in self._fleets(named(ALL, 10.0)):
            used = sum(fleet.sent_between(u, 5_000, TO_MS) for u in ALL) / 19
            self.assertTrue(30 <= used <= 44, used)

    def test_limits_while_entries_restart_in_turn(self):
        self._fleets(named(ALL, 4.0), HEALTHY._replace(restarts=ROLLED))

    def test_limits_while_entries_crash_again_and_again(self):
        self._fleets(named(ALL, 1.0), HEALTHY._replace(restarts=CRASH_LOOP))

    def test_limits_while_entries_are_cut_off_from_each_other(self):
        cuts = tuple((4_000, 20_000, number) for number in range(5))
        self._fleets(named(ALL, 2.0), HEALTHY._replace(cuts=cuts))

    def test_limits_that_change(self):
        rates = (8.0, 1.0, 6.0, 0.5)
        namings = tuple(
            Naming(u, 1_000 + 5_000 * turn, 6_000 + 5_000 * turn, rate)
            for turn, rate in enumerate(rates)
            for u in ALL[:2]
        )
        self._fleets(namings)

    def test_many_entries(self):
        load = HEALTHY._replace(per_s=4.0)
        self._fleets(named(ALL[:2], 1.0), load, entries=30, seeds=(1,))


class EndTests(unittest.TestCase):
    def test_an_upstream_that_names_no_limit_any_more_is_used_as_before(self):
        fleet = LimitedFleet(1, named(["m0"], 1.0, to_ms=10_000))
        fleet.run()
        before = fleet.sent_between("m0", 5_000, 10_000) / 5
        after = fleet.sent_between("m0", 16_000, TO_MS) / 8
        self.assertLess(before, 3)
        self.assertGreater(after, 12)

    def test_only_the_answer_to_a_later_request_ends_a_limit(self):
        world = World(U1, U2)
        world.take(UpstreamLimited(1_000_000, U1, 1.0, 999_900))
        for now_ms, sent_ms, is_limited in (
            (1_000_100, 999_950, True),  # overtaken on another connection
            (1_000_200, None, True),  # a late answer to another request
            (1_000_300, 1_000_250, False),
        ):
            with self.subTest(now_ms=now_ms):
                world.take(UpstreamLimited(now_ms, U1, None, sent_ms))
                self.assertEqual(world.state.limit_of(U1) is not None, is_limited)

    def test_a_limit_outlives_a_lapse_of_the_registration(self):
        world = World(U1, U2)
        world.take(UpstreamLimited(world.now_ms, U1, 1.0, world.now_ms))
        world.take(UpstreamRemoved(world.now_ms, "u1"))
        world.now_ms += 5_000
        world.take(Tick(world.now_ms))
        world.take(UpstreamPublished(world.now_ms, U1))
        self.assertIsNotNone(world.state.limit_of(U1))
        world.take(UpstreamRemoved(world.now_ms, "u1"))
        world.now_ms += 30_000
        world.take(Tick(world.now_ms))
        self.assertEqual(world.state.named_limits, Map())

    def test_another_incarnation_has_named_nothing(self):
        world = World(U1)
        world.take(UpstreamLimited(world.now_ms, U1, 1.0, world.now_ms))
        reborn = U1._replace(born_ms=9)
        world.take(UpstreamPublished(world.now_ms, reborn))
        world.take(UpstreamLimited(world.now_ms, U1, 1.0, world.now_ms))
        self.assertIsNone(world.state.limit_of(reborn))

    def test_an_upstream_without_answers_for_long_is_asked_again(self):
        entries = 30
        worlds = [
            World(U1, U2, options=Options(f"e{n}", f"10.0.0.{n}"))
            for n in range(entries)
        ]
        asked = []
        for world in worlds:
            for n in range(entries):
                world.take(PeerReported(world.now_ms, f"10.0.0.{n}", Map()))
            world.take(UpstreamLimited(world.now_ms, U1, 1.0, world.now_ms))
            world.now_ms += 31_000
            sent = {effect.upstream.id for _ in range(2) for effect in world.arrive()}
            asked.append("u1" in sent)
        self.assertEqual(asked, [True] * entries)


class SharingTests(unittest.TestCase):
    """Reports between entries that are late, lost or malformed do no harm."""

    def _report(self, world, per_s, age_ms, born_ms=0):
        limit = NamedLimit(born_ms, per_s, world.now_ms - age_ms)
        limits = Map({"u1": limit})
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), limits=limits))

    def test_a_limit_is_learned_from_a_peer_and_ended_by_one(self):
        world = World(U1, U2)
        self._report(world, 1.0, 100)
        self.assertEqual(world.state.limit_of(U1).peer, "10.0.0.2")
        self._report(world, None, 50)
        self.assertIsNone(world.state.limit_of(U1))
        self._report(world, 1.0, 80)  # late
        self.assertIsNone(world.state.limit_of(U1))

    def test_only_what_the_entry_was_told_itself_and_lately_is_reported(self):
        world = World(U1, U2)
        self._report(world, 1.0, 0)
        self.assertEqual(limit_report(world.state, world.now_ms), Map())
        world.take(UpstreamLimited(world.now_ms, U1, 2.0, world.now_ms))
        self.assertEqual(set(limit_report(world.state, world.now_ms)), {"u1"})
        later_ms = world.now_ms + 3_000
        self.assertEqual(limit_report(world.state, later_ms), Map())

    def test_limits_of_other_incarnations_and_unknown_upstreams_are_ignored(self):
        world = World(U2)
        self._report(world, 1.0, 0)
        self.assertEqual(world.state.named_limits, Map())
        world = World(U1)
        self._report(world, 1.0, 0, born_ms=5)
        self.assertEqual(world.state.named_limits, Map())

    def test_reports_are_bounded(self):
        upstreams = [upstream(f"m{n}", "model") for n in range(60)]
        world = World(*upstreams)
        for listed in upstreams:
            world.take(UpstreamLimited(world.now_ms, listed, 1.0, world.now_ms))
        reported = limit_report(world.state, world.now_ms)
        self.assertEqual(len(reported), MAX_REPORTED_LIMITS)

    def test_a_report_keeps_its_limits_and_an_earlier_build_has_none(self):
        limits = Map(
            {"u1": NamedLimit(7, 1.5, 9_000), "u2": NamedLimit(7, None, 9_500)}
        )
        data = encode_report(Report(Map(), (), limits=limits), 10_000)
        read = decode_report(data, 50_000).limits
        self.assertEqual(read["u1"], NamedLimit(7, 1.5, 49_000))
        self.assertIsNone(read["u2"].per_s)
        earlier = cbor2.dumps(cbor2.loads(data)[:5])
        self.assertEqual(decode_report(earlier, 0).limits, Map())

    def test_malformed_limits_raise_one_error(self):
        items = cbor2.loads(encode_report(Report(Map(), ()), 0))
        for limits in ([1], {"u1": 1}, {"u1": [1, "x", 2]}, {"u1": [1, 2.0]}, 3):
            with self.subTest(limits=limits), self.assertRaises(ReportError):
                decode_report(cbor2.dumps([*items[:5], limits, *items[6:]]), 0)


class RefusalTests(unittest.TestCase):
    """Requests beyond every limit are refused at once, with a time to come back."""

    def test_a_request_beyond_the_limits_of_all_upstreams(self):
        world = World(U1, U2)
        for listed in (U1, U2):
            world.take(UpstreamLimited(world.now_ms, listed, 0.5, world.now_ms))
        effects = [world.arrive(wait_ms=20_000)[0] for _ in range(3)]
        self.assertEqual([type(e) for e in effects], [Send, Send, Refuse])
        refused = effects[-1]
        self.assertEqual((str(refused.kind), refused.ran), ("overloaded", False))
        self.assertGreaterEqual(refused.retry_after_ms, 200)

    def test_an_entry_without_a_share_refuses_at_once(self):
        refused = 0
        for number in range(12):
            world = World(U1, options=Options("e", f"10.0.0.{number}"))
            for n in range(12):
                world.take(PeerReported(world.now_ms, f"10.0.0.{n}", Map()))
            world.take(UpstreamLimited(world.now_ms, U1, 2.0, world.now_ms))
            (effect,) = world.arrive()
            refused += isinstance(effect, Refuse)
        self.assertEqual(refused, 12 - 4)


class HeaderTests(unittest.TestCase):
    """The header of an upstream's answer is decoded once."""

    def test_rates(self):
        for value, per_s in (
            (None, "none"),
            (b"1.1", 1.1),
            (b" 12 ", 12.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"many", None),
            (b"", None),
        ):
            with self.subTest(value=value):
                headers = [] if value is None else [(b"Server-Limit", value)]
                limit = answer_fields(
                    ResponseHead(200, b"OK", headers, Framing.NONE, True)
                ).limit
                self.assertEqual(limit.per_s if limit else "none", per_s)


if __name__ == "__main__":
    unittest.main()
