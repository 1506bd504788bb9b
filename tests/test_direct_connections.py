"""Tests of kept connections to upstreams, without a network where possible."""

import unittest

from gevent.server import StreamServer
from immutables import Map

from nutmegslip_decisions.direct import Options, Service, max_idle_connections
from nutmegslip_entry.direct import Pool
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import encode_request
from tests.direct_world import World, configuration, upstream


class LimitTests(unittest.TestCase):
    def test_the_connections_of_all_entries_leave_room_for_requests(self):
        services = Map({"model": Service("model", connection_limit=440)})
        for entries, expected in ((1, 8), (13, 8), (100, 2), (330, 1)):
            with self.subTest(entries=entries):
                world = World(options=Options("e", entries=entries))
                found = configuration(services=services)
                state = world.state._replace(configuration=found)
                self.assertEqual(max_idle_connections(state, "model"), expected)


class PoolTests(unittest.TestCase):
    """Connections are kept for as long as the upstream says."""

    def setUp(self):
        self.accepted = 0
        self.header = b""
        server = StreamServer(("127.0.0.1", 0), self._answer)
        server.start()
        self.addCleanup(server.stop)
        self.upstream = upstream("m1", port=server.server_port)
        self.late_ms = 0
        self.pool = Pool(lambda: boottime_ms() + self.late_ms, lambda _: 2)

    def _answer(self, accepted, _peer):
        self.accepted += 1
        while accepted.recv(4_096):
            accepted.sendall(
                b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + self.header + b"\r\n"
            )

    def _call(self) -> int:
        """Send a request; return for how many ms its connection is kept."""
        now_ms = boottime_ms() + self.late_ms
        connection = self.pool.acquire(self.upstream, now_ms + 400, fresh=False)
        connection.exchange(encode_request(b"GET", b"/", [], b""), now_ms + 400)
        until_ms = self.pool.release(self.upstream, connection)
        return max(until_ms - now_ms, 0)

    def test_the_deadline_follows_the_stated_timeout(self):
        cases = (
            (b"", 4_000),
            (b"Keep-Alive: timeout=10\r\n", 8_500),
            (b"keep-alive: max=5, Timeout = 3\r\n", 1_500),
            (b"Keep-Alive: timeout=1\r\n", 0),
            (b"Keep-Alive: timeout=x\r\n", 4_000),
            (b"Keep-Alive: timeout=99999999\r\n", 60_000),
        )
        for header, expected in cases:
            with self.subTest(header=header):
                self.header = header
                self.assertAlmostEqual(self._call(), expected, delta=300)

    def test_a_connection_is_used_again_until_its_deadline(self):
        self.header = b"Keep-Alive: timeout=10\r\n"
        for late_ms, accepted in ((0, 1), (8_000, 1), (15_900, 1), (25_000, 2)):
            self.late_ms = late_ms
            self._call()
            self.assertEqual(self.accepted, accepted)
        self.pool.close_expired()
        self.late_ms += 8_600
        self.pool.close_expired()
        self._call()
        self.assertEqual(self.accepted, 3)


if __name__ == "__main__":
    unittest.main()
