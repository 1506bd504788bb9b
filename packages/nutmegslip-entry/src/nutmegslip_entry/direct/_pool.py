"""Reuse connections to upstreams across requests."""

from collections import defaultdict
from collections.abc import Callable

from nutmegslip_decisions.direct import Upstream
from nutmegslip_runtime.http1 import ClientConnection

CONNECT_TIMEOUT_MS = 400  # a round trip takes a few ms; a failed host never answers
MAX_IDLE_MS = 4_000  # upstreams close idle connections; most after 5 s or more
MAX_IDLE_PER_UPSTREAM = 8


class Pool:
    """Idle connections by upstream incarnation; the last used is reused first."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._idle: dict[tuple, list[ClientConnection]] = defaultdict(list)

    def acquire(
        self, upstream: Upstream, deadline_ms: int, *, fresh: bool
    ) -> ClientConnection:
        """Return a connection; raise NotConnected if none opens in time.

        If ``fresh``, open a new one, as an idle one may have been lost unnoticed.
        """
        idle = self._idle[_pool_key(upstream)]
        while idle and not fresh:
            connection = idle.pop()
            recent = connection.idle_since_ms + MAX_IDLE_MS > self._clock()
            if recent and connection.is_reusable:
                return connection
            connection.close()
        timeout_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - self._clock())
        return ClientConnection.connect(
            upstream.host, upstream.port, max(timeout_ms, 1) / 1_000, self._clock
        )

    def release(self, upstream: Upstream, connection: ClientConnection) -> None:
        """Keep a connection whose answer was read completely, if it is reusable."""
        idle = self._idle[_pool_key(upstream)]
        if len(idle) < MAX_IDLE_PER_UPSTREAM and connection.is_reusable:
            connection.idle_since_ms = self._clock()
            idle.append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for key, idle in list(self._idle.items()):
            expired = [
                c for c in idle if c.idle_since_ms + MAX_IDLE_MS <= self._clock()
            ]
            for connection in expired:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[key]


def _pool_key(upstream: Upstream) -> tuple[str, str, int, int]:
    return upstream.id, upstream.host, upstream.port, upstream.born_ms
