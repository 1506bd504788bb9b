"""Test that all entries together keep to the limits that upstreams name."""

import unittest

from tests.named_limits_world import HEALTHY, LimitedFleet, Naming

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
        for fleet in self._fleets(named(ALL[:3], 0.5)):
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


if __name__ == "__main__":
    unittest.main()
