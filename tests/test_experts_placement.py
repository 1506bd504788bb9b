"""Test the placement of experts against brute-force versions of it."""

import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegslip_decisions.experts.placement import (
    SHARE_UNIT,
    LayerMap,
    LoadReport,
    PlacementOptions,
    Slots,
    moves_per_layer,
    place_from_scratch,
    plan,
    plan_even_shares,
)
from nutmegslip_decisions.experts.placement._search import improvements
from nutmegslip_decisions.experts.placement._shares import (
    balance_split,
    even_split,
    from_layer_map,
)

LOADS = st.lists(st.integers(0, 1000), min_size=4, max_size=7)
SPEEDS = st.lists(st.sampled_from((0.5, 1.0, 1.5)), min_size=2, max_size=4)


def brute_force_peak(
    slots: list[list[int]], loads: list[int], speeds: list[float]
) -> float:
    """Return the least possible peak, by brute force over all sets of experts.

    It is the largest ratio of a set's tokens to the total speed of the ranks that hold
    at least one expert of the set.
    """
    holders = [
        {rank for rank, held in enumerate(slots) if expert in held}
        for expert in range(len(loads))
    ]
    sets = itertools.chain.from_iterable(
        itertools.combinations(range(len(loads)), size)
        for size in range(1, len(loads) + 1)
    )
    return max(
        sum(loads[expert] for expert in chosen)
        / sum(speeds[rank] for rank in set().union(*(holders[e] for e in chosen)))
        for chosen in sets
    )


@st.composite
def held_experts(draw: st.DrawFn) -> tuple[list[list[int]], list[int], list[float]]:
    loads, speeds = draw(LOADS), draw(SPEEDS)
    rank = st.integers(0, len(speeds) - 1)
    holders = [draw(st.sets(rank, min_size=1)) for _ in loads]
    slots = [[e for e, h in enumerate(holders) if r in h] for r in range(len(speeds))]
    return slots, loads, speeds


class BalanceTests(unittest.TestCase):
    @settings(max_examples=200)
    @given(held_experts())
    def test_balanced_shares_reach_the_least_possible_peak(self, case):
        slots, loads, speeds = case
        peak = balance_split(even_split(slots, loads), speeds)
        least = brute_force_peak(slots, loads, speeds)
        self.assertGreaterEqual(peak, least * (1 - 1e-9))
        self.assertLessEqual(peak, least * 1.01 + 1e-9)


