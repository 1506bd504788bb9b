"""Hold what an entry that sends directly knows and has in hand."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.direct._options import Options
from nutmegslip_decisions.direct._routes import RouteTable
from nutmegslip_decisions.direct._types import Configuration, Request, Upstream
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

COLD_WINDOW_MS = 1_000  # the cold bound is stated for any second
COLD_BUCKET_MS = 50  # the bound is kept to within a twentieth of its window
BUDGET_BUCKET_MS = 500


class UpstreamStats(NamedTuple):
    """Hold what this entry knows of an upstream from its own attempts."""

    in_flight: int = 0
    sent: Window = Window(COLD_BUCKET_MS, COLD_WINDOW_MS)
    failures: int = 0
    avoid_until_ms: Millis = 0


_NO_STATS = UpstreamStats()


class PeerReport(NamedTuple):
    """Hold what another entry reported last."""

    received_ms: Millis
    in_flight: Map[str, int]


class ServiceLoad(NamedTuple):
    """Measure a service from this entry's own requests.

    ``hold_ms`` is the mean time in hand, ``start_ms`` the mean time to the first
    part of an answer. ``open_shares`` holds, by group, the share of slots that may be
    taken, where it is not all.
    """

    arrivals: Window
    retries: Window
    hold_ms: float
    start_ms: float
    open_shares: Map[str, float] = Map()


class GroupSuspicion(NamedTuple):
    """Hold the epoch in which a group had a rank at fault.

    Until ``closed_until_ms`` nothing is sent; then one request at a time, until
    one is answered or the group is published in a later epoch.
    """

    epoch: int
    closed_until_ms: Millis


class State(NamedTuple):
    """Hold everything that the reducer decides from.

    ``elsewhere`` is what all peers have in hand, by upstream.
    """

    options: Options
    configuration: Configuration | None = None
    table: RouteTable | None = None
    upstreams: Map[str, Upstream] = Map()
    by_service: Map[str, tuple[str, ...]] = Map()
    lapsing: Map[str, Millis] = Map()
    store_lost: bool = False
    lapse_until_ms: Millis = 0
    zones_out: frozenset[str] = frozenset()
    upstream_stats: Map[str, UpstreamStats] = Map()
    peers: Map[str, PeerReport] = Map()
    peer_in_flight: Map[str, int] = Map()
    suspicions: Map[str, GroupSuspicion] = Map()
    loads: Map[str, ServiceLoad] = Map()
    requests: Map[int, Request] = Map()
    waiting: Map[str, tuple[int, ...]] = Map()

    def entry_count(self) -> int:
        """Return the count of entries that share the bounds of the fleet."""
        return max(self.options.entries, len(self.peers) + 1)

    def stats_of(self, upstream_id: str) -> UpstreamStats:
        """Return what is known of an upstream."""
        return self.upstream_stats.get(upstream_id, _NO_STATS)
