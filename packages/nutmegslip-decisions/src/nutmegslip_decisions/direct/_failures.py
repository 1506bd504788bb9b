"""Decide what follows a failed attempt.

Answers the pattern in which upstreams crash, shed or fail part of their requests:
a request goes to another upstream only where it may run again or has not run, while
its route's attempts, the budget and its deadline allow.
"""

from nutmegslip_decisions.direct._budget import may_repeat
from nutmegslip_decisions.direct._events import (
    Broken,
    Declined,
    Errored,
    Failure,
    NotSent,
)
from nutmegslip_decisions.direct._state import Standing, State
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.model import Millis

AVOID_MS = 500  # the first time for which a failing upstream is avoided
AVOID_LIMIT_MS = 8_000
DECLINED_AVOID_MS = 100  # a full upstream has a free slot after about this long
MAX_UNSENT_ATTEMPTS = 4  # connections refused cost little, but not nothing
MISDIRECTED_AVOID_MS = 2_000  # the list follows a new upstream within this time
LEAST_TIME_LEFT_MS = 60  # below it no upstream answers


def may_go_on(state: State, request: Request, failure: Failure, now_ms: Millis) -> bool:
    """Return whether a request may be sent to another upstream."""
    if now_ms + LEAST_TIME_LEFT_MS > request.deadline_ms:
        return False
    if request.reached and not may_repeat(state, request.service, now_ms):
        return False
    match failure:
        case NotSent() | Declined(misdirected=True):
            return len(request.tried) < MAX_UNSENT_ATTEMPTS
        case Declined():
            safe = True
        case Broken() | Errored():
            safe = request.route.repeatable
    return safe and request.sends < request.route.attempts


def has_run(failure: Failure) -> bool:
    """Return whether an upstream may have run the request."""
    return isinstance(failure, Broken | Errored)


def after_failure(standing: Standing, failure: Failure, now_ms: Millis) -> Standing:
    """Return what is known of an upstream after a failed attempt at it."""
    match failure:
        case Errored():
            return standing
        case Declined(misdirected=True):
            return standing._replace(avoid_until_ms=now_ms + MISDIRECTED_AVOID_MS)
        case Declined():
            return standing._replace(avoid_until_ms=now_ms + DECLINED_AVOID_MS)
        case NotSent() | Broken():
            failures = standing.failures + 1
            avoid_ms = min(AVOID_MS * 2 ** (failures - 1), AVOID_LIMIT_MS)
            return standing._replace(
                failures=failures, avoid_until_ms=now_ms + avoid_ms
            )
