"""Limit retries at a service over all entries.

Answers the load pattern in which an upstream or a whole service fails and each
failure causes a retry: retries are limited to a fixed share of arriving requests.
"""

from nutmegslip_decisions.direct._state import (
    BUDGET_BUCKET_MS,
    ServiceLoad,
    State,
)
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

INITIAL_HOLD_MS = 50.0  # where the moving averages of a service start
INITIAL_START_MS = 50.0


def load_of(state: State, service: str) -> ServiceLoad:
    """Return the load of a service as measured by this entry."""
    found = state.loads.get(service)
    if found is not None:
        return found
    window = Window(BUDGET_BUCKET_MS, state.options.budget_window_ms)
    return ServiceLoad(window, window, INITIAL_HOLD_MS, INITIAL_START_MS)


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


def has_retry_budget(state: State, service: str, now_ms: Millis) -> bool:
    """Return whether this entry's share of the budget allows one more retry."""
    load = load_of(state, service)
    options = state.options
    slack = options.budget_slack / state.entry_count()
    allowed = options.budget_ratio * load.arrivals.count(now_ms) + slack
    return load.retries.count(now_ms) + 1 <= allowed
