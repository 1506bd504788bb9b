"""Choose which callers to disconnect when all of them together take too much.

Answers the load pattern in which many callers send long requests at once, pause before
the end of a request, or do not read their answers. Who holds the most bytes for the
longest time without progress is refused first, so that a caller that sends a short
request, or a long one without a pause, is served. Connections beyond the limit take the
place of the one that has been idle for the longest time.
"""

from collections.abc import Iterable
from enum import StrEnum
from itertools import accumulate
from typing import NamedTuple

from nutmegslip_decisions.model import Millis

BYTES_PER_MB = 1_048_576
RESERVED_DESCRIPTORS = 200  # the host keeps them for files
HELD_SHARE = 1 / 6  # of the memory, for requests and answers
CONNECTIONS_SHARE = 1 / 4  # of the memory
CONNECTION_BYTES = 32_768  # 12 KB of objects, and what the kernel holds unread
MIN_CONNECTIONS = 16


class CallerLimit(StrEnum):
    """A limit on what all callers together may take."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class HostLimits(NamedTuple):
    """What the host allows the process."""

    memory_mb: int = 256
    file_descriptors: int = 1_024


class CallerLimits(NamedTuple):
    """What all callers together may take.

    ``held_bytes`` are those of requests and answers, ``connections`` the open ones.
    """

    held_bytes: int
    connections: int


class Holding(NamedTuple):
    """What one caller's connection holds, and when it last made progress."""

    key: int
    held_bytes: int
    progressed_ms: Millis


def caller_limits(host: HostLimits) -> CallerLimits:
    """Return what callers may take on a host; half of the sockets go to upstreams."""
    memory_bytes = host.memory_mb * BYTES_PER_MB
    sockets = (host.file_descriptors - RESERVED_DESCRIPTORS) // 2
    fitting = int(memory_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    return CallerLimits(
        held_bytes=int(memory_bytes * HELD_SHARE),
        connections=max(min(sockets, fitting), MIN_CONNECTIONS),
    )


def holdings_to_refuse(
    holdings: Iterable[Holding], excess_bytes: int, now_ms: Millis
) -> tuple[Holding, ...]:
    """Return the holdings to give up, so that so many bytes become free."""
    ranked = sorted(
        (holding for holding in holdings if holding.held_bytes),
        key=lambda h: h.held_bytes * (now_ms - h.progressed_ms + 1),
        reverse=True,
    )
    freed_before = accumulate((h.held_bytes for h in ranked), initial=0)
    return tuple(
        holding
        for holding, freed in zip(ranked, freed_before, strict=False)
        if freed < excess_bytes
    )


def connection_to_close(
    idle: Iterable[Holding], unfinished: Iterable[Holding]
) -> Holding | None:
    """Return the connection that a new one replaces, None if all serve requests.

    Callers expect that idle connections may be closed at any time. Without one, the
    request that has made no progress for the longest time is refused.
    """
    for candidates in (idle, unfinished):
        oldest = min(candidates, key=lambda h: h.progressed_ms, default=None)
        if oldest is not None:
            return oldest
    return None