class PlaceTests(unittest.TestCase):
    @given(LOADS, SPEEDS, st.integers(0, 2))
    def test_a_map_holds_every_expert_within_the_slots(self, loads, speeds, spare):
        slots_per_rank = -(-len(loads) // len(speeds)) + spare
        layer = place_from_scratch(loads, speeds, slots_per_rank)
        check_layer(self, layer, len(loads), slots_per_rank)


class SearchTests(unittest.TestCase):
    @settings(max_examples=60)
    @given(LOADS, SPEEDS)
    def test_the_first_move_is_near_the_best_of_all_moves(self, loads, speeds):
        slots_per_rank = -(-len(loads) // len(speeds)) + 1
        first = place_from_scratch([1.0] * len(loads), speeds, slots_per_rank)
        split = from_layer_map(first, loads)
        found = list(improvements(split, speeds, slots_per_rank, 1))[-1]
        every = [
            brute_force_peak(slots, loads, speeds)
            for slots in all_moves([list(held) for held in first.slots])
        ]
        self.assertLessEqual(found.peak, min(every) * 1.02 + 1e-9)


class PlanTests(unittest.TestCase):
    @given(LOADS, SPEEDS, LOADS)
    def test_a_plan_keeps_the_bounds_and_never_lengthens_a_step(
        self, loads, speeds, others
    ):
        loads, others = zip(*zip(loads, others, strict=False), strict=True)
        slots_per_rank = -(-len(loads) // len(speeds)) + 1
        options = PlacementOptions(slots_per_rank)
        current = (place_from_scratch(loads, speeds, slots_per_rank),)
        report = LoadReport((tuple(map(float, others)),), tuple(speeds))
        made = plan(current, report, options)
        check_layer(self, made.placement[0], len(loads), slots_per_rank)
        self.assertGreaterEqual(made.gain, -1e-9)
        self.assertEqual(made, plan(current, report, options))
        if made.gain == 0:
            self.assertEqual(made.moves, 0)

    def test_a_move_that_costs_more_than_it_saves_is_not_planned(self):
        layer = LayerMap(((0, 1), (2, 3)), ((SHARE_UNIT,) * 2,) * 2)
        report = LoadReport(((300.0, 300.0, 100.0, 100.0),), (1.0, 1.0))
        for store_bytes_per_s, ordered in ((10**9, True), (10**5, False)):
            options = PlacementOptions(3, store_bytes_per_s=store_bytes_per_s)
            made = plan((layer,), report, options)
            self.assertEqual(made.moves > 0, ordered)


class EvenShareTests(unittest.TestCase):
    """Replay shifts of popularity among many experts with few places on a rank."""

    RANKS, EXPERTS, PLACES, SPARE, COPY_MS = 72, 144, 3, 2, 16.4

    def setUp(self):
        self.random = random.Random(1)
        self.slots = tuple(
            (rank, rank + self.RANKS) for rank in range(self.RANKS)
        )  # the map that a group forms with
        self.moves = moves_per_layer(self.RANKS, 12, self.COPY_MS)

    def popularity(self) -> list[float]:
        loads = [(place + 1) ** -0.53 for place in range(self.EXPERTS)]
        self.random.shuffle(loads)
        return loads

    def plan(self, loads: list[float]) -> Slots:
        return plan_even_shares(
            self.slots, loads, self.PLACES, self.SPARE, self.COPY_MS, self.moves
        ).slots

    def peak(self, slots: Slots, loads: list[float]) -> float:
        """Return the busiest rank's tokens over the mean."""
        copies = [sum(expert in held for held in slots) for expert in range(len(loads))]
        work = [sum(loads[e] / copies[e] for e in held) for held in slots]
        return max(work) * len(work) / sum(loads)

    def test_one_change_answers_a_shift_of_popularity(self):
        """A plan that stops where two ranks are as busy ends at 1.8 times the mean."""
        for _ in range(6):
            loads = self.popularity()
            self.assertGreater(self.peak(self.slots, loads), 2.4)
            slots = self.plan(loads)
            self.assertLess(self.peak(slots, loads), 1.65)
            self.assert_can_be_prepared(slots)
            self.slots = slots

    def test_one_change_takes_the_experts_from_slow_ranks(self):
        """A rank that takes 12 times as long makes all others wait for its experts."""
        for slow in (1, 11):
            with self.subTest(slow=slow):
                slowness = [12.0] * slow + [1.0] * (self.RANKS - slow)
                loads = self.popularity()
                planned = plan_even_shares(
                    self.slots, loads, self.PLACES, self.SPARE, 5.8, 24, slowness
                )
                self.assert_can_be_prepared(planned.slots)
                self.assertFalse(any(planned.slots[:slow]))
                self.assertLess(planned.peak_after, planned.peak_before / 4)

    def test_a_rank_that_is_a_little_slower_gets_fewer_tokens(self):
        loads = [1.0] * self.EXPERTS
        slowness = [1.6] + [1.0] * (self.RANKS - 1)
        planned = plan_even_shares(
            self.slots, loads, self.PLACES, self.SPARE, 5.8, 24, slowness
        )
        self.assertLess(planned.peak_after, planned.peak_before)

    def assert_can_be_prepared(self, slots: Slots) -> None:
        self.assertEqual(set(itertools.chain(*slots)), set(range(self.EXPERTS)))
        for old, new in zip(self.slots, slots, strict=True):
            self.assertLessEqual(len(new), self.PLACES)
            self.assertLessEqual(len(set(new) - set(old)), self.SPARE)

    def test_an_expert_moves_away_where_a_copy_alone_would_relieve_less(self):
        loads = [40.0, 30.0, 1.0, 1.0, 1.0, 1.0]
        slots = ((0, 1), (2, 3), (4, 5))
        made = plan_even_shares(slots, loads, 3, 2, max_moves=1)
        self.assertEqual(made.peak_after, 40.0)

    def test_more_is_copied_where_a_copy_takes_less_time(self):
        """Slow links, and those of unknown speed, carry as few copies as before."""
        self.assertEqual(moves_per_layer(12, 3, 142.0), 5)
        self.assertEqual(moves_per_layer(12, 3, 0.0), 5)
        self.assertGreater(moves_per_layer(72, 12, 16.4), 20)


def all_moves(slots: list[list[int]]) -> list[list[list[int]]]:
    """Return the slots after no move, and after each move that loses no expert."""
    experts = set().union(*slots)
    results = [slots]
    for rank, expert in itertools.product(range(len(slots)), experts):
        if expert in slots[rank]:
            continue
        for index in range(len(slots[rank])):
            changed = [list(held) for held in slots]
            changed[rank][index] = expert
            if set().union(*changed) == experts:
                results.append(changed)
    return results


def check_layer(
    test: unittest.TestCase, layer: LayerMap, experts: int, slots_per_rank: int
) -> None:
    shares = [0] * experts
    for held, parts in zip(layer.slots, layer.shares, strict=True):
        test.assertLessEqual(len(held), slots_per_rank)
        test.assertEqual(len(held), len(set(held)))
        for expert, share in zip(held, parts, strict=True):
            shares[expert] += share
    test.assertEqual(shares, [SHARE_UNIT] * experts)
