"""Test an entry process against crowds of clients that ignore the limits.

Each test checks what does not depend on the speed of the machine: the process lives,
its memory (with the bytes that the kernel holds for it to read) and its descriptors
stay within its host, and one ordinary request is answered while the crowd's
connections are still open.
"""

import unittest
from itertools import chain, repeat

import gevent

from fakes.runners import Fault
from nutmegslip_runtime.http1 import LAST_CHUNK, encode_chunk
from tests.direct_crowd import (
    BODY_BYTES,
    BODY_START,
    BYTES_PER_MB,
    HEADER_BYTES,
    HOST,
    PIECE_BYTES,
    Client,
    CrowdSite,
    chunks,
    head,
    head_far_over_limit,
    head_of_short_headers,
    split,
    with_chunks,
    with_length,
)

CLIENTS = 32  # 4 MiB of each are more than the memory of the host
MANY_CLIENTS = 300  # within the descriptors of the host
TOO_MANY_CLIENTS = 600
LARGE_CHUNK_BYTES = 262_144
SMALL_CHUNK_BYTES = 16
FAR_OVER_PIECES = 512  # 32 MiB, eight times the limit
TARGET = "/lookups/1"


class CrowdTestCase(unittest.TestCase):
    """One entry on a small host."""

    def setUp(self):
        self.site = CrowdSite()
        self.addCleanup(self.site.close)

    def crowd(self, count, client):
        self.site.send_crowd(client(f"crowd-{number}") for number in range(count))

    def end_requests(self):
        """Let upstreams answer again, and wait until no request needs a slot."""
        for runner in self.site.board:
            runner.fault = Fault.NONE
        while self.site.entry.is_running and not self.site.is_unused():
            gevent.sleep(0.05)
        for runner in self.site.board:
            runner.padding = b""

    def assert_bounded(self):
        """Check the process and its host's limits, and send an ordinary request."""
        self.site.sample()
        reply = self.site.send("/lookups/1")
        self.site.sample()
        self.assertTrue(self.site.entry.is_running, "the process has ended")
        self.assertEqual((reply.status, reply.complete), (200, True))
        memory_mb = self.site.peak.memory_bytes / BYTES_PER_MB
        self.assertLessEqual(memory_mb, HOST.memory_mb)
        self.assertLess(self.site.peak.descriptors, HOST.file_descriptors)


class CalmTests(CrowdTestCase):
    def test_a_single_request_at_the_limit_is_served(self):
        body = BODY_START + b"x"
        reply = self.site.send(TARGET, method="POST", body=body)
        self.assertEqual((reply.status, reply.complete), (200, True))
        data = b"".join(chunks(body, LARGE_CHUNK_BYTES)) + LAST_CHUNK
        found = self.site.send_raw(
            with_chunks(TARGET, "chunked").replace(
                b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
            )
            + data
        )
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found[:200])
        self.assertEqual([len(r.body) for r in self._requests()], [BODY_BYTES] * 2)
        self.assert_bounded()

    def _requests(self):
        return [request for runner in self.site.board for request in runner.requests]


class UnfinishedBodyTests(CrowdTestCase):
    """Guard against bodies of legal size that stop just short of their end."""

    def test_whole_bodies(self):
        self.crowd(
            CLIENTS,
            lambda name: Client(
                [with_length(TARGET, BODY_BYTES, name) + BODY_START], b"x"
            ),
        )
        self.assert_bounded()

    def test_bodies_in_pieces(self):
        self.crowd(
            CLIENTS,
            lambda name: Client(
                chain([with_length(TARGET, BODY_BYTES, name)], split(BODY_START)), b"x"
            ),
        )
        self.assert_bounded()

    def test_large_chunks(self):
        self._send_chunks(LARGE_CHUNK_BYTES)

    def test_very_small_chunks(self):
        self._send_chunks(SMALL_CHUNK_BYTES)

    def _send_chunks(self, chunk_bytes):
        self.crowd(
            CLIENTS,
            lambda name: Client(
                chain([with_chunks(TARGET, name)], chunks(BODY_START, chunk_bytes)),
                LAST_CHUNK,
            ),
        )
        self.assert_bounded()


class TooLongBodyTests(CrowdTestCase):
    """Guard against bodies far over the limit."""

    def test_announced_bodies(self):
        pieces = list(repeat(b"x" * PIECE_BYTES, FAR_OVER_PIECES))
        self.crowd(
            CLIENTS,
            lambda name: Client(chain([head_far_over_limit(BODY_BYTES, name)], pieces)),
        )
        self.assert_bounded()

    def test_bodies_that_are_not_announced(self):
        pieces = list(repeat(encode_chunk(b"x" * PIECE_BYTES), FAR_OVER_PIECES))
        self.crowd(
            CLIENTS, lambda name: Client(chain([with_chunks(TARGET, name)], pieces))
        )
        self.assert_bounded()


