"""Share the limits of an upstream among the entries.

Answers the load patterns in which an upstream takes only so many requests from all
entries together: one that is cold, and one that names a rate. No request waits for
another entry. Each entry has a fixed share, which it earns from the start of its
process on, so that nothing has to be remembered over a restart. A named rate is often
so small that it has a request for few entries only; so a few of them, which all entries
determine alike, share it, and the others send their requests to other upstreams.
"""

from functools import lru_cache

import xxhash

from nutmegslip_decisions.direct._state import State, UpstreamStats
from nutmegslip_decisions.direct._types import NamedLimit, Upstream
from nutmegslip_decisions.model import Millis

MAX_SHARERS = 4  # each may send a request at once; upstreams bear few above their rate
MAX_CREDIT = 1.0  # requests
MIN_SHARE_PER_S = 0.02  # an upstream that gets nothing cannot end its limit
UNCONFIRMED_MS = 30_000  # without an answer that named it, any entry may ask


def cold_limit_per_entry(state: State, service: str) -> int | None:
    """Return how many requests this entry may send to an upstream in a second.

    This is the entry's share of the rate limit of a cold upstream, None where the
    service has no cold start. It applies to warm upstreams too, since they may turn
    cold without notice.
    """
    services = state.configuration and state.configuration.services
    service_config = services.get(service) if services else None
    if service_config is None or service_config.cold_per_s <= 0:
        return None
    options = state.options
    bound = service_config.cold_per_s * options.cold_multiplier + options.cold_slack
    return max(1, int(bound / state.sharing_count()))


def limit_shares(state: State, now_ms: Millis) -> dict[str, float]:
    """Return this entry's share of the rate of each upstream that names one.

    It is 0 if only other entries have a share.
    """
    if not state.named_limits:
        return {}
    entries = tuple(sorted({state.options.address, *state.sharing}))
    found = {
        upstream_id: state.limit_of(state.upstreams[upstream_id])
        for upstream_id in state.named_limits
        if upstream_id in state.upstreams
    }
    return {
        upstream_id: _share_per_s(state, upstream_id, limit, entries, now_ms)
        for upstream_id, limit in found.items()
        if limit is not None
    }


def _share_per_s(
    state: State,
    upstream_id: str,
    limit: NamedLimit,
    entries: tuple[str, ...],
    now_ms: Millis,
) -> float:
    if limit.named_ms + UNCONFIRMED_MS <= now_ms:
        return max(limit.per_s / state.sharing_count(), MIN_SHARE_PER_S)
    if state.options.address not in _sharers(upstream_id, entries):
        return 0.0
    sharers = min(MAX_SHARERS, state.sharing_count())
    return max(limit.per_s / sharers, MIN_SHARE_PER_S)


def has_credit(
    state: State, stats: UpstreamStats, share: float | None, now_ms: Millis
) -> bool:
    """Return whether a share of a named rate allows a request now; None is no limit."""
    if share is None:
        return True
    return share > 0 and _credit(state, stats, share, now_ms) >= 1


def with_credit_spent(
    state: State, upstream: Upstream, stats: UpstreamStats, now_ms: Millis
) -> UpstreamStats:
    """Charge a request to this entry's share of the rate that an upstream names."""
    share = limit_shares(state, now_ms).get(upstream.id)
    if share is None:
        return stats
    credit = max(_credit(state, stats, share, now_ms) - 1, 0.0)
    return stats._replace(credit=credit, credit_ms=now_ms)


def _credit(state: State, stats: UpstreamStats, share: float, now_ms: Millis) -> float:
    since_ms = max(stats.credit_ms, state.process.started_ms)
    earned = share * (now_ms - since_ms) / 1_000
    return min(stats.credit + earned, MAX_CREDIT)


@lru_cache(maxsize=1_024)
def _sharers(upstream_id: str, entries: tuple[str, ...]) -> frozenset[str]:
    """Return the entries that share the rate of an upstream, by rendezvous hashing.

    If an entry joins or leaves, at most one of them changes.
    """
    ranked = sorted(entries, key=lambda entry: _rank(upstream_id, entry))
    return frozenset(ranked[:MAX_SHARERS])


def _rank(upstream_id: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{upstream_id} {entry}".encode())
