"""Keep connections to upstreams between requests."""

from collections import defaultdict
from collections.abc import Callable

from nutmegslip_decisions.direct import Upstream
from nutmegslip_runtime.http1 import ClientConnection

CONNECT_TIMEOUT_MS = 400  # a round trip is a few ms; a dark host never answers
KEEP_MS = 4_000  # upstreams drop idle connections; most announce 5 s and more
KEPT_PER_UPSTREAM = 8


class Pool:
    """Hand out connections by life of an upstream; the newest goes first."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._kept: dict[tuple, list[ClientConnection]] = defaultdict(list)

    def take(
        self, upstream: Upstream, deadline_ms: int, *, fresh: bool
    ) -> ClientConnection:
        """Return a connection; raise NotConnected where none opens in time.

        ``fresh`` asks for a new one, on which nothing can have been lost before.
        """
        kept = self._kept[_life(upstream)]
        while kept and not fresh:
            channel = kept.pop()
            recent = channel.idle_since_ms + KEEP_MS > self._clock()
            if recent and channel.is_reusable:
                return channel
            channel.close()
        timeout_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - self._clock())
        return ClientConnection.connect(
            upstream.host, upstream.port, max(timeout_ms, 1) / 1_000, self._clock
        )

    def give_back(self, upstream: Upstream, channel: ClientConnection) -> None:
        """Keep a connection whose answer was read whole, if it stays open."""
        kept = self._kept[_life(upstream)]
        if len(kept) < KEPT_PER_UPSTREAM and channel.is_reusable:
            channel.idle_since_ms = self._clock()
            kept.append(channel)
        else:
            channel.close()

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        for life, kept in list(self._kept.items()):
            old = [c for c in kept if c.idle_since_ms + KEEP_MS <= self._clock()]
            for channel in old:
                kept.remove(channel)
                channel.close()
            if not kept:
                del self._kept[life]


def _life(upstream: Upstream) -> tuple[str, str, int, int]:
    return upstream.id, upstream.host, upstream.port, upstream.born_ms
