"""Replay loads in which there is too little: urgency, accounts, uneven entries."""

import random
import unittest
from collections import Counter

import cbor2
from immutables import Map

from nutmegslip_decisions.direct import (
    Measure,
    PeerReported,
    Tick,
    demand_report,
    load_report,
)
from nutmegslip_decisions.direct._demand import entry_share
from nutmegslip_decisions.direct._fair_shares import max_min_level
from nutmegslip_entry.direct._reports import Report, decode_report, encode_report
from tests.direct_fleet import HOLD_MS, STEP_MS, Fleet

ENTRIES = 4
SLOTS = 80
FULL_PER_S = SLOTS * 1_000 / HOLD_MS
DATAGRAM_BYTES = 1_400


def arrivals(seed, per_s, skew=1.5):
    """Return a function that draws arrivals; ``per_s`` maps (route, account) to rates.

    Entries get unequal parts, as if the balancer hashed callers.
    """
    draw = random.Random(seed)
    weights = [1 / (number + 1) ** (skew / 2) for number in range(ENTRIES)]

    def arrive(_):
        return [
            (draw.choices(range(ENTRIES), weights)[0], route, account)
            for (route, account), rate in per_s.items()
            for _ in range(_poisson(draw, rate * STEP_MS / 1_000))
        ]

    return arrive


def _poisson(draw, mean):
    number, left = 0, draw.expovariate(1)
    while left < mean:
        number, left = number + 1, left + draw.expovariate(1)
    return number


def shares(fleet, index):
    """Return the share that was served, by route (0) or account (1)."""
    served, refused = Counter(), Counter()
    for counts, total in ((fleet.served, served), (fleet.refused, refused)):
        for key, number in counts.items():
            total[key[index]] += number
    names = served.keys() | refused.keys()
    return {name: served[name] / (served[name] + refused[name]) for name in names}


class UrgencyTests(unittest.TestCase):
    def _burst(self, route, factor, seed):
        """Return the shares served of each kind while one of them bursts."""
        fleet = Fleet(ENTRIES, SLOTS, 1)
        mix = {"alarms": 0.4, "notes": 0.3, "digests": 0.2}
        usual = {(n, "account-0"): s * FULL_PER_S for n, s in mix.items()}
        fleet.run(4_000, arrivals(seed, usual))
        bursting = usual | {
            (route, "account-0"): mix[route] * FULL_PER_S * factor,
        }
        fleet.served.clear()
        fleet.refused.clear()
        fleet.run(5_000, arrivals(seed + 1, bursting))
        return shares(fleet, 0)

    def test_share_served_falls_with_urgency_in_a_burst_of_each_kind(self):
        for route, factor in (("digests", 4), ("notes", 3), ("alarms", 2)):
            for seed in (1, 11):
                with self.subTest(burst=route, seed=seed):
                    found = self._burst(route, factor, seed)
                    self.assertGreaterEqual(found["alarms"], found["notes"] - 0.05)
                    self.assertGreaterEqual(found["notes"], found["digests"] - 0.05)

    def test_urgent_requests_find_room_in_a_burst_of_the_least_urgent(self):
        self.assertGreater(self._burst("digests", 6, 5)["alarms"], 0.97)

    def test_the_least_urgent_get_a_floor_while_the_urgent_want_more_than_all(self):
        fleet = Fleet(ENTRIES, SLOTS, 1)
        wanted = {("alarms", "account-0"): 5.0, ("digests", "account-0"): 0.3}
        per_s = {key: share * FULL_PER_S for key, share in wanted.items()}
        fleet.run(12_000, arrivals(3, per_s))
        least = fleet.served["digests", "account-0"] / (12 * FULL_PER_S)
        self.assertGreater(least, 0.02)
        self.assertLess(least, 0.1)


