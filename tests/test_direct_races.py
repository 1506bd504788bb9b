"""Test hedged requests over sockets: scripted upstreams, in one process."""

import pathlib
import tempfile
import unittest
from itertools import count
from types import SimpleNamespace

import gevent
from gevent import socket
from gevent.server import StreamServer
from immutables import Map
from nutmegslip_platform import _headers

from bench.direct_site import Site, caller_headers, make_configuration
from nutmegslip_decisions.direct import (
    ConfigurationPublished,
    ListingRead,
    Options,
    PeerReported,
    RequestLimits,
    load_report,
)
from nutmegslip_decisions.direct._budget import count_arrival
from nutmegslip_entry.direct import (
    Connection,
    Metrics,
    Pool,
    StateMachine,
    read_settings,
)
from nutmegslip_entry.direct._exchange import Exchanges
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import (
    LAST_CHUNK,
    ClientConnection,
    encode_chunk,
    encode_head,
    encode_request,
)
from tests.direct_world import ROUTES, caller_connections, configuration, upstream

OPTIONS = Options(
    "entry-1", budget_slack=100.0, hedge_max_share=0.9, hedge_after_quantile=0.9
)
DUE_S = 0.1  # the objective of 150 ms less the initial 50 ms of an answer
ROOT = pathlib.Path(__file__).parent.parent
CLOSE_BOUND_S = 0.5
RELOAD_S = 1.5  # a settings file that changed is found within a second
HEADERS = [(b"X-Nutmegslip-Request-Id", b"r1")]
SEALED = [*HEADERS, (b"X-Nutmegslip-Response-Seal", b"seal")]
STREAM = [*SEALED, (b"content-type", b"text/event-stream")]


def _answer(body, status=200):
    return encode_head(status, SEALED, length=len(body)) + body


def _event(number, source):
    return encode_chunk(f"id: {number}\ndata: {source}\n\n".encode())


class ScriptedUpstream:
    """An upstream that sends each part of its script after a delay in seconds.

    ``closed_ms`` is when the entry closed the connection, None before.
    """

    def __init__(self, *script):
        self.script = script
        self.arrivals = 0
        self.closed_ms = None
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port = self._server.server_port
        self.close = self._server.stop

    def _serve(self, sock, _peer):
        sock.recv(65_536)
        self.arrivals += 1
        watcher = gevent.spawn(self._watch, sock)
        for delay_s, data in self.script:
            gevent.sleep(delay_s)
            if data is None or watcher.dead:
                return
            sock.sendall(data)
        watcher.join()

    def _watch(self, sock):
        try:
            while sock.recv(65_536):
                pass
        except OSError:
            pass  # a reset ends the connection as well
        self.closed_ms = boottime_ms()


