"""Replay few requests from each of many entries to many upstreams."""

import unittest
from collections import Counter

from immutables import Map

from nutmegslip_decisions.direct import (
    Options,
    PeerReported,
    RequestEnded,
    Tick,
    UpstreamPublished,
    UpstreamRemoved,
)
from nutmegslip_decisions.direct._subsets import MIN_OWNERS, subset_of
from tests.direct_world import World, upstream

ENTRIES = tuple(f"10.0.{zone}.{n}" for zone in range(3) for n in range(4))
UPSTREAMS = tuple(f"i-{n:04x}" for n in range(72))


def owners_of(entries, upstreams=UPSTREAMS, owners=4):
    """Return the entries that prefer each upstream."""
    found = {name: set() for name in upstreams}
    for entry in entries:
        for name in subset_of(entry, entries, upstreams, owners):
            found[name].add(entry)
    return found


class SubsetTests(unittest.TestCase):
    def test_each_upstream_has_as_many_owners(self):
        counts = {len(owners) for owners in owners_of(ENTRIES).values()}
        self.assertEqual(counts, {4})

    def test_entries_own_about_as_many_upstreams(self):
        sizes = Counter(e for owners in owners_of(ENTRIES).values() for e in owners)
        self.assertGreater(min(sizes.values()), 12)  # of 24 on average
        self.assertLess(max(sizes.values()), 36)

    def test_an_entry_that_leaves_moves_only_its_own(self):
        before, after = owners_of(ENTRIES), owners_of(ENTRIES[1:])
        for name, owners in before.items():
            with self.subTest(name=name):
                kept = owners - {ENTRIES[0]}
                self.assertLessEqual(kept, after[name])
                self.assertEqual(len(after[name]), 4)

    def test_an_upstream_that_leaves_moves_no_other(self):
        after = owners_of(ENTRIES, UPSTREAMS[1:])
        before = owners_of(ENTRIES)
        self.assertEqual(after, {name: before[name] for name in UPSTREAMS[1:]})

    def test_few_entries_prefer_all(self):
        self.assertEqual(subset_of("e", ("e", "f"), UPSTREAMS, 2), set(UPSTREAMS))


class ChoiceTests(unittest.TestCase):
    def setUp(self):
        self._start(ENTRIES[0])

    def _start(self, address):
        upstreams = [upstream(name, "model", slots=10) for name in UPSTREAMS]
        options = Options("entry", address, entries=len(ENTRIES))
        self.world = World(*upstreams, options=options)
        for peer in set(ENTRIES) - {address}:
            self._report(peer, {})
        self.world.take(Tick(self.world.now_ms))
        self.subset = self.world.state.subsets["model"]

    def _report(self, peer, loads):
        self.world.take(PeerReported(self.world.now_ms, peer, Map(loads)))

    def _send(self, count=20):
        """Return who gets single requests."""
        chosen = []
        for _ in range(count):
            self.world.now_ms += 1_100
            (effect,) = self.world.arrive("/verses/1")
            self.world.take(RequestEnded(self.world.now_ms, self.world.tickets, True))
            chosen.append(effect.upstream.id)
        return set(chosen)

    def test_under_even_load_the_subset_is_used(self):
        self.assertEqual(self.subset.owners, MIN_OWNERS)
        self.assertLessEqual(self._send(), self.subset.members)

    def test_a_subset_with_more_load_is_left(self):
        self._report(ENTRIES[1], dict.fromkeys(self.subset.members, 2))
        self.assertFalse(self._send() & self.subset.members)

    def test_entries_with_the_same_reports_do_not_fill_the_same_upstreams(self):
        loads = dict.fromkeys(UPSTREAMS, 3) | dict.fromkeys(UPSTREAMS[:3], 1)
        sent = Counter()
        for number in range(200):
            self._start(ENTRIES[number % len(ENTRIES)])
            self._report("10.0.9.9", loads)
            (effect,) = self.world.arrive("/verses/1", request_id=f"h{number}")
            sent[loads[effect.upstream.id]] += 1
        # As many as with one sample of twelve, and those that have one in their own.
        self.assertLess(sent[1], 150)
        self.assertGreater(sent[1], 50)

    def test_a_lost_subset_is_replaced(self):
        self._report(ENTRIES[1], dict.fromkeys(self.subset.members, 10))
        self.assertEqual(len(self._send(1)), 1)

    def test_a_changed_list_changes_the_subset_as_a_new_one(self):
        self.world.take(
            UpstreamRemoved(self.world.now_ms, sorted(self.subset.members)[0])
        )
        for name in ("i-1000", "i-1001", "i-1002", "i-1003"):
            self.world.take(
                UpstreamPublished(self.world.now_ms, upstream(name, "model"))
            )
        self.world.now_ms += 1
        self.world.take(Tick(self.world.now_ms))
        found = self.world.state.subsets["model"]
        listed = self.world.state.by_service["model"]
        self.assertNotEqual(found.upstreams, self.subset.upstreams)
        expected = subset_of(ENTRIES[0], ENTRIES, listed, found.owners)
        self.assertEqual(found.members, expected)

    def test_demand_widens_the_subset(self):
        narrow = self.subset
        for _ in range(150):
            self.world.now_ms += 60
            self.world.arrive("/verses/1")
            ended = RequestEnded(self.world.now_ms, self.world.tickets, True)
            self.world.take(ended)
        self.world.take(Tick(self.world.now_ms))
        wide = self.world.state.subsets["model"]
        self.assertGreater(wide.owners, narrow.owners)
        self.assertLess(narrow.members, wide.members)


if __name__ == "__main__":
    unittest.main()
