"""Test what a caller sees of a stream that goes on at another upstream.

A stream has begun, is resumed, broken off or complete. Its events arrive once and in
order, and nothing else does, whatever the upstreams answer at any point.
"""

import re
import unittest
from itertools import count
from types import SimpleNamespace

import gevent
from gevent import socket
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st
from nutmegslip_platform import _headers

from bench.direct_site import caller_headers
from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    ConfigurationPublished,
    EventSplitter,
    ListingRead,
    Options,
    Refuse,
    RequestLimits,
)
from nutmegslip_entry.direct import Connection, Metrics, Pool, StateMachine
from nutmegslip_entry.direct._exchange import Exchanges
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import (
    LAST_CHUNK,
    ClientConnection,
    ConnectionBroken,
    encode_chunk,
    encode_head,
    encode_request,
    reset_on_close,
)
from tests.direct_world import (
    ROUTES,
    World,
    caller_connections,
    configuration,
    upstream,
)

EVENTS = 5
ATTEMPTS = 3
READ_S = 5
LAST_EVENT = re.compile(rb"last-event-id: (\d+)", re.IGNORECASE)
SEALED = [
    (b"X-Nutmegslip-Request-Id", b"r1"),
    (b"X-Nutmegslip-Response-Seal", b"seal"),
]
STREAM = [*SEALED, (b"content-type", b"text/event-stream")]
NOT_RUN = (b"X-Nutmegslip-Not-Executed", b"1")


def event(number: int, *, with_id: bool = True) -> bytes:
    """Return one event of the stream."""
    return (b"id: %d\n" % number if with_id else b"") + b"data: %d\n\n" % number


def whole(status: int, body: bytes, *headers: tuple) -> bytes:
    """Return a complete answer that is no stream."""
    return encode_head(status, [*SEALED, *headers], length=len(body)) + body


def streamed(first: int, last: int, *, with_id: bool = True) -> bytes:
    """Return the head of a stream and some of its events."""
    events = [event(n, with_id=with_id) for n in range(first, last + 1)]
    chunks = b"".join(map(encode_chunk, events))
    return encode_head(200, STREAM, chunked=True) + chunks


# What an upstream sends in place of events, by name; it ends the connection then.
ODD_ANSWERS = {
    "error": whole(500, b"the error's text"),
    "unavailable": whole(503, b"the error's text"),
    "refusal": whole(503, b"the refusal's text", NOT_RUN),
    "not found": whole(404, b"the error's text"),
    "plain": whole(200, b"a body that is no stream"),
    "empty": whole(204, b""),
    "unsealed": encode_head(200, SEALED[:1], length=4) + b"text",
    "rubbish": b"\x00\x01 rubbish\r\n\r\n",
    "half a head": b"HTTP/1.1 200 OK\r\nx-nutmegslip-re",
    "nothing": b"",
    "from the start": streamed(1, EVENTS) + LAST_CHUNK,
    "error in the body": streamed(1, 0) + encode_chunk(b"HTTP/1.1 500 Error\r\n\r\n"),
}
ENDS = ("close", "reset", "within an event", "within a chunk", "whole")


def part_of_stream(after: int, events: int, end: str) -> bytes:
    """Return a stream from after an event on, with so many events, and its end."""
    last = min(after + events, EVENTS)
    data = streamed(after + 1, last)
    match end:
        case "within an event" if last < EVENTS:
            return data + encode_chunk(event(last + 1)[:-4])
        case "within a chunk" if last < EVENTS:
            return data + encode_chunk(event(last + 1))[:-6]
        case "whole":
            return (
                data
                + streamed(last + 1, EVENTS).partition(b"\r\n\r\n")[2]
                + (LAST_CHUNK)
            )
        case _:
            return data


class Upstream:
    """An upstream that answers a request as its script says."""

    def __init__(self, number: int, played: "Played") -> None:
        self._played = played
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.name = f"u{number}"
        self.port = self._server.server_port
        self.close = lambda: self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        request = sock.recv(65_536)
        found = LAST_EVENT.search(request)
        data, end = self._played.next_answer(int(found[1]) if found else 0)
        try:
            sock.sendall(data)
            if end == "reset":
                gevent.sleep(0.02)  # a reset overtakes bytes that are not read yet
                reset_on_close(sock)
        except OSError:
            pass  # the entry has given the answer up