class FairShareTests(unittest.TestCase):
    def test_no_account_gets_under_half_its_fair_share_at_four_times_the_load(self):
        for route in ("notes", "alarms"):
            for large in (0.5, 0.8):
                with self.subTest(large=large, route=route):
                    self._check_shares(route, large)

    def _check_shares(self, route, large):
        fleet = Fleet(ENTRIES, SLOTS, 24)
        small = 4 * FULL_PER_S * (1 - large) / 23
        per_s = {("notes", f"account-{n}"): small for n in range(1, 24)}
        per_s[route, "account-0"] = 4 * FULL_PER_S * large
        fleet.run(4_000, arrivals(7, per_s))
        fleet.served.clear()
        fleet.refused.clear()
        fleet.run(12_000, arrivals(8, per_s))
        served = fleet.served
        asked = served + fleet.refused
        level = max_min_level(asked.values(), 12 * FULL_PER_S)
        for key, number in asked.items():
            self.assertGreater(served[key], min(number, level) / 2, key)
        self.assertGreater(served.total(), 0.93 * 12 * FULL_PER_S)

    def test_a_lone_account_takes_all(self):
        fleet = Fleet(ENTRIES, SLOTS, 24)
        per_s = {("notes", "account-0"): 4 * FULL_PER_S}
        fleet.run(10_000, arrivals(9, per_s))
        served = fleet.served["notes", "account-0"] / (10 * FULL_PER_S)
        self.assertGreater(served, 0.95)

    def test_hopeless_requests_of_many_small_accounts_are_refused_at_once(self):
        fleet = Fleet(1, SLOTS, 300)
        large = [(0, "notes", "account-0")] * 3
        fleet.run(1_000, lambda _: large)
        self.assertIn("model", fleet.worlds[0].state.fair_slots)
        burst = [(0, "notes", f"account-{number}") for number in range(1, 300)]
        fleet.run(STEP_MS, lambda _: burst)
        self.assertLess(len(fleet.worlds[0].state.waiting["model"]), 40)

    def test_levels_are_max_min(self):
        self.assertIsNone(max_min_level([3, 4], 7))
        self.assertEqual(max_min_level([1, 9, 9], 9), 4)
        self.assertEqual(max_min_level([9, 9], -1), 0)


class DemandTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(ENTRIES, SLOTS, 60)
        accounts = [f"account-{number}" for number in range(60)]
        per_s = {("notes", name): FULL_PER_S * 0.9 / 60 for name in accounts}
        self.fleet.run(3_000, arrivals(4, per_s))
        self.world = self.fleet.worlds[0]

    def _report(self, number):
        state = self.fleet.worlds[number].state
        return PeerReported(
            self.fleet.now_ms,
            state.options.address,
            Map(load_report(state)),
            demand=demand_report(state, self.fleet.now_ms),
        )

    def test_shares_of_entries_follow_their_demand_and_sum_to_one(self):
        found = [
            entry_share(world.state, "model", self.fleet.now_ms)
            for world in self.fleet.worlds
        ]
        self.assertAlmostEqual(sum(found), 1.0, delta=0.05)
        self.assertGreater(found[0], 1.3 / ENTRIES)
        self.assertLess(found[-1], 0.8 / ENTRIES)

    def test_repeated_and_empty_reports_change_totals_by_their_difference(self):
        self.world.take(self._report(1))
        before = self.world.state.peer_demand
        self.world.take(self._report(1))
        self.assertEqual(self.world.state.peer_demand, before)
        address = self.fleet.worlds[1].state.options.address
        self.world.take(PeerReported(self.fleet.now_ms, address, Map()))
        key = ("model", Measure.ENTRIES, "")
        self.assertEqual(self.world.state.peer_demand[key], ENTRIES - 2)

    def test_demand_of_a_silent_peer_expires_and_shares_are_then_even(self):
        self.world.take(Tick(self.fleet.now_ms + 1_600))
        self.assertEqual(self.world.state.peer_demand, Map())
        share = entry_share(self.world.state, "model", self.fleet.now_ms + 1_600)
        self.assertAlmostEqual(share, 1 / ENTRIES)

    def test_a_report_names_the_heaviest_accounts_and_is_bounded(self):
        report = self._report(0)
        names = {name for (_, m, name) in report.demand if m is Measure.USED}
        self.assertLessEqual(len(names), 33)
        total = sum(
            number for (_, m, _), number in report.demand.items() if m is Measure.USED
        )
        self.assertEqual(total, sum(load_report(self.world.state).values()))
        data = encode_report(Report(Map(), (), demand=report.demand), 0)
        self.assertLess(len(data), DATAGRAM_BYTES)
        self.assertEqual(decode_report(data, 0).demand, report.demand)

    def test_counts_that_only_a_later_build_knows_are_ignored(self):
        *head, demand = cbor2.loads(
            encode_report(Report(Map(), (), demand=self._report(0).demand), 0)
        )
        demand["model"]["later"] = {"x": 1}
        decoded = decode_report(cbor2.dumps([*head, demand]), 0)
        self.assertEqual(decoded.demand, self._report(0).demand)

    def test_nothing_is_counted_in_flight_when_all_has_ended(self):
        self.fleet.run(6_000, lambda _: [])
        for world in self.fleet.worlds:
            self.assertEqual(world.state.demand.in_flight, Map())
            self.assertEqual(world.state.demand.recent, Map())
            self.assertEqual(world.state.fair_slots, Map())


if __name__ == "__main__":
    unittest.main()
