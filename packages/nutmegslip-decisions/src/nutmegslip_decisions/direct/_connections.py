"""Prefer upstreams to which this entry keeps an idle connection.

Answers the load pattern in which many entries send to many upstreams: a pair meets
once in several seconds, so that nearly every request opens a connection, which costs
the caller a round trip and the upstream a place among those that it accepts. Of
upstreams that are loaded alike, one with an idle connection is taken.
"""

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import State, UpstreamStats
from nutmegslip_decisions.direct._types import Request, RequestKind
from nutmegslip_decisions.model import Millis

FEW_UPSTREAMS = 12  # a sample takes in all of them
RARE_MEETING_MS = 1_000  # some meetings within the life of an idle connection
MAX_IDLE_CONNECTIONS = 8  # to an upstream; an entry seldom has more requests there
IDLE_LIMIT_SHARE = 0.5  # of the connections that an upstream accepts from all entries


def meets_rarely(state: State, service: str, now_ms: Millis) -> bool:
    """Return whether this entry sends to each upstream of a service only now and then.

    More frequent use keeps connections open whichever upstreams are chosen.
    """
    upstreams = len(state.by_service.get(service, ()))
    arrivals = load_of(state, service).arrivals.count(now_ms)
    interval_ms = upstreams * state.options.budget_window_ms / max(arrivals, 1)
    return upstreams > FEW_UPSTREAMS and interval_ms > RARE_MEETING_MS


def has_connection(stats: UpstreamStats, now_ms: Millis) -> bool:
    """Return whether an idle connection to the upstream is kept."""
    return bool(stats.idle_until) and stats.idle_until[-1] > now_ms


def with_connection_taken(stats: UpstreamStats, request: Request) -> UpstreamStats:
    """Take the idle connection that was used last, if the request may use one."""
    if request.route.kind is RequestKind.NON_IDEMPOTENT:
        return stats
    return stats._replace(idle_until=stats.idle_until[:-1])


def with_connection_kept(
    stats: UpstreamStats, until_ms: Millis, now_ms: Millis
) -> UpstreamStats:
    """Count a connection that is kept until ``until_ms``, 0 for one that is closed."""
    if until_ms <= now_ms:
        return stats
    kept = sorted(known for known in stats.idle_until if known > now_ms)
    return stats._replace(idle_until=(*kept[1 - MAX_IDLE_CONNECTIONS :], until_ms))


def max_idle_connections(state: State, service: str) -> int:
    """Return how many idle connections this entry may keep to an upstream.

    Those of all entries take up to half of what the upstream accepts, so that they
    leave room for requests in flight.
    """
    configuration = state.configuration
    found = configuration and configuration.services.get(service)
    if not found or not found.connection_limit:
        return MAX_IDLE_CONNECTIONS
    share = found.connection_limit * IDLE_LIMIT_SHARE / state.serving_count()
    return min(max(int(share), 1), MAX_IDLE_CONNECTIONS)