class RaceTests(unittest.TestCase):
    """Guard against two answers, a mixed one, and work that nobody waits for."""

    def _start(self, first, second, path=b"/lookups/1"):
        """Let a caller send a request to upstreams that are chosen in this order."""
        log = SimpleNamespace(emit=lambda *_, **__: None)
        self.machine = machine = StateMachine(OPTIONS, boottime_ms, log, Metrics())
        self.upstreams = first, second
        listed = []
        for number, scripted in enumerate(self.upstreams):
            self.addCleanup(scripted.close)
            name, service = f"u{number}", "model" if b"verses" in path else "board"
            port = scripted.port
            listed.append(upstream(name, service, port=port, slots=4))
        now_ms = boottime_ms()
        routes = tuple(r._replace(timeout_ms=3_000, objective_ms=150) for r in ROUTES)
        machine.dispatch(
            ConfigurationPublished(now_ms, configuration(1, routes=routes))
        )
        machine.dispatch(ListingRead(now_ms, tuple(listed)))
        machine.dispatch(PeerReported(now_ms, "other", Map({"u1": 1})))
        for _ in range(2):  # which allow a hedge
            self._count_arrival(path)
        pool = Pool(boottime_ms, lambda _: 8)
        exchanges = Exchanges(machine, _headers, pool, count(1_000))
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            caller = socket.create_connection(listener.getsockname())
            served, _ = listener.accept()
        connection = Connection(
            served,
            exchanges.serve,
            RequestLimits,
            lambda: False,
            boottime_ms,
            caller_connections(),
        )
        gevent.spawn(connection.run)
        self.caller = ClientConnection(caller, boottime_ms)
        self.addCleanup(self.caller.close)
        self.caller.send(encode_request(b"GET", path, caller_headers("r1"), b""), 1.0)

    def _count_arrival(self, path):
        state = self.machine.state
        service = "model" if b"verses" in path else "board"
        counted = count_arrival(state, service, boottime_ms())
        self.machine._state = counted

    def _read(self):
        deadline_ms = boottime_ms() + 2_500
        head = self.caller.read_head(deadline_ms)
        body = self.caller.read_whole_body(deadline_ms)
        self.answered_ms = boottime_ms()
        return head.status, body

    def _assert_cancelled(self, scripted):
        """Assert that a connection is closed in time, and that no slot is taken."""
        with gevent.Timeout(CLOSE_BOUND_S):
            while scripted.closed_ms is None:
                gevent.sleep(0.01)
        self.assertLess(scripted.closed_ms - self.answered_ms, 1_000 * CLOSE_BOUND_S)
        self.assertEqual(load_report(self.machine.state), {})

    def test_the_answer_of_the_hedge_closes_the_first_attempt(self):
        slow, fast = ScriptedUpstream((9, b"")), ScriptedUpstream((0, _answer(b"b")))
        self._start(slow, fast)
        self.assertEqual(self._read(), (200, b"b"))
        self._assert_cancelled(slow)

    def test_the_answer_of_the_first_attempt_closes_the_hedge(self):
        first = ScriptedUpstream((2 * DUE_S, _answer(b"a")))
        hedge = ScriptedUpstream((9, b""))
        self._start(first, hedge)
        self.assertEqual(self._read(), (200, b"a"))
        self.assertEqual(hedge.arrivals, 1)
        self._assert_cancelled(hedge)

    def test_a_fast_answer_sends_no_hedge(self):
        first, idle = ScriptedUpstream((0, _answer(b"a"))), ScriptedUpstream()
        self._start(first, idle)
        self.assertEqual(self._read(), (200, b"a"))
        gevent.sleep(2 * DUE_S)
        self.assertEqual(idle.arrivals, 0)

    def test_an_answer_that_stalls_within_its_body_is_not_mixed_with_the_other(self):
        half = ScriptedUpstream((0, _answer(b"aaaa")[:-2]), (9, b""))
        whole = ScriptedUpstream((DUE_S, _answer(b"bb")))
        self._start(half, whole)
        self.assertEqual(self._read(), (200, b"bb"))
        self._assert_cancelled(half)

    def test_one_attempt_fails_and_the_other_answers(self):
        broken = ScriptedUpstream((1.5 * DUE_S, None))
        errored = ScriptedUpstream((1.5 * DUE_S, _answer(b"bad", 500)))
        for failing in (broken, errored):
            with self.subTest(script=failing.script):
                good = ScriptedUpstream((2 * DUE_S, _answer(b"b")))
                self._start(failing, good)
                self.assertEqual(self._read(), (200, b"b"))

    def test_a_stream_that_ends_within_its_first_event_leaves_the_hedge(self):
        head = encode_head(200, STREAM, chunked=True)
        cut = ScriptedUpstream(
            (0, head + encode_chunk(b"id: 1\nda")), (1.5 * DUE_S, LAST_CHUNK)
        )
        good = ScriptedUpstream((0, head), (3 * DUE_S, _event(1, "b")), (0, LAST_CHUNK))
        self._start(cut, good, b"/verses/1")
        self.assertEqual(self._read(), (200, b"id: 1\ndata: b\n\n"))

    def test_the_error_of_an_upstream_is_delivered_if_both_fail(self):
        first = ScriptedUpstream((1.5 * DUE_S, None))
        hedge = ScriptedUpstream((DUE_S, _answer(b"bad", 500)))
        self._start(first, hedge)
        self.assertEqual(self._read(), (500, b"bad"))
        self.assertEqual((first.arrivals, hedge.arrivals), (1, 1))

    def test_a_caller_that_leaves_closes_both_attempts(self):
        both = ScriptedUpstream((9, b"")), ScriptedUpstream((9, b""))
        self._start(*both)
        gevent.sleep(2 * DUE_S)
        self.assertEqual([one.arrivals for one in both], [1, 1])
        self.answered_ms = boottime_ms()
        self.caller.close()
        for one in both:
            self._assert_cancelled(one)

    def test_the_stream_that_begins_first_is_passed_on_whole(self):
        head = encode_head(200, STREAM, chunked=True)
        stalled = ScriptedUpstream((0, head + encode_chunk(b"id: 1\nda")), (9, b""))
        parts = [(DUE_S / 4, _event(number, "b")) for number in (1, 2, 3)]
        stream = ScriptedUpstream((0, head), *parts, (0, LAST_CHUNK))
        self._start(stalled, stream, b"/verses/1")
        expected = b"".join(b"id: %d\ndata: b\n\n" % number for number in (1, 2, 3))
        self.assertEqual(self._read(), (200, expected))
        self._assert_cancelled(stalled)


class SettingsTests(unittest.TestCase):
    def test_shares_that_are_none_are_refused(self):
        example = (ROOT / "examples" / "direct-entry.toml").read_text()
        cases = {"0.02": "", "0": "", "1": "is 1", "-0.1": "is -0.1", "nan": "is nan"}
        for value, expected in cases.items():
            with self.subTest(value=value), tempfile.TemporaryDirectory() as folder:
                file = pathlib.Path(folder) / "entry.toml"
                text = example.replace("max_share = 0.02", f"max_share = {value}")
                file.write_text(text)
                read = read_settings(str(file))
                message = read.error.message if read.is_error() else ""
                self.assertEqual(bool(message), bool(expected))
                self.assertIn(
                    f"hedge.max_share {expected}" if expected else "", message
                )


class ProcessTests(unittest.TestCase):
    """Guard against settings that a real entry does not take over."""

    def test_a_real_entry_hedges_requests_to_a_slow_upstream(self):
        site = Site()
        self.addCleanup(site.close)
        site.publish(make_configuration(3))
        slow, _ = (site.add_runner(name, "board") for name in ("b1", "b2"))
        site.start()
        text = site.entry.settings.read_text()
        hedging = text.replace("max_share = 0.0", "max_share = 0.5")
        site.entry.settings.write_text(hedging)
        gevent.sleep(RELOAD_S)
        for number in range(6):
            site.send("/lookups/1", request_id=f"before-{number}")
        slow.pause_s = 1.5
        for number in range(6):
            started_ms = boottime_ms()
            reply = site.send("/lookups/1", request_id=f"h{number}")
            answer = f"answer to h{number}".encode()
            self.assertEqual((reply.status, reply.body), (200, answer))
            self.assertLess(boottime_ms() - started_ms, 1_000)
        self.assertIn('event="hedge-won"', site.metrics())


if __name__ == "__main__":
    unittest.main()
