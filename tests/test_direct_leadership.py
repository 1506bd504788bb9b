"""Test which entry changes expert maps, and from which counts."""

import unittest
from types import SimpleNamespace

import cbor2
import gevent
from gevent import socket
from immutables import Map

from nutmegslip_decisions.direct import (
    ExpertLayout,
    PeerReported,
    is_candidate,
    is_first_candidate,
)
from nutmegslip_decisions.direct._leadership import (
    CANDIDATE_TIMEOUT_MS,
    PEER_DISCOVERY_MS,
)
from nutmegslip_decisions.experts import rollout
from nutmegslip_decisions.experts.rollout import IDENTITY_COUNT, next_fence
from nutmegslip_entry.direct._expert_loads import ExpertLoads
from nutmegslip_entry.direct._expert_maps import FIRST_INTERVAL_MS
from nutmegslip_entry.direct._peers import Peers
from tests.direct_world import World, upstream

OWN = "10.1.0.10"
LAYOUT = ExpertLayout(layers=2, experts=2, places=2, spare=1)


class LeadershipTests(unittest.TestCase):
    """Replay the restart of entries one after the other.

    The leader stops while the popularity of experts shifts, and starts again before
    the next one has noticed; no map changed for twelve seconds.
    """

    def test_who_is_a_candidate(self):
        cases = (
            ("just started", 0, False, False, False),
            ("knows its peers", PEER_DISCOVERY_MS, False, False, True),
            ("stops in a change", 9_000, True, True, True),
            ("stops", 9_000, True, False, False),
        )
        for name, now_ms, stopping, changing, expected in cases:
            with self.subTest(name):
                found = is_candidate(0, now_ms, stopping=stopping, changing=changing)
                self.assertIs(found, expected)

    def test_which_peers_go_before(self):
        cases = (
            ("a lower candidate", "10.1.0.9", True, 0, False),
            ("a lower one that starts or stops", "10.1.0.9", False, 0, True),
            (
                "a lower one that is silent",
                "10.1.0.9",
                True,
                CANDIDATE_TIMEOUT_MS,
                True,
            ),
            ("a higher candidate", "10.1.0.11", True, 0, True),
        )
        for name, peer, candidate, age_ms, expected in cases:
            with self.subTest(name):
                world = World()
                now_ms = world.now_ms
                world.take(PeerReported(now_ms, peer, Map(), candidate))
                found = is_first_candidate(world.state, OWN, now_ms + age_ms)
                self.assertIs(found, expected)


class PeerReportTests(unittest.TestCase):
    """Test the reports of peers of this version and of the one before."""

    def _receive(self, data):
        """Return the events, fences and failures of a received datagram."""
        events, fences, failures = [], [], []
        machine = SimpleNamespace(clock=lambda: 5, dispatch=events.append)
        peers = Peers(
            machine,
            ("127.0.0.1", 0),
            tuple,
            lambda: True,
            fences.append,
            failures.append,
        )
        receiver = gevent.spawn(peers.run)
        address = peers._socket.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data, address)
            with gevent.Timeout(2):
                while not (events or fences or failures):
                    gevent.sleep(0.01)
        receiver.kill()
        return events, fences, failures

    def test_a_report_says_whether_its_sender_may_lead(self):
        cases = (
            ([{"u1": 2}, ["10.1.0.9"]], True),
            ([{"u1": 2}, ["10.1.0.9"], "no-candidate"], False),
        )
        for message, expected in cases:
            with self.subTest(message):
                (event,), fences, failures = self._receive(cbor2.dumps(message))
                self.assertEqual((fences, failures), ([], []))
                self.assertEqual(event.in_flight, Map({"u1": 2}))
                self.assertIs(event.is_candidate, expected)

    def test_the_fence_of_a_peer_is_heard(self):
        received = self._receive(cbor2.dumps({"fence": 2**50}))
        self.assertEqual(received, ([], [2**50], []))

    def test_an_unreadable_message_is_logged(self):
        for message in ([1], {"other": 1}, {"fence": "x"}, 7, b""):
            with self.subTest(message):
                events, fences, failures = self._receive(cbor2.dumps(message))
                self.assertEqual((events, fences, len(failures)), ([], [], 1))


