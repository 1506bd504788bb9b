"""Test the parsing of requests and responses, including hostile ones."""

import socket
import tracemalloc
import unittest

import gevent.socket

from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import (
    ClientConnection,
    ConnectionBroken,
    ConnectionTimedOut,
    Framing,
    HeldBodies,
    NotConnected,
    RequestFault,
    RequestReader,
    end_to_end_headers,
)

HEADER_BYTES, BODY_BYTES = 512, 64


def read(*parts: bytes):
    """Feed a reader in parts; return every complete request."""
    reader = RequestReader(HEADER_BYTES, BODY_BYTES)
    for part in parts:
        reader.feed(part)
    return list(iter(reader.next_request, None))


class RequestReaderTests(unittest.TestCase):
    def test_requests_are_complete_for_any_split(self):
        data = (
            b"POST /a?b=%2F HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /c HTTP/1.1\r\nhost: h\r\n\r\n"
        )
        for step in (1, 7, len(data)):
            with self.subTest(step=step):
                parts = [data[i : i + step] for i in range(0, len(data), step)]
                first, second = read(*parts)
                self.assertEqual(first.target, b"/a?b=%2F")
                self.assertEqual(first.body, b"abcde")
                self.assertEqual((second.method, second.body), (b"GET", b""))

    def test_malformed_requests_are_refused(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\n"
        cases = (
            (400, head + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"),
            (400, head + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc"),
            (400, head + b"transfer-encoding: xchunked\r\n\r\n"),
            (400, head + b"content-length: -1\r\n\r\n"),
            (400, b"GET / HTTP/1.1\r\nhost : h\r\n\r\n"),
            (400, b"GET / HTTP/1.1\nhost: h\n\n"),
            (400, b"\x16\x03\x01\x02\x00\x01\x00"),
            (400, b"GET / HTTP/1.1\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n"),
            (413, head + b"content-length: 65\r\n\r\n"),
            (
                413,
                head
                + b"transfer-encoding: chunked\r\n\r\n41\r\n"
                + b"x" * 65
                + b"\r\n",
            ),
            (431, head + b"x: " + b"y" * HEADER_BYTES + b"\r\n\r\n"),
            (431, head + b"x: y\r\n" * HEADER_BYTES),
            (431, head + b"x: " + b"y" * HEADER_BYTES),
            (431, b"GET /" + b"y" * HEADER_BYTES),
        )
        for status, data in cases:
            with self.subTest(data=data[:60]):
                with self.assertRaises(RequestFault) as caught:
                    read(data)
                self.assertEqual(caught.exception.status, status)

    def test_trailers_are_no_headers(self):
        """Guard against trailer fields that the next hop takes for header fields."""
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        (request,) = read(head + b"1\r\na\r\n0\r\nx-key: stolen\r\n\r\n")
        self.assertEqual(request.body, b"a")
        self.assertIsNone(request.header(b"x-key"))

    def test_hop_by_hop_headers_are_dropped(self):
        headers = (
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"TE", b"trailers"),
            (b"X-Kept", b"1"),
            (b"X-Kept", b"2"),
        )
        kept = ((b"X-Kept", b"1"), (b"X-Kept", b"2"))
        self.assertEqual(end_to_end_headers(headers), kept)


class ClientConnectionTests(unittest.TestCase):
    def setUp(self):
        ours, self.server = gevent.socket.socketpair()
        self.connection = ClientConnection(ours, boottime_ms)
        self.addCleanup(self.server.close)
        self.addCleanup(self.connection.close)

    def _respond(self, data: bytes, *, close: bool = False):
        self.server.sendall(data)
        if close:
            self.server.close()
        head = self.connection.read_head(boottime_ms() + 500)
        return head, self.connection.read_whole_body(boottime_ms() + 500)

    def test_bodies_of_each_framing(self):
        cases = (
            (b"content-length: 2\r\n\r\nab", False, Framing.LENGTH, True),
            (
                b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                False,
                Framing.CHUNKED,
                True,
            ),
            (b"\r\nab", True, Framing.CLOSE, False),
            (
                b"content-length: 2\r\nconnection: close\r\n\r\nab",
                False,
                Framing.LENGTH,
                False,
            ),
        )
        for rest, close, framing, keep in cases:
            with self.subTest(framing=framing, keep=keep):
                self.setUp()
                head, body = self._respond(b"HTTP/1.1 200 OK\r\n" + rest, close=close)
                found = (
                    body,
                    head.framing,
                    head.keep_alive,
                    self.connection.is_reusable,
                )
                self.assertEqual(found, (b"ab", framing, keep, keep))

    def test_an_interim_response_is_skipped(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
        head, body = self._respond(data)
        self.assertEqual((head.status, body), (204, b""))

    def test_incomplete_or_malformed_responses_are_errors(self):
        cases = (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-le",
            b"\x00\x01rubbish\r\n\r\n",
            b"",
        )
        for data in cases:
            with self.subTest(data=data):
                self.setUp()
                with self.assertRaises(ConnectionBroken):
                    self._respond(data, close=True)

    def test_bytes_without_end_that_are_no_response_are_errors(self):
        """Guard against a server whose bytes fill the memory until the deadline."""
        ok = b"HTTP/1.1 200 OK\r\n"
        chunked = ok + b"transfer-encoding: chunked\r\n\r\n"
        cases = (
            ("blank lines", b"", b"\r\n"),
            ("reason phrase", b"HTTP/1.1 200 O", b"K"),
            ("header name", ok, b"x"),
            ("header value", ok + b"x: ", b"y"),
            ("headers", ok, b"x: y\r\n"),
            ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("chunk size", chunked, b"0"),
            ("chunk extension", chunked + b"2;", b"x"),
            ("trailers", chunked + b"0\r\n", b"x: y\r\n"),
            ("body without length", ok + b"\r\n", b"z"),
            ("chunks", chunked, b"2\r\nab\r\n"),
        )
        for name, start, repeated in cases:
            with self.subTest(name):
                self.setUp()
                sent = []
                sender = gevent.spawn(self._send_endlessly, start, repeated, sent)
                with self.assertRaises(ConnectionBroken) as caught:
                    deadline_ms = boottime_ms() + 5_000
                    self.connection.read_head(deadline_ms)
                    self.connection.read_whole_body(deadline_ms, max_bytes=200_000)
                sender.kill()
                self.assertNotIsInstance(caught.exception, ConnectionTimedOut)
                self.assertLess(sum(sent), 2_000_000)

    def _send_endlessly(self, start, repeated, sent):
        self.server.sendall(start)
        block = repeated * (60_000 // len(repeated))
        for _ in range(500):
            self.server.sendall(block)
            sent.append(len(block))

    def test_a_long_body_lets_others_run(self):
        total = 8 * 1_048_576
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % total
        turns = []

        def take_turns():
            while True:
                turns.append(None)
                gevent.sleep(0)

        other = gevent.spawn(take_turns)
        gevent.spawn(self.server.sendall, head + bytes(total))
        self.connection.read_head(boottime_ms() + 5_000)
        body = self.connection.read_whole_body(boottime_ms() + 5_000)
        other.kill()
        self.assertEqual((len(body), len(turns) > 8), (total, True))

    def test_bytes_after_a_response_prevent_reuse(self):
        for extra in (b"x", b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"):
            with self.subTest(extra=extra):
                self.setUp()
                data = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" + extra
                _, body = self._respond(data)
                self.assertEqual(body, b"ab")
                self.assertFalse(self.connection.is_reusable)

    def test_a_closed_connection_is_not_reusable(self):
        self.assertTrue(self.connection.is_reusable)
        self.server.close()
        self.assertFalse(self.connection.is_reusable)

    def test_a_read_times_out_at_the_deadline(self):
        with self.assertRaises(ConnectionTimedOut):
            self.connection.read_head(boottime_ms() + 20)

    def test_a_reset_body_without_length_is_broken(self):
        listener = gevent.socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        connection = ClientConnection.connect("127.0.0.1", port, 1.0, boottime_ms)
        server, _ = listener.accept()
        server.sendall(b"HTTP/1.1 200 OK\r\n\r\nab")
        head = connection.read_head(boottime_ms() + 500)
        self.assertIs(head.framing, Framing.CLOSE)
        self.assertEqual(connection.read_body(boottime_ms() + 500), b"ab")
        linger = b"\1\0\0\0\0\0\0\0"
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        server.close()
        with self.assertRaises(ConnectionBroken):
            connection.read_body(boottime_ms() + 500)

    def test_nothing_of_a_request_arrives_after_it_was_given_up(self):
        """Guard against bytes that the kernel sends on after the close."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            connection = ClientConnection.connect("127.0.0.1", port, 1.0, boottime_ms)
            server, _ = listener.accept()
            self.addCleanup(server.close)
            request = b"x" * 3_000_000
            with self.assertRaises(ConnectionTimedOut):
                connection.send(request, 0.1)
            connection.close()
            received = 0
            with self.assertRaises(ConnectionResetError):
                while data := server.recv(65_536):
                    received += len(data)
            self.assertLess(received, len(request) // 10)

    def test_a_refused_connection_has_sent_nothing(self):
        listener = gevent.socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        listener.close()
        with self.assertRaises(NotConnected):
            ClientConnection.connect("127.0.0.1", port, 1.0, boottime_ms)


def chunked(body_bytes: int, piece_bytes: int) -> bytes:
    """Return a response in chunks of a size."""
    chunk = b"%x\r\n%s\r\n" % (piece_bytes, b"x" * piece_bytes)
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + chunk * (body_bytes // piece_bytes) + b"0\r\n\r\n"


class BodyMemoryTests(unittest.TestCase):
    """Guard against a peer whose body in tiny pieces takes many times its length.

    A list of 2-byte pieces took 28 times the bytes received, so that one server filled
    the memory of a process.
    """

    BODY_BYTES = 288_000
    ALLOWED_BYTES = 3 * BODY_BYTES  # the buffer while it grows, and the copy returned

    def _peak_of(self, read, *arguments) -> int:
        tracemalloc.start()
        try:
            read(*arguments)
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    def test_an_answer_takes_its_length_in_memory_for_any_split(self):
        for piece_bytes in (1, 2, 3, 16, 64, 4_500):
            with self.subTest(piece_bytes=piece_bytes):
                ours, server = gevent.socket.socketpair()
                self.addCleanup(server.close)
                connection = ClientConnection(ours, boottime_ms)
                self.addCleanup(connection.close)
                gevent.spawn(server.sendall, chunked(self.BODY_BYTES, piece_bytes))
                deadline_ms = boottime_ms() + 20_000
                connection.read_head(deadline_ms)
                peak = self._peak_of(connection.read_whole_body, deadline_ms)
                self.assertLess(peak, self.ALLOWED_BYTES)

    def test_a_request_takes_its_length_in_memory_for_any_split(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        for piece_bytes in (1, 2, 3, 16, 64, 4_500):
            with self.subTest(piece_bytes=piece_bytes):
                reader = RequestReader(HEADER_BYTES, 2 * self.BODY_BYTES)
                reader.feed(head)
                answer = chunked(self.BODY_BYTES, piece_bytes)
                _, _, body = answer.partition(b"\r\n\r\n")
                peak = self._peak_of(reader.feed, body)
                self.assertEqual(len(reader.next_request().body), self.BODY_BYTES)
                self.assertLess(peak, self.ALLOWED_BYTES)

    def test_long_bodies_are_given_up_before_they_take_too_much_together(self):
        """Guard against many endless bodies at once, each below its own limit."""
        held = HeldBodies(max_bytes=4_000_000)
        outcomes = []

        def read_endless(connection):
            deadline_ms = boottime_ms() + 20_000
            connection.read_head(deadline_ms)
            try:
                connection.read_whole_body(deadline_ms)
            except ConnectionBroken as error:
                outcomes.append(str(error))

        data = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 2_500_000
        readers = []
        for _ in range(3):
            ours, server = gevent.socket.socketpair()
            self.addCleanup(server.close)
            connection = ClientConnection(ours, boottime_ms, held)
            self.addCleanup(connection.close)
            gevent.spawn(server.sendall, data)
            readers.append(gevent.spawn(read_endless, connection))
        gevent.joinall(readers, timeout=10, count=1)
        gevent.killall(readers)
        self.assertEqual(outcomes[:1], ["the process holds too many long bodies"])
        self.assertEqual((held.held_bytes, held.refused >= 1), (0, True))

    def test_a_short_body_is_read_while_long_ones_fill_the_memory(self):
        held = HeldBodies(max_bytes=1_000)
        ours, server = gevent.socket.socketpair()
        self.addCleanup(server.close)
        connection = ClientConnection(ours, boottime_ms, held)
        self.addCleanup(connection.close)
        with held.hold() as other:
            other.append(b"x" * 5_000)
            server.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n")
            server.sendall(b"y" * 4_000)
            deadline_ms = boottime_ms() + 5_000
            connection.read_head(deadline_ms)
            self.assertEqual(len(connection.read_whole_body(deadline_ms)), 4_000)


if __name__ == "__main__":
    unittest.main()
