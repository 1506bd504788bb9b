"""Decide on retries within the retry budget of the process.

The budget is a token bucket: first attempts and elapsed time add to it, and each
retry takes one token, so a failing upstream does not multiply the load.
"""

from typing import NamedTuple

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.retries._types import (
    AttemptFailed,
    AttemptStarted,
    GiveUp,
    GiveUpKind,
    Ran,
    Retry,
    RetryEffect,
    RetryEvent,
    RetryOptions,
)

MIN_RETRY_AFTER_MS = 1_000


class RetryState(NamedTuple):
    """The remaining retry budget; a new process starts with none."""

    options: RetryOptions = RetryOptions()
    budget: float = 0.0
    filled_at_ms: Millis = 0


def reduce(
    state: RetryState, event: RetryEvent
) -> tuple[RetryState, tuple[RetryEffect, ...]]:
    """Add a first attempt to the budget, or decide on a failed attempt."""
    state = _refill(state, event.now_ms)
    match event:
        case AttemptStarted():
            return _with_budget(state, state.budget + state.options.ratio), ()
        case AttemptFailed():
            return _decide(state, event)


def _decide(
    state: RetryState, failed: AttemptFailed
) -> tuple[RetryState, tuple[RetryEffect, ...]]:
    retry_at_ms = failed.now_ms + _backoff_ms(state.options, failed)
    kind = _give_up_kind(state, failed, retry_at_ms)
    if kind is None:
        retry = Retry(failed.request_id, retry_at_ms)
        return _with_budget(state, state.budget - 1), (retry,)
    retry_after_ms = max(failed.retry_after_ms, MIN_RETRY_AFTER_MS)
    return state, (GiveUp(failed.request_id, kind, failed.ran, retry_after_ms),)


def _give_up_kind(
    state: RetryState, failed: AttemptFailed, retry_at_ms: Millis
) -> GiveUpKind | None:
    options = state.options
    if failed.ran is Ran.UNKNOWN and not failed.repeatable:
        return GiveUpKind.MAY_HAVE_RUN
    if failed.attempts >= options.max_attempts:
        return GiveUpKind.ATTEMPTS_SPENT
    if retry_at_ms + options.min_service_ms > failed.deadline_ms:
        return GiveUpKind.DEADLINE_NEAR
    if state.budget < 1:
        return GiveUpKind.BUDGET_SPENT
    return None


def _backoff_ms(options: RetryOptions, failed: AttemptFailed) -> int:
    # The next attempt goes to another upstream, so the first retry needs no delay.
    return options.backoff_ms * (2 ** (failed.attempts - 1) - 1)


def _refill(state: RetryState, now_ms: Millis) -> RetryState:
    elapsed_ms = max(now_ms - state.filled_at_ms, 0)
    filled = state._replace(filled_at_ms=state.filled_at_ms + elapsed_ms)
    earned = elapsed_ms * state.options.min_retries_per_s / 1_000
    return _with_budget(filled, state.budget + earned)


def _with_budget(state: RetryState, budget: float) -> RetryState:
    return state._replace(budget=min(budget, state.options.max_budget))
