"""Choose an upstream for each request."""

from nutmegslip_decisions.routing._choose import choose, count_sent, headroom, is_usable
from nutmegslip_decisions.routing._reduce import reduce
from nutmegslip_decisions.routing._state import Pool, RoutingState, Upstream
from nutmegslip_decisions.routing._types import (
    ClassShares,
    LoadReported,
    NoUpstream,
    NoUpstreamKind,
    Request,
    RequestEnded,
    RequestFailed,
    RequestRefused,
    RoutingEvent,
    RoutingOptions,
    UpstreamsChanged,
)

__all__ = [
    "ClassShares",
    "LoadReported",
    "NoUpstream",
    "NoUpstreamKind",
    "Pool",
    "Request",
    "RequestEnded",
    "RequestFailed",
    "RequestRefused",
    "RoutingEvent",
    "RoutingOptions",
    "RoutingState",
    "Upstream",
    "UpstreamsChanged",
    "choose",
    "count_sent",
    "headroom",
    "is_usable",
    "reduce",
]