class Played:
    """An entry before upstreams that answer by one script, in turn."""

    def __init__(self, answers: list) -> None:
        self._answers = iter(answers)
        self.upstreams = [Upstream(n, self) for n in range(ATTEMPTS)]
        log = SimpleNamespace(emit=lambda *_, **__: None)
        options = Options("entry-1", budget_slack=100.0)
        machine = StateMachine(options, boottime_ms, log, Metrics())
        routes = tuple(r._replace(attempts=ATTEMPTS, timeout_ms=4_000) for r in ROUTES)
        now_ms = boottime_ms()
        machine.dispatch(
            ConfigurationPublished(now_ms, configuration(1, routes=routes))
        )
        listed = [upstream(u.name, "model", port=u.port) for u in self.upstreams]
        machine.dispatch(ListingRead(now_ms, tuple(listed)))
        pool = Pool(boottime_ms, lambda _: 8)
        self._exchanges = Exchanges(machine, _headers, pool, count(1))

    def next_answer(self, after: int) -> tuple[bytes, str]:
        """Return what the next upstream sends, and how it ends."""
        answer = next(self._answers, ("whole", EVENTS))
        kind, events = answer
        if kind in ODD_ANSWERS:
            return ODD_ANSWERS[kind], "close"
        return part_of_stream(after, events, kind), kind

    def read(self) -> tuple[int, bytes, bool]:
        """Send a request; return the status, the body and whether it is complete."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            ours = socket.create_connection(listener.getsockname())
            served, _ = listener.accept()
        connection = Connection(
            served,
            self._exchanges.serve,
            RequestLimits,
            lambda: False,
            boottime_ms,
            caller_connections(),
        )
        server = gevent.spawn(connection.run)
        ticks = gevent.spawn(_tick)
        request = encode_request(b"POST", b"/verses/1", caller_headers("r1"), b"")
        ours.sendall(request[:-2] + b"connection: close\r\n\r\n")
        ours.settimeout(READ_S)
        try:
            raw = b"".join(iter(lambda: ours.recv(65_536), b""))
            return parsed(raw)
        finally:
            ours.close()
            server.join(1)
            ticks.kill()
            for upstream_server in self.upstreams:
                upstream_server.close()


def _tick() -> None:
    """Keep the event loop turning as in a process: gevent closes sockets in a turn."""
    while True:
        gevent.sleep(0.002)


def parsed(raw: bytes) -> tuple[int, bytes, bool]:
    """Return the status of an answer, its body and whether it is complete."""
    ours, other = socket.socketpair()
    other.sendall(raw)
    other.close()
    caller = ClientConnection(ours, boottime_ms)
    deadline_ms, body = boottime_ms() + READ_S * 1_000, b""
    head = caller.read_head(deadline_ms)
    try:
        while piece := caller.read_body(deadline_ms):
            body += piece
        return head.status, body, True
    except ConnectionBroken:
        second_head = raw.partition(b"\r\n\r\n")[2].partition(b"HTTP/")[2]
        return head.status, body + second_head, False
    finally:
        caller.close()


WHOLE_BODY = b"".join(event(n) for n in range(1, EVENTS + 1))

answers = st.tuples(
    st.sampled_from([*ENDS, *ODD_ANSWERS]), st.integers(min_value=0, max_value=EVENTS)
)


class ResumedStreamTests(unittest.TestCase):
    """Guard against an error's text within a stream, and a cut that looks whole."""

    def _check(self, script):
        status, body, complete = Played(script).read()
        if status != 200 or body == b"a body that is no stream":
            self.assertTrue(complete)
            self.assertNotIn(b"id:", body)
            return
        self.assertTrue(WHOLE_BODY.startswith(body), body)
        if complete or len(script) < ATTEMPTS:  # the last upstream is sound then
            self.assertEqual((complete, body), (True, WHOLE_BODY))

    def test_each_answer_after_a_stream_broke_off(self):
        for end in ENDS[:-1]:
            for kind in (*ENDS, *ODD_ANSWERS):
                with self.subTest(end=end, kind=kind):
                    self._check([(end, 2), (kind, 1)])

    def test_an_error_as_the_last_answer_ends_the_stream_as_broken(self):
        for kind in ODD_ANSWERS:
            with self.subTest(kind=kind):
                self._check([("close", 2), (kind, 1), (kind, 1)])

    def test_a_stream_goes_on_only_after_an_event_with_an_id(self):
        """Guard against events that come twice, as nothing says where to go on."""
        splitter = EventSplitter()
        cases = (
            (b"id: 1\ndata: a\n\n", True),
            (b": comment\n\n", True),
            (b"data: b\n\n", False),
            (b": comment\n\n", False),
            (b": comment\n\n: comment\n\n", False),
            (b"id: 2\ndata: c\n\n", True),
            (b": comment\n\n\n: comment\n\n", True),
            (b"id: 2\ndata: c\n\n: comment\n\n", True),
            (b"id: 3\r\ndata: d\n\n", False),
            (b"id: " + b"4" * 70 + b"\ndata: e\n\n", False),
        )
        for data, may_resume in cases:
            with self.subTest(data=data[:20]):
                splitter.feed(data)
                self.assertEqual(splitter.may_resume, may_resume)
        self.assertEqual(splitter.last_id, "2")

    def test_a_stream_without_ids_is_not_sent_again(self):
        world = World(upstream("m1", "model"), upstream("m2", "model"))
        world.arrive("/verses/1")
        broken = Broken("reset", closed=True)
        failed = AttemptFailed(
            world.now_ms, 1, broken, streaming=True, may_resume=False
        )
        (effect,) = world.take(failed)
        self.assertIsInstance(effect, Refuse)

    @settings(max_examples=150)
    @given(st.lists(answers, max_size=ATTEMPTS))
    def test_any_answers_at_any_point(self, script):
        self._check(script)


if __name__ == "__main__":
    unittest.main()
