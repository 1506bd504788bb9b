"""Tests of kept connections to upstreams, without a network where possible."""

import unittest
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace

import gevent
from gevent.server import StreamServer
from immutables import Map
from nutmegslip_platform._ranks import HttpRankClient

from nutmegslip_decisions.direct import (
    Options,
    PeerReported,
    RequestEnded,
    Service,
    max_idle_connections,
)
from nutmegslip_decisions.experts.rollout import (
    Arm,
    Disarm,
    Group,
    Hold,
    Prepare,
    Preparing,
    Release,
    State,
)
from nutmegslip_decisions.experts.rollout import Options as RolloutOptions
from nutmegslip_decisions.experts.rollout._orders import unconfirmed_orders
from nutmegslip_decisions.experts.rollout._state import Clearing
from nutmegslip_entry.direct import Pool
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import NotConnected, encode_request
from tests.direct_world import World, configuration, upstream

LIFE_MS = 8_500


class PreferenceTests(unittest.TestCase):
    """Guard against a new connection for nearly each request in a large fleet."""

    def test_most_requests_find_a_kept_connection(self):
        upstreams = [upstream(f"m{n}", "model", slots=10) for n in range(72)]
        options = Options("entry-1", budget_slack=100.0, entries=13)
        world = World(*upstreams, options=options)
        loads = Map({one.id: 3 for one in upstreams})
        world.take(PeerReported(world.now_ms, "other", loads))
        idle: dict[str, list[int]] = {}
        running: list[tuple[int, int, str]] = []
        opened = 0
        for number in range(400):
            world.now_ms += 100
            while running and running[0][0] <= world.now_ms:
                _, ticket, name = running.pop(0)
                until_ms = world.now_ms + LIFE_MS
                idle.setdefault(name, []).append(until_ms)
                world.take(RequestEnded(world.now_ms, ticket, True, until_ms))
            (effect,) = world.arrive("/verses/1", request_id=f"p{number}")
            name = effect.upstream.id
            kept = [until for until in idle.get(name, ()) if until > world.now_ms]
            opened += not kept
            idle[name] = kept[:-1]
            running.append((world.now_ms + 1_900, world.tickets, name))
        self.assertLess(opened, 100)

    def test_choices_of_a_small_service_are_as_before(self):
        for count, changes in ((12, False), (72, True)):
            with self.subTest(count=count):
                chosen = [self._choices(count, kept=kept) for kept in (False, True)]
                self.assertEqual(chosen[0] != chosen[1], changes)

    def _choices(self, count: int, *, kept: bool) -> list[str]:
        """Return who gets single requests, after ones whose connections are kept."""
        upstreams = [upstream(f"m{n}", "model", slots=10) for n in range(count)]
        world = World(*upstreams, options=Options("entry-1", entries=13))
        chosen = []
        for number in range(40):
            world.now_ms += 1_100
            (effect,) = world.arrive("/verses/1", request_id=f"c{number}")
            until_ms = world.now_ms + LIFE_MS if kept else 0
            world.take(RequestEnded(world.now_ms, world.tickets, True, until_ms))
            chosen.append(effect.upstream.id)
        return chosen

    def test_less_load_goes_before_a_kept_connection(self):
        upstreams = [upstream(f"m{n}", "model", slots=5) for n in range(13)]
        world = World(*upstreams, options=Options("entry-1", entries=2))
        (effect,) = world.arrive("/verses/1")
        ended = RequestEnded(world.now_ms, world.tickets, True, world.now_ms + LIFE_MS)
        world.take(ended)
        first = effect.upstream.id
        loads = Map({first: 1})
        world.take(PeerReported(world.now_ms, "other", loads))
        others = {world.arrive("/verses/1")[0].upstream.id for _ in range(6)}
        self.assertNotIn(first, others)

    def test_the_connections_of_all_entries_leave_room_for_requests(self):
        services = Map({"model": Service("model", connection_limit=440)})
        for entries, expected in ((1, 8), (13, 8), (100, 2), (330, 1)):
            with self.subTest(entries=entries):
                world = World(options=Options("e", entries=entries))
                found = configuration(services=services)
                state = world.state._replace(configuration=found)
                self.assertEqual(max_idle_connections(state, "model"), expected)


def unread_bytes_from(port: int) -> int:
    """Return the bytes from a port of this host that the kernel holds unread."""
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(queues.rpartition(":")[2], 16)
        for _, _, remote, _, queues, *_ in rows
        if int(remote.rpartition(":")[2], 16) == port
    )


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
        self.assertEqual((self.pool.opened, self.pool.reused), (3, 2))

    def test_the_kernel_holds_little_of_an_answer_that_is_not_read(self):
        """Guard against streams whose callers read slowly: each held over 100 KiB."""

        def answer_endlessly(accepted, _peer):
            accepted.settimeout(0.5)
            with suppress(TimeoutError):
                while True:
                    accepted.send(b"x" * 4_096)

        server = StreamServer(("127.0.0.1", 0), answer_endlessly)
        server.start()
        self.addCleanup(server.stop)
        unread = upstream("m2", port=server.server_port)
        connection = self.pool.acquire(unread, boottime_ms() + 400, fresh=True)
        self.addCleanup(connection.close)
        gevent.sleep(1.0)
        self.assertIn(unread_bytes_from(server.server_port), range(1, 65_537))


class OrderTests(unittest.TestCase):
    """Guard against a copy of an older answer that confirms an order."""

    def test_only_orders_that_reports_confirm_use_kept_connections(self):
        used = []

        def acquire(*_, fresh):
            used.append(fresh)
            raise NotConnected("")

        log = SimpleNamespace(emit=lambda *_, **__: None)
        pool = SimpleNamespace(acquire=acquire)
        client = HttpRankClient(pool, boottime_ms, log, lambda *_: None)
        orders = (Prepare(1, ()), Arm(1, 2), Hold(2), Release(2), Disarm(1))
        for order in (Prepare(1, (), reported=True), *orders):
            client.send_order(upstream("m1"), 1, 1, order)
        self.assertEqual(used, [False, True, True, True, True, True])

    def test_reports_confirm_a_prepare_only_while_a_change_is_prepared(self):
        group = Group("g", 1, ("r0", "r1"))
        for phase, reported in (
            (Preparing(5, (), 0.2, 0), True),
            (Clearing(7, 0, Map()), False),
        ):
            with self.subTest(phase=phase):
                state = State(RolloutOptions(1, 4, 2), group, layout=(), phase=phase)
                orders = dict(unconfirmed_orders(state))
                expected = Prepare(phase.version, (), reported=reported)
                self.assertEqual(orders, dict.fromkeys(group.ranks, expected))


if __name__ == "__main__":
    unittest.main()