class CompleteBodyTests(CrowdTestCase):
    """Guard against complete bodies that the process keeps."""

    def test_bodies_that_wait_for_a_slot(self):
        """Slow upstreams keep the slots, so that complete requests wait."""
        for runner in self.site.board:
            runner.fault = Fault.SILENT
        self.crowd(
            CLIENTS,
            lambda name: Client(
                [with_length(TARGET, BODY_BYTES, name) + BODY_START + b"x"]
            ),
        )
        self.end_requests()
        self.assert_bounded()

    def test_bodies_of_idle_connections(self):
        """An idle connection kept the body of its last request, twice."""
        for number in range(CLIENTS):
            name = f"kept-{number}"
            self.site.send_crowd(
                [Client([with_length(TARGET, BODY_BYTES, name) + BODY_START + b"x"])]
            )
        self.end_requests()
        self.assert_bounded()


class HeadTests(CrowdTestCase):
    """Guard against heads, trailers and framing that take more than their bytes."""

    def test_unfinished_heads_of_many_short_headers(self):
        count = HEADER_BYTES // len(b"a:\r\n") - 100
        self.crowd(
            MANY_CLIENTS, lambda name: Client([head_of_short_headers(count, name)])
        )
        self.assert_bounded()

    def test_chunk_extensions_without_end(self):
        extension = with_chunks(TARGET, "extension") + b"1;"
        self._send_framing(extension, b"y" * PIECE_BYTES)

    def test_trailers_without_end(self):
        trailers = with_chunks(TARGET, "trailers") + b"1\r\nx\r\n0\r\n"
        self._send_framing(trailers, b"b:\r\n" * (PIECE_BYTES // 4))

    def test_extensions_of_each_chunk(self):
        chunk = b"1;" + b"y" * 1_000 + b"\r\nx\r\n"
        self._send_framing(with_chunks(TARGET, "extensions"), chunk * 64)

    def _send_framing(self, start, piece):
        """Check that the entry stops reading a request without an end."""
        sent = []

        def pieces():
            yield start
            for _ in range(FAR_OVER_PIECES):
                sent.append(len(piece))
                yield piece

        self.site.send_crowd([Client(pieces())])
        self.assertLess(sum(sent), FAR_OVER_PIECES * len(piece))
        self.assert_bounded()


class PipelineTests(CrowdTestCase):
    """Guard against requests that are sent before the answers to earlier ones."""

    def test_requests_that_wait_behind_another(self):
        for runner in self.site.board:
            runner.fault = Fault.SILENT
        tiny = b"GET / HTTP/1.1\r\n\r\n"
        self.crowd(
            CLIENTS * 2,
            lambda name: Client(
                [with_length(TARGET, 0, name) + tiny * (PIECE_BYTES // len(tiny))] * 4
            ),
        )
        self.end_requests()
        self.assert_bounded()

    def test_bytes_that_the_kernel_holds_during_a_request(self):
        for runner in self.site.board:
            runner.fault = Fault.SILENT
        self.crowd(
            MANY_CLIENTS,
            lambda name: Client([with_length(TARGET, 0, name), b"x" * 8 * PIECE_BYTES]),
        )
        self.end_requests()
        self.assert_bounded()


class UnreadAnswerTests(CrowdTestCase):
    """Guard against callers that do not read their answers."""

    def test_whole_answers(self):
        for runner in self.site.board:
            runner.padding = b"z" * BODY_BYTES
        self.crowd(CLIENTS, lambda name: Client([with_length(TARGET, 0, name) * 4]))
        self.end_requests()
        self.assert_bounded()

    def test_streams(self):
        for runner in self.site.model:
            runner.events, runner.padding = 1_000, b"z" * PIECE_BYTES
        self.crowd(
            CLIENTS * 2, lambda name: Client([with_length("/verses/1", 0, name)])
        )
        self.end_requests()
        self.assert_bounded()


class ConnectionTests(CrowdTestCase):
    """Guard against clients that open more connections than the host has."""

    def test_idle_connections(self):
        self.crowd(TOO_MANY_CLIENTS, lambda _name: Client([]))
        self.assert_bounded()

    def test_connections_with_a_begun_request(self):
        self.crowd(
            TOO_MANY_CLIENTS,
            lambda name: Client([head(TARGET, request_id=name)[:-2]]),
        )
        self.assert_bounded()


if __name__ == "__main__":
    unittest.main()
