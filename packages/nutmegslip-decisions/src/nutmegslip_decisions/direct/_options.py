"""Options of an entry that sends to upstreams directly; limits are per fleet."""

from typing import NamedTuple

LATE_ARRIVAL_MS = 500  # at an upstream, after one retransmission on a lossy link


class Options(NamedTuple):
    """The limits of a deployment and the options of an entry.

    ``address`` is the one under which other entries know this one, ``zone`` its
    availability zone. ``entries`` is the
    minimum count of entries that share the limits. ``budget_*``
    limit retries at a service, ``cold_*`` limit requests to a cold upstream.
    ``rejoin_ms`` is how long removed upstreams are kept after a store outage.
    ``evacuation_ms`` is the time from the order to take an availability zone out of
    service until nothing may reach its upstreams, None to stop when it is read.
    ``hedge_max_share`` limits second attempts of slow requests, as a share of the
    requests for a service, 0 for none; ``hedge_after_quantile`` is the share of
    answers that begin before a request counts as slow.
    """

    name: str
    address: str = ""
    zone: str = ""
    entries: int = 1
    budget_ratio: float = 0.1
    budget_window_ms: int = 10_000
    budget_slack: float = 0.0
    cold_multiplier: float = 1.0
    cold_slack: float = 0.0
    rejoin_ms: int = 2_000
    evacuation_ms: int | None = None
    hedge_max_share: float = 0.0
    hedge_after_quantile: float = 0.95

    @property
    def retry_window_ms(self) -> int:
        """Return for how long a retry counts, from its sending on."""
        return self.budget_window_ms + LATE_ARRIVAL_MS
