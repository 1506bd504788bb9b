"""Decide whether a failed attempt is retried and how long its upstream is avoided.

Answers the load pattern in which upstreams crash, shed or fail part of their
requests: a request is sent to another upstream only if it has not run or may run
again, within its route's attempts, the retry budget and its deadline.
"""

from nutmegslip_decisions.direct._budget import retry_budget
from nutmegslip_decisions.direct._events import (
    Broken,
    Declined,
    Errored,
    Failure,
    Moved,
    NotSent,
)
from nutmegslip_decisions.direct._state import State, UpstreamStats
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.model import Millis

INITIAL_AVOID_MS = 500  # after the first failure; doubles with each further one
MAX_AVOID_MS = 8_000
DECLINED_AVOID_MS = 100  # a full upstream has a free slot after about this long
MAX_UNSENT_ATTEMPTS = 4  # a refused connection is cheap, but not free
MISDIRECTED_AVOID_MS = 2_000  # the list includes a new upstream within this time
MIN_REMAINING_MS = 60  # no upstream answers in less


def may_retry(state: State, request: Request, failure: Failure, now_ms: Millis) -> bool:
    """Return whether a request may be sent to another upstream."""
    if now_ms + MIN_REMAINING_MS > request.deadline_ms:
        return False
    if request.reached and retry_budget(state, request.service, now_ms).is_spent:
        return False
    match failure:
        case NotSent() | Declined(misdirected=True):
            return len(request.tried) < MAX_UNSENT_ATTEMPTS
        case Declined():
            safe = True
        case Broken() | Errored() | Moved():
            safe = request.route.repeatable
    return safe and request.sends < request.route.attempts


def may_have_executed(failure: Failure) -> bool:
    """Return whether the upstream may have run the request."""
    return isinstance(failure, Broken | Errored | Moved)


def stats_after_failure(
    stats: UpstreamStats, failure: Failure, now_ms: Millis
) -> UpstreamStats:
    """Return the statistics of an upstream after a failed attempt."""
    match failure:
        case Errored() | Moved() | NotSent(overdue=True):
            return stats
        case Declined(misdirected=True):
            return stats._replace(avoid_until_ms=now_ms + MISDIRECTED_AVOID_MS)
        case Declined():
            return stats._replace(avoid_until_ms=now_ms + DECLINED_AVOID_MS)
        case NotSent() | Broken():
            return _avoided_longer(stats, now_ms)


def stats_after_lost_race(stats: UpstreamStats, now_ms: Millis) -> UpstreamStats:
    """Return the statistics of an upstream whose request another one answered first.

    The other attempt began later, so the upstream is much slower than usual or silent.
    """
    return _avoided_longer(stats, now_ms)


def _avoided_longer(stats: UpstreamStats, now_ms: Millis) -> UpstreamStats:
    failures = stats.failures + 1
    avoid_ms = min(INITIAL_AVOID_MS * 2 ** (failures - 1), MAX_AVOID_MS)
    return stats._replace(failures=failures, avoid_until_ms=now_ms + avoid_ms)
