"""Test which callers are refused when all of them take too much."""

import unittest
from itertools import pairwise

from nutmegslip_decisions.direct import (
    CallerLimits,
    Holding,
    HostLimits,
    caller_limits,
    connection_to_close,
    holdings_to_refuse,
)

BYTES_PER_MB = 1_048_576
NOW_MS = 100_000
STALLED = Holding(1, 4_000_000, NOW_MS - 9_000)
UPLOADING = Holding(2, 4_000_000, NOW_MS - 5)
SHORT = Holding(3, 3_000, NOW_MS - 9_000)
TRICKLING = Holding(4, 600_000, NOW_MS - 30_000)


class HoldingTests(unittest.TestCase):
    def test_the_most_bytes_for_the_longest_time_go_first(self):
        everything = (SHORT, UPLOADING, TRICKLING, STALLED)
        cases = (
            (1, (1,)),
            (4_000_001, (1, 4)),
            (4_602_000, (1, 4, 3)),
            (4_700_000_000, (1, 4, 3, 2)),
            (0, ()),
        )
        for excess, expected in cases:
            with self.subTest(excess=excess):
                chosen = holdings_to_refuse(everything, excess, NOW_MS)
                self.assertEqual(tuple(h.key for h in chosen), expected)

    def test_nothing_is_chosen_that_frees_nothing(self):
        empty = Holding(5, 0, 0)
        self.assertEqual(holdings_to_refuse((empty,), 1, NOW_MS), ())

    def test_a_steady_upload_ends_while_stalled_ones_fill_the_room(self):
        """Replay a crowd that stops short of its end beside one that goes on.

        Each step the crowd opens another request and the upload grows; whoever holds
        too much is refused.
        """
        limit_bytes, piece_bytes, crowd_bytes = 12_000_000, 16_384, 4_194_303
        held = {0: (0, 0)}
        for step in range(1, 257):
            now_ms = step * 10
            held[0] = (held[0][0] + piece_bytes, now_ms)
            held[step] = (crowd_bytes, now_ms)
            excess = sum(size for size, _ in held.values()) - limit_bytes
            holdings = [Holding(key, *value) for key, value in held.items()]
            for chosen in holdings_to_refuse(holdings, excess, now_ms):
                del held[chosen.key]
            self.assertIn(0, held)
            self.assertLessEqual(sum(size for size, _ in held.values()), limit_bytes)
        self.assertEqual(held[0][0], 4_194_304)


class ConnectionTests(unittest.TestCase):
    def test_the_oldest_idle_connection_is_replaced_first(self):
        cases = (
            ((SHORT, UPLOADING), (STALLED,), SHORT),
            ((), (UPLOADING, STALLED), STALLED),
            ((), (), None),
        )
        for idle, unfinished, expected in cases:
            with self.subTest(idle=idle, unfinished=unfinished):
                self.assertEqual(connection_to_close(idle, unfinished), expected)


class LimitTests(unittest.TestCase):
    def test_limits_grow_with_the_host_and_leave_room_for_the_process(self):
        hosts = [HostLimits(96, 400), HostLimits(200, 4_100), HostLimits(552, 8_192)]
        found = [caller_limits(host) for host in hosts]
        for smaller, larger in pairwise(found):
            self.assertLess(smaller, larger)
        for host, limits in zip(hosts, found, strict=True):
            connection_bytes = limits.connections * 32_768
            taken = limits.held_bytes * 5 / 4 + connection_bytes
            self.assertLess(taken, host.memory_mb * BYTES_PER_MB / 2)
            self.assertLessEqual(limits.connections, host.file_descriptors / 2)

    def test_a_tiny_host_serves_some_connections(self):
        self.assertEqual(
            caller_limits(HostLimits(6, 100)), CallerLimits(BYTES_PER_MB, 16)
        )


if __name__ == "__main__":
    unittest.main()