class FenceTests(unittest.TestCase):
    """Guard against a new leader whose first orders are refused by all ranks."""

    def test_a_fence_is_above_the_store_and_the_peers(self):
        own = 7
        cases = ((100, 0), (100, 90 * IDENTITY_COUNT + 9), (100, 300 * IDENTITY_COUNT))
        for order, heard in cases:
            with self.subTest(order=order, heard=heard):
                fence = next_fence(order, heard, own)
                self.assertGreater(fence, heard)
                self.assertGreaterEqual(fence, order * IDENTITY_COUNT)
                self.assertEqual(fence % IDENTITY_COUNT, own)


class FirstChangeTests(unittest.TestCase):
    """Guard against a new leader that ignores the first loads it has measured."""

    def test_the_first_loads_of_a_new_leader_begin_a_change(self):
        start_ms = 5_000
        state = rollout.State(rollout.Options(1, places=2, spare=1))
        layout = (((0,), (1,)),)
        report = rollout.RankReport(1, 9, 0, None, None, None)
        for event in (
            rollout.GroupUpdated(start_ms, rollout.Group("g", 1, ("m1", "m2"))),
            rollout.Tick(start_ms, True, IDENTITY_COUNT),
            rollout.LayoutRead(start_ms, 1, 0, layout),
            rollout.ReportReceived(start_ms, "m1", report),
            rollout.ReportReceived(start_ms, "m2", report),
            rollout.LoadsMeasured(start_ms + FIRST_INTERVAL_MS, ((9.0, 1.0),)),
        ):
            state, _ = rollout.reduce(state, event)
        self.assertIsInstance(state.phase, rollout.Preparing)


class ExpertLoadsTests(unittest.TestCase):
    """Guard against plans from all that was counted since the ranks started."""

    def setUp(self):
        self.loads = ExpertLoads()
        self.rank = upstream("m1", "model", born_ms=4)

    def _update(self, *counts, rank=None):
        return self.loads.update([(rank or self.rank, counts)], LAYOUT)

    def test_the_first_read_is_only_a_base(self):
        self.assertIsNone(self._update(1_000.0, 0.0, 500.0, 500.0))
        found = self._update(1_000.0, 60.0, 530.0, 530.0)
        self.assertGreater(found[0][1], found[0][0])
        self.assertEqual(found[1][0], found[1][1])

    def test_nothing_new_gives_no_loads(self):
        self._update(1.0, 2.0, 3.0, 4.0)
        self.assertIsNone(self._update(1.0, 2.0, 3.0, 4.0))

    def test_a_restarted_rank_counts_from_zero(self):
        self._update(1_000.0, 0.0, 0.0, 0.0)
        reborn = self.rank._replace(born_ms=9)
        found = self._update(0.0, 10.0, 5.0, 5.0, rank=reborn)
        self.assertEqual(found[0][0], 0.0)

    def test_a_rank_of_a_group_that_formed_again_goes_on_counting(self):
        """Only the rank that failed has started again."""
        self._update(1_000.0, 0.0, 0.0, 0.0)
        found = self._update(1_000.0, 10.0, 5.0, 5.0)
        self.assertEqual(found[0][0], 0.0)

    def test_earlier_loads_smooth_later_ones(self):
        self._update(0.0, 0.0, 0.0, 0.0)
        self._update(10.0, 0.0, 0.0, 0.0)
        found = self._update(10.0, 10.0, 0.0, 0.0)
        self.assertGreater(found[0][1], found[0][0])
        self.assertGreater(found[0][0], 0.0)

    def test_counts_of_another_size_are_left_out(self):
        self._update(0.0, 0.0, 0.0, 0.0)
        self.assertIsNone(self._update(5.0, 5.0))


if __name__ == "__main__":
    unittest.main()
