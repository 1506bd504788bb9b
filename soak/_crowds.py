"""Clients that send long requests, stop just short of their end, and stay."""

from collections.abc import Iterator
from itertools import chain, repeat

import gevent
from gevent import socket

from bench.entry_process import EntryProcess, HostLimits
from nutmegslip_runtime.http1 import encode_chunk

BODY_BYTES = 2_097_152  # the limit that the soak publishes
CLIENTS = 40  # together they send more than an entry may hold
HOST_LIMITS = HostLimits(memory_mb=96, file_descriptors=1_000)
PIECE_BYTES = 16_384
SEND_TIMEOUT_S = 2.0
BYTES_PER_MB = 1_048_576

_HEAD = b"POST /lookups/crowd HTTP/1.1\r\nHost: hymns.example\r\n"


def send_crowd(entry: EntryProcess, duration_s: float) -> None:
    """Let the clients send at the same time, and leave after a while."""
    clients = [
        gevent.spawn(_send, entry, number, duration_s) for number in range(CLIENTS)
    ]
    gevent.joinall(clients)


def memory_violation(entry: EntryProcess) -> str:
    """Return that an entry takes more than its host allows, empty if it does not."""
    taken_mb = entry.resident_bytes() / BYTES_PER_MB
    if taken_mb <= HOST_LIMITS.memory_mb:
        return ""
    return f"{entry.ip} takes {taken_mb:.0f} MB, {HOST_LIMITS.memory_mb} allowed"


def _send(entry: EntryProcess, number: int, duration_s: float) -> None:
    try:
        address = (entry.ip, entry.ports.callers)
        with socket.create_connection(address, SEND_TIMEOUT_S) as sock:
            sock.settimeout(SEND_TIMEOUT_S)
            for piece in _unfinished_request(chunked=bool(number % 2)):
                sock.sendall(piece)
                gevent.sleep(0)
            gevent.sleep(duration_s)
    except OSError:
        pass  # the entry refused the client, or was disturbed by another step


def _unfinished_request(*, chunked: bool) -> Iterator[bytes]:
    count, rest = BODY_BYTES // PIECE_BYTES - 1, b"x" * (PIECE_BYTES - 1)
    if chunked:
        head = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        piece = encode_chunk(b"x" * PIECE_BYTES)
        return chain([head], repeat(piece, count), [encode_chunk(rest)])
    head = _HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    return chain([head], repeat(b"x" * PIECE_BYTES, count), [rest])
