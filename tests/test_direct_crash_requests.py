"""Test that a request that crashes each upstream that runs it is found and withheld.

It has the same path, caller and body each time, and comes to any entry. Without that,
it takes out all upstreams of a service as soon as they are back.
"""

import unittest

from tests.crash_requests_world import MAX_LATE_SENDS, Fleet, Load

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

    def test_while_entries_restart(self):
        # The bound excuses entries that have just started, so this one is stricter.
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


if __name__ == "__main__":
    unittest.main()
