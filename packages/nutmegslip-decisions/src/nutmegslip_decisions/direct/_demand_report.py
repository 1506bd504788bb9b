"""Report this entry's demand to the other entries.

Answers the load patterns of ``_demand``, ``_urgency`` and ``_fair_shares``. Of
thousands of accounts the heaviest are named, and the rest are counted in common.
"""

from collections import Counter
from collections.abc import Iterator
from heapq import nlargest

from immutables import Map

from nutmegslip_decisions.direct._demand import (
    OTHER_ACCOUNTS,
    is_counted,
    is_short_here,
    priorities_of,
    queued,
    recent_count,
    used_here,
    wanted_here,
    weight_here,
)
from nutmegslip_decisions.direct._fair_shares import is_over_share
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Demand, Measure
from nutmegslip_decisions.model import Millis

MAX_REPORTED_ACCOUNTS = 32  # the heaviest; keeps a report within one datagram


def demand_report(state: State, now_ms: Millis) -> Demand:
    """Return what this entry reports of its demand."""
    return Map(
        {
            (service, measure, name): count
            for service in state.by_service
            if is_counted(state, service)
            for measure, name, count in (
                *_counts(state, service, now_ms),
                *_counts_by_priority(state, service, now_ms),
                *_counts_by_account(state, service, now_ms),
            )
            if count
        }
    )


def _counts(
    state: State, service: str, now_ms: Millis
) -> Iterator[tuple[Measure, str, int]]:
    yield Measure.ENTRIES, "", 1
    yield Measure.WEIGHT, "", weight_here(state, service, now_ms)
    yield Measure.SHORT, "", int(is_short_here(state, service, now_ms))


def _counts_by_priority(
    state: State, service: str, now_ms: Millis
) -> Iterator[tuple[Measure, str, int]]:
    waiting = Counter(
        request.priority
        for request in queued(state, service)
        if not is_over_share(state, request)
    )
    for priority in priorities_of(state, service):
        name = str(priority)
        arrived = recent_count(state, (service, Measure.ARRIVED, name), now_ms)
        held = state.demand.in_flight.get((service, Measure.HELD, name), 0)
        yield Measure.ARRIVED, name, arrived
        yield Measure.WAITING, name, waiting[priority]
        yield Measure.HELD, name, held


def _counts_by_account(
    state: State, service: str, now_ms: Millis
) -> Iterator[tuple[Measure, str, int]]:
    used = used_here(state, service)
    wanted = wanted_here(state, service, now_ms)
    both = used + wanted
    named = set(nlargest(MAX_REPORTED_ACCOUNTS, both, key=both.__getitem__))
    for measure, counts in ((Measure.USED, used), (Measure.WANTED, wanted)):
        common: Counter[str] = Counter()
        for name, count in counts.items():
            common[name if name in named else OTHER_ACCOUNTS] += count
        yield from ((measure, name, count) for name, count in common.items())
