"""Limit retries at a service over all entries.

Answers the load pattern in which an upstream or a whole service fails and each
failure causes a retry: retries are limited to a fixed share of arriving requests.
A retry that waits for a slot counts from the decision on, so that requests which fail
together do not all pass the same check.
"""

import math
from typing import NamedTuple

from nutmegslip_decisions.direct._spending import (
    ended_retries,
    knows_earlier_retries,
)
from nutmegslip_decisions.direct._state import (
    BUDGET_BUCKET_MS,
    ServiceLoad,
    State,
)
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

INITIAL_HOLD_MS = 50.0  # where the moving averages of a service start
INITIAL_START_MS = 50.0
EARNED_SHARE = 0.9  # entries reach their limits at the peaks of their own requests


class RetryBudget(NamedTuple):
    """The retries of a service in the budget window, and what bounds them.

    ``retries`` were sent by this entry, earlier processes included; it may send
    ``allowed`` in all. ``waiting`` are queued for a slot. ``entries`` is the count of
    entries that share the slack.
    """

    retries: int
    allowed: float
    waiting: int
    entries: int

    @property
    def is_spent(self) -> bool:
        """Return whether one more retry exceeds what is allowed, after the queued."""
        return self.retries + self.waiting + 1 > self.allowed

    @property
    def allows_send(self) -> bool:
        """Return whether a queued retry may be sent."""
        return self.retries + 1 <= self.allowed

    @property
    def excess(self) -> int:
        """Return how many of the queued retries exceed what is allowed."""
        return max(math.ceil(self.retries + self.waiting - self.allowed), 0)


def load_of(state: State, service: str) -> ServiceLoad:
    """Return the load of a service as measured by this entry."""
    found = state.loads.get(service)
    if found is not None:
        return found
    arrivals = Window(BUDGET_BUCKET_MS, state.options.budget_window_ms)
    retries = Window(BUDGET_BUCKET_MS, state.options.retry_window_ms)
    return ServiceLoad(arrivals, retries, INITIAL_HOLD_MS, INITIAL_START_MS)


def count_arrival(state: State, service: str, now_ms: Millis) -> State:
    """Count a caller's request for a service."""
    load = load_of(state, service)
    changed = load._replace(arrivals=load.arrivals.add(now_ms))
    return state._replace(loads=state.loads.set(service, changed))


def count_retry(state: State, service: str, now_ms: Millis) -> State:
    """Count an attempt of a request after its first."""
    load = load_of(state, service)
    changed = load._replace(retries=load.retries.add(now_ms))
    return state._replace(loads=state.loads.set(service, changed))


def retry_budget(state: State, service: str, now_ms: Millis) -> RetryBudget:
    """Return the retry budget of a service at this entry.

    Requests earn retries only while they are certainly in the window; retries count
    for as long as they may be in it, and what is late in reaching an upstream longer.
    """
    load = load_of(state, service)
    options = state.options
    entries = state.sharing_count()
    arrivals = load.arrivals.count_within(now_ms)
    earned = EARNED_SHARE * options.budget_ratio * arrivals
    waiting = sum(
        state.requests[ticket].reached > 0 for ticket in state.waiting.get(service, ())
    )
    allowed = earned + options.budget_slack / entries
    if not knows_earlier_retries(state, now_ms):
        allowed = 0.0
    retries = load.retries.count(now_ms) + ended_retries(state, service)
    return RetryBudget(retries, allowed, waiting, entries)
