"""Reuse connections to upstreams across requests."""

from collections import defaultdict
from collections.abc import Callable

from nutmegslip_decisions.direct import Upstream
from nutmegslip_runtime.http1 import ClientConnection, HeldBodies

CONNECT_TIMEOUT_MS = 400  # a round trip takes a few ms; a failed host never answers
RECEIVE_BUFFER_BYTES = 32_768  # of a stream whose caller reads slowly, unread
UNSTATED_IDLE_MS = 4_000  # most upstreams close idle connections after 5 s or more
MAX_IDLE_MS = 60_000  # a host may vanish without closing its connections
IDLE_MARGIN_MS = 1_500  # a stated timeout may be rounded up, and a request is late


class Pool:
    """Idle connections by upstream incarnation; the last used is reused first.

    ``max_idle`` returns how many may be kept to an upstream.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        max_idle: Callable[[Upstream], int],
        held_bodies: HeldBodies | None = None,
    ) -> None:
        self._clock = clock
        self._max_idle = max_idle
        self._idle: dict[tuple, list[ClientConnection]] = defaultdict(list)
        self.opened = 0
        self.reused = 0
        self.held_bodies = held_bodies or HeldBodies()

    def acquire(
        self, upstream: Upstream, deadline_ms: int, *, fresh: bool
    ) -> ClientConnection:
        """Return a connection; raise NotConnected if none opens in time.

        If ``fresh``, open a new one, as an idle one may have been lost unnoticed.
        """
        idle = self._idle[_pool_key(upstream)]
        while idle and not fresh:
            connection = idle.pop()
            if connection.idle_until_ms > self._clock() and connection.is_reusable:
                self.reused += 1
                return connection
            connection.close()
        self.opened += 1
        timeout_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - self._clock())
        return ClientConnection.connect(
            upstream.host,
            upstream.port,
            max(timeout_ms, 1) / 1_000,
            self._clock,
            self.held_bodies,
            RECEIVE_BUFFER_BYTES,
        )

    def release(self, upstream: Upstream, connection: ClientConnection) -> int:
        """Keep a connection whose answer was read completely, if it is reusable.

        Return until when it is kept, 0 if it was closed.
        """
        idle = self._idle[_pool_key(upstream)]
        until_ms = connection.received_ms + _idle_ms(connection.idle_timeout_ms)
        if (
            until_ms > self._clock()
            and len(idle) < self._max_idle(upstream)
            and connection.is_reusable
        ):
            connection.idle_until_ms = until_ms
            idle.append(connection)
            return until_ms
        connection.close()
        return 0

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock()
        for key, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_until_ms <= now_ms]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[key]


def _idle_ms(stated_ms: int | None) -> int:
    """Return how long a connection is kept whose upstream states a timeout, or none."""
    if stated_ms is None:
        return UNSTATED_IDLE_MS
    return min(stated_ms - IDLE_MARGIN_MS, MAX_IDLE_MS)


def _pool_key(upstream: Upstream) -> tuple[str, str, int, int]:
    return upstream.id, upstream.host, upstream.port, upstream.born_ms
