"""Test which entry changes expert maps while entries start, stop and fall silent.

With the lowest address in office, an entry that had just started deposed a working
leader, and while a leader was frozen all waited for one that had just been restarted:
groups stood still for six seconds with a pass held.
"""

import unittest
from random import Random

from immutables import Map

from nutmegslip_decisions.direct import (
    Options,
    PeerReported,
    Tenure,
    highest_fence,
    leader_silence_ms,
    next_tenure,
    standing_of,
)
from nutmegslip_decisions.direct._leadership import DISCOVERY_MS, LEADER_TIMEOUT_MS
from tests.direct_world import World

STEP_MS = 100
TAKEOVER_MS = LEADER_TIMEOUT_MS + 2 * STEP_MS


class Entry:
    """One entry; it neither runs nor hears anything until ``frozen_until_ms``."""

    def __init__(self, number):
        self.address = f"10.0.0.{number}"
        self.world = World(options=Options(self.address, self.address))
        self.tenure = Tenure()
        self.stopping = self.busy = False
        self.frozen_until_ms = 0
        self.fence = number


class Fleet:
    def __init__(self, count, loss=0.0):
        self.now_ms = 1_000_000
        self.random = Random(1)
        self.loss = loss
        self.cut = set()
        self.entries = [Entry(number) for number in range(count)]

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            running = [e for e in self.entries if e.frozen_until_ms <= self.now_ms]
            for entry in running:
                entry.tenure = next_tenure(
                    entry.world.state,
                    entry.tenure,
                    stopping=entry.stopping,
                    busy=entry.busy,
                    now_ms=self.now_ms,
                )
            for sender in running:
                self._report(sender, running)

    def _report(self, sender, receivers):
        standing = standing_of(
            sender.tenure,
            stopping=sender.stopping,
            fence=sender.fence,
            now_ms=self.now_ms,
        )
        for receiver in receivers:
            lost = self.random.random() < self.loss
            cut = (sender in self.cut) != (receiver in self.cut)
            if receiver is not sender and not lost and not cut:
                report = PeerReported(
                    self.now_ms, sender.address, Map(), standing=standing
                )
                receiver.world.take(report)

    @property
    def leaders(self):
        return [number for number, e in enumerate(self.entries) if e.tenure.leads]


class LeadershipTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(4)
        self.fleet.run(DISCOVERY_MS + 3 * STEP_MS)

    def test_entries_that_start_together_agree_on_one(self):
        self.assertEqual(self.fleet.leaders, [0])

    def test_one_leads_although_reports_are_lost(self):
        fleet = Fleet(6, loss=0.2)
        fleet.run(20_000)
        self.assertEqual(len(fleet.leaders), 1)

    def test_an_entry_that_starts_deposes_nobody(self):
        entries = self.fleet.entries
        entries[0].frozen_until_ms = self.fleet.now_ms + 60_000
        self.fleet.run(TAKEOVER_MS)
        self.assertEqual(self.fleet.leaders[1:], [1])
        entries[0] = Entry(0)
        self.fleet.run(5_000)
        self.assertEqual(self.fleet.leaders, [1])

    def test_a_silent_leader_is_replaced_though_the_next_in_line_just_started(self):
        entries = self.fleet.entries
        entries[1] = Entry(1)
        entries[0].frozen_until_ms = self.fleet.now_ms + 4_000
        self.fleet.run(TAKEOVER_MS)
        self.assertEqual(self.fleet.leaders[1:], [2])

    def test_a_leader_that_wakes_up_leaves_it_to_its_successor(self):
        self.fleet.entries[0].frozen_until_ms = self.fleet.now_ms + 4_000
        self.fleet.run(4_000 + 2 * STEP_MS)
        self.assertEqual(self.fleet.leaders, [1])

    def test_a_leader_that_stops_first_ends_its_change(self):
        leader = self.fleet.entries[0]
        leader.stopping = leader.busy = True
        self.fleet.run(1_000)
        self.assertEqual(self.fleet.leaders, [0])
        leader.busy = False
        self.fleet.run(2 * STEP_MS)
        self.assertEqual(self.fleet.leaders, [1])

    def test_after_a_partition_one_of_two_leaders_stays(self):
        self.fleet.cut = set(self.fleet.entries[2:])
        self.fleet.run(3_000)
        self.assertEqual(self.fleet.leaders, [0, 2])
        self.fleet.cut = set()
        self.fleet.run(3 * STEP_MS)
        self.assertEqual(self.fleet.leaders, [0])

    def test_only_a_leader_that_has_not_resigned_counts_as_silent(self):
        fleet = self.fleet
        fleet.entries[0].fence = 9
        fleet.run(2 * STEP_MS)
        fleet.entries[0].frozen_until_ms = fleet.now_ms + 60_000
        fleet.run(TAKEOVER_MS)
        successor, third = fleet.entries[1:3]
        silence_ms = leader_silence_ms(successor.world.state, fleet.now_ms)
        self.assertGreaterEqual(silence_ms, LEADER_TIMEOUT_MS)
        successor.fence = 10
        fleet.run(2 * STEP_MS)
        successor.stopping = True
        fleet.run(2 * STEP_MS)
        self.assertTrue(third.tenure.leads)
        self.assertEqual(leader_silence_ms(third.world.state, fleet.now_ms), 0)

    def test_an_entry_learns_the_highest_fence_in_use(self):
        self.assertEqual(highest_fence(self.fleet.entries[0].world.state), 3)


if __name__ == "__main__":
    unittest.main()
