"""Test that the retries of all entries together stay within a service's budget."""

import unittest

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Declined,
    GroupRank,
    Options,
    Refuse,
    RequestEnded,
    Send,
    Tick,
)
from tests.direct_world import World, upstream
from tests.retry_budget_world import Fleet, Load

SEEDS = (1, 2, 3)
KILLED = tuple((8_000, number) for number in range(4))
ALL_KILLED = tuple((8_000, number) for number in range(6))
ROLLED = tuple((4_000 + 1_000 * number, number) for number in range(6))
CRASH_LOOP = tuple((4_000 + 1_500 * turn, 0) for turn in range(8))
CUT = ((0, 24_000, 0), (0, 24_000, 1))


class RetryBudgetTests(unittest.TestCase):
    """More retries reach a service than its budget, although each entry has a share."""

    def _check(self, load):
        fleets = {seed: Fleet(seed, load) for seed in SEEDS}
        for fleet in fleets.values():
            fleet.run()
            self.assertGreater(len(fleet.retries_ms), 100)
        excess = {seed: fleet.excess() for seed, fleet in fleets.items()}
        self.assertEqual({seed: e for seed, e in excess.items() if e > 0}, {})

    def test_lost_answers(self):
        self._check(Load())

    def test_lost_answers_while_entries_are_killed(self):
        self._check(Load(restarts=KILLED))

    def test_lost_answers_while_all_entries_are_killed(self):
        self._check(Load(restarts=ALL_KILLED))

    def test_lost_answers_while_entries_restart_in_turn(self):
        self._check(Load(restarts=ROLLED))

    def test_lost_answers_while_one_entry_crashes_again_and_again(self):
        self._check(Load(restarts=CRASH_LOOP))

    def test_lost_answers_while_entries_are_cut_off(self):
        self._check(Load(cuts=CUT))

    def test_requests_before_the_window_earn_no_retry(self):
        options = Options("entry-1", budget_ratio=0.2, budget_slack=0.0)
        world = World(*(upstream(f"u{n}", slots=99) for n in (1, 2)), options=options)
        world.now_ms += 500 - world.now_ms % 500  # the start of a bucket
        for _ in range(20):
            world.arrive()
        world.now_ms += options.budget_window_ms + 400
        (sent,) = world.arrive()
        failed = AttemptFailed(world.now_ms, sent.request.ticket, Broken())
        (effect,) = world.take(failed)
        self.assertNotIsInstance(effect, Send)

    def test_retries_that_wait_for_a_slot(self):
        # One group fails as a whole while every slot of the other one is taken.
        options = Options("entry-1", budget_ratio=0.0, budget_slack=3.0)
        ranks = [GroupRank(f"g{n}", 1, 0, is_open=True, size=1) for n in (1, 2)]
        world = World(
            *(upstream(r.group, "model", slots=10, rank=r) for r in ranks),
            options=options,
        )
        sent = [world.arrive("/verses/1")[0] for _ in range(20)]
        lost = [effect.request.ticket for effect in sent if effect.upstream.id == "g1"]
        refused = []
        for ticket in lost:
            failure = Declined(at_fault="g1")
            failed = AttemptFailed(world.now_ms, ticket, failure, streaming=True)
            refused += world.take(failed)
        self.assertEqual([type(effect) for effect in refused], [Refuse] * 7)
        retried = [
            effect
            for held in sent
            if held.upstream.id == "g2"
            for effect in world.take(
                RequestEnded(world.now_ms, held.request.ticket, answered=True)
            )
        ]
        self.assertEqual([type(effect) for effect in retried], [Send] * 3)

    def test_retries_whose_budget_ends_while_they_wait(self):
        options = Options("entry-1", budget_ratio=0.5, budget_window_ms=2_000)
        names = ("m1", "m2")
        world = World(*(upstream(n, "model", slots=10) for n in names), options=options)
        sent = [world.arrive("/verses/1")[0] for _ in range(20)]
        world.now_ms += 1_500
        lost = [effect.request.ticket for effect in sent if effect.upstream.id == "m1"]
        for ticket in lost[:6]:
            failed = AttemptFailed(world.now_ms, ticket, Broken(), streaming=True)
            self.assertEqual(world.take(failed), ())
        world.now_ms += 1_000
        effects = world.take(Tick(world.now_ms))
        self.assertEqual([type(effect) for effect in effects], [Refuse] * 6)


if __name__ == "__main__":
    unittest.main()
