"""Share the slots of a service between client accounts, over all entries.

Answers the load pattern in which one account sends far more than its part while slots
are scarce: they are shared by max-min fairness. An account that wants little gets all
of it, the others get the same number each. An account that holds its fair share or more
waits behind the others, and takes what is free while nobody under its share waits, at
this entry or another. Slots come back as requests end; none is broken off.

While nothing waits and nothing was refused of late there are no fair shares.
"""

from collections.abc import Iterable

from immutables import Map

from nutmegslip_decisions.direct._choice import capacity_of
from nutmegslip_decisions.direct._demand import (
    OTHER_ACCOUNTS,
    account_demands,
    in_flight_of,
    is_short,
)
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Measure, Request
from nutmegslip_decisions.model import Millis

INTERVAL_MS = 200  # two reports; the level costs a look at all upstreams
MIN_FAIR_SLOTS = 1.0  # any account may have one request in flight
FAR_OVER = 2.0  # fair shares; beyond it urgency counts no longer


def with_fair_shares(state: State, now_ms: Millis) -> State:
    """Determine the fair share of an account at each service where slots are scarce."""
    accounts = state.configuration and state.configuration.accounts
    if now_ms < state.fair_until_ms:
        return state
    state = state._replace(fair_until_ms=now_ms + INTERVAL_MS)
    services = state.by_service if accounts is not None else ()
    found = {service: _fair_slots(state, service, now_ms) for service in services}
    fair_slots = Map({name: slots for name, slots in found.items() if slots})
    if fair_slots == state.fair_slots:
        return state
    return state._replace(fair_slots=fair_slots)


def is_over_share(state: State, request: Request, shares: float = 1.0) -> bool:
    """Return whether the account of a request holds that many fair shares."""
    fair_slots = state.fair_slots.get(request.service)
    if fair_slots is None or request.account == OTHER_ACCOUNTS:
        return False
    return used_slots(state, request) >= fair_slots * shares


def used_slots(state: State, request: Request) -> int:
    """Return the slots that the account of a request holds, over all entries."""
    return in_flight_of(state, (request.service, Measure.USED, request.account))


def max_min_level(demands: Iterable[float], room: float) -> float | None:
    """Return the most that one gets if ``room`` is shared by max-min fairness.

    It is None if there is room for all.
    """
    wanted = sorted(demands)
    for number, demand in enumerate(wanted):
        level = max(room, 0.0) / (len(wanted) - number)
        if demand > level:
            return level
        room -= demand
    return None


def _fair_slots(state: State, service: str, now_ms: Millis) -> float | None:
    if not is_short(state, service, now_ms):
        return None
    demands = account_demands(state, service, now_ms)
    others = demands.pop(OTHER_ACCOUNTS, 0)
    room = capacity_of(state, service, now_ms).slots - others
    level = max_min_level(demands.values(), room)
    return None if level is None else max(level, MIN_FAIR_SLOTS)
