"""Crowds of clients that ignore the limits, and what an entry takes meanwhile."""

from collections.abc import Iterable, Iterator
from itertools import chain, repeat
from typing import NamedTuple

import gevent
from gevent import socket

from bench.direct_site import API_KEY, Site, caller_headers, make_configuration
from bench.entry_process import HostLimits
from nutmegslip_runtime.http1 import encode_chunk

# The limits of the platform's pages, on a host that is smaller than any of theirs.
BODY_BYTES = 4_194_304
HEADER_BYTES = 16_384
HOST = HostLimits(memory_mb=96, file_descriptors=400)
LIMITS = {
    "headerBytes": HEADER_BYTES,
    "bodyBytes": BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}

BYTES_PER_MB = 1_048_576
PIECE_BYTES = 65_536
SAMPLE_INTERVAL_S = 0.02
SEND_TIMEOUT_S = 20.0  # a client gives up when the entry reads nothing for so long
CROWD_TIMEOUT_S = 120.0
FINISHING = 8  # each such client sends the rest of its request too
SLOTS = 64  # of each upstream, so that a crowd is served at the same time
BODY_START = b"x" * (BODY_BYTES - 1)


class Client(NamedTuple):
    """What one client sends: ``rest`` only if it finishes its request."""

    pieces: Iterable[bytes]
    rest: bytes = b""


class Peak(NamedTuple):
    """The most that a process took at one moment."""

    memory_bytes: int = 0
    descriptors: int = 0


def head(target: str, *headers: tuple[bytes, bytes], request_id: str) -> bytes:
    """Return the head of a caller's POST request."""
    all_headers = [*caller_headers(request_id, API_KEY), *headers]
    lines = b"".join(b"%s: %s\r\n" % header for header in all_headers)
    return b"POST %s HTTP/1.1\r\n%s\r\n" % (target.encode(), lines)


def with_length(target: str, length: int, request_id: str) -> bytes:
    """Return the head of a request with a body of a length."""
    return head(target, (b"Content-Length", b"%d" % length), request_id=request_id)


def with_chunks(target: str, request_id: str) -> bytes:
    """Return the head of a request with a body in chunks."""
    return head(target, (b"Transfer-Encoding", b"chunked"), request_id=request_id)


def split(data: bytes, size: int = PIECE_BYTES) -> Iterator[bytes]:
    """Yield the parts of some bytes."""
    return (data[start : start + size] for start in range(0, len(data), size))


def chunks(data: bytes, chunk_bytes: int) -> Iterator[bytes]:
    """Yield chunks of some bytes, small ones together."""
    count, rest = divmod(len(data), chunk_bytes)
    together = max(PIECE_BYTES // chunk_bytes, 1)
    block = encode_chunk(data[:chunk_bytes]) * together
    blocks, single = divmod(count, together)
    last = encode_chunk(data[:chunk_bytes]) * single
    return chain(
        repeat(block, blocks),
        [last + (encode_chunk(data[:rest]) if rest else b"")],
    )


class CrowdSite(Site):
    """A site with one entry on a small host, which is watched."""

    def __init__(self) -> None:
        super().__init__(HOST)
        self.peak = Peak()
        self.publish(make_configuration(3) | {"limits": LIMITS})
        self.board = [
            self.add_runner(name, "board", slots=SLOTS) for name in ("b1", "b2")
        ]
        self.model = [
            self.add_runner(name, "model", events=6, slots=SLOTS)
            for name in ("m1", "m2")
        ]
        self._sockets: list[socket.socket] = []
        self.start()
        self._watcher = gevent.spawn(self._watch)

    def is_unused(self) -> bool:
        """Return whether the entry serves no request."""
        return "nutmegslip_requests_in_hand 0.0" in self.metrics()

    def sample(self) -> None:
        """Measure what the process takes now."""
        memory = self.entry.resident_bytes() + self.entry.unread_bytes()
        self.peak = Peak(
            max(self.peak.memory_bytes, memory),
            max(self.peak.descriptors, len(self.entry.descriptors())),
        )

    def _watch(self) -> None:
        while True:
            self.sample()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def send_crowd(self, clients: Iterable[Client]) -> None:
        """Let clients send at the same time; their connections stay open."""
        senders = [
            gevent.spawn(self._send_client, client, number % FINISHING == 0)
            for number, client in enumerate(clients)
        ]
        gevent.joinall(senders, timeout=CROWD_TIMEOUT_S)

    def _send_client(self, client: Client, finishes: bool) -> None:
        try:
            address = (self.entry.ip, self.entry.ports.callers)
            sock = socket.create_connection(address, SEND_TIMEOUT_S)
            self._sockets.append(sock)
            sock.settimeout(SEND_TIMEOUT_S)
            for piece in client.pieces:
                sock.sendall(piece)
                gevent.sleep(0)
            if finishes:
                sock.sendall(client.rest)
        except OSError:
            pass  # the entry refused the client; the connection is kept as it is

    def close(self) -> None:
        """Stop everything that this site started."""
        self._watcher.kill()
        for sock in self._sockets:
            sock.close()
        super().close()


def head_far_over_limit(limit_bytes: int, request_id: str) -> bytes:
    """Return the head of a request whose body is far over a limit."""
    return with_length("/lookups/1", 256 * limit_bytes, request_id)


def head_of_short_headers(header_count: int, request_id: str) -> bytes:
    """Return the start of a head with many of the shortest headers."""
    start = head("/lookups/1", request_id=request_id)[: -len(b"\r\n")]
    return start + b"a:\r\n" * header_count


__all__ = [
    "BODY_BYTES",
    "BODY_START",
    "BYTES_PER_MB",
    "HEADER_BYTES",
    "HOST",
    "PIECE_BYTES",
    "Client",
    "CrowdSite",
    "chunks",
    "head",
    "head_far_over_limit",
    "head_of_short_headers",
    "split",
    "with_chunks",
    "with_length",
]
