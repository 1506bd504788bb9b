"""Set socket options, including those that detect an unreachable peer."""

import socket
import struct
from collections.abc import Callable

KEEPALIVE_IDLE_S = 1  # the minimum that the kernel accepts
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2_000  # matches the keepalive probes


_LINGER_ZERO = struct.pack("ii", 1, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing a socket send a reset instead of an orderly shutdown."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def send_all(
    sock: socket.socket,
    data: bytes,
    stall_timeout_s: float,
    on_sent: Callable[[int], None] | None = None,
) -> None:
    """Send all bytes; raise TimeoutError if none is accepted for that long.

    A peer that reads slowly but steadily never times out. ``on_sent`` is told how many
    bytes were accepted.
    """
    sock.settimeout(stall_timeout_s)
    remaining = memoryview(data)
    while remaining:
        sent = sock.send(remaining)
        remaining = remaining[sent:]
        if on_sent is not None:
            on_sent(sent)


def configure_socket(sock: socket.socket) -> None:
    """Send small writes immediately; fail within seconds when the peer is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
