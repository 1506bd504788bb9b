"""Limit the streams of lock-step groups to bound the event gaps of all of them.

Answers the load pattern in which more streams arrive than a group can serve on time: a
forward pass takes longer with each stream in flight, until the gaps of all streams
exceed the route's bound. The gap is predicted as the published time of an empty pass
and a measured time for each stream in flight over all entries, so that a burst meets a
limit that was known before it came. Entries tell each other what they measure; one
that has just started, or has no stream in a group, takes the limit of the others. A
group that is too slow to complete an answer within the deadline gets only a few
requests as probes.
"""

from itertools import islice
from statistics import median_low

from immutables import Map

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import GapSample, GroupPace, State
from nutmegslip_decisions.direct._types import PaceReport, PaceReports
from nutmegslip_decisions.model import Millis

TARGET_SHARE = 0.9  # of the bound; reports are late by up to a pass
MIN_SHARE = 0.5  # below it the ranks' fixed cost per pass outweighs the gain
MAX_GAP_RATIO = 2.5  # times the bound; 25 events then take the 8 s that callers wait
PROBE_SHARE = 0.05  # of slots, to detect that a group beyond the ratio has recovered
SAMPLES = 12  # one each 250 ms; about as long as a stream, which meets its worst pass
SAMPLE_QUANTILE = 0.8  # the two highest may be passes that were held
MIN_SAMPLES = 3  # their median ignores one pass that was held
ENDED_RATIO = 2.0  # of gaps; passes differ by less as long as nothing is slow
LIFETIME_MS = 2_000  # of a measurement; a slower pass is taken for a stall
MAX_REPORTS = 9  # whose median counts; bounds the cost with hundreds of entries
NEAR_SHARE = 0.7  # of the bound; what a shift of popularity adds reaches it from there
FREE_SHARE = 0.5  # of a gap; pass time grows with about the square root of streams


def with_pace(
    state: State, service: str, group: str, gap_ms: float, now_ms: Millis
) -> State:
    """Measure how a group's event gaps, in ms, grow with its streams in flight."""
    if not gap_bound_ms(state, service):
        return state
    load = load_of(state, service)
    known = load.paces.get(group)
    if known is not None and not _is_current(known, now_ms):
        known = None
    sample = GapSample(gap_ms, _in_flight(state, service, group))
    samples = _without_ended_slowness(
        (*(known.samples if known else ()), sample)[-SAMPLES:]
    )
    slots = _slots(state, service, group)
    per_stream_ms = sorted(_per_stream_ms(state, service, s, slots) for s in samples)
    recent_ms = (s.gap_ms for s in samples[-MIN_SAMPLES:])
    pace = GroupPace(
        samples, per_stream_ms[_rank(len(samples))], median_low(recent_ms), now_ms
    )
    changed = load._replace(paces=load.paces.set(group, pace))
    return state._replace(loads=state.loads.set(service, changed))


def open_slots(
    state: State, service: str, group: str, slots: int, now_ms: Millis
) -> float:
    """Return how many of a group's slots may be taken by all entries together."""
    bound_ms = gap_bound_ms(state, service)
    pace = _current_pace(state, service, group, now_ms) if bound_ms else None
    if pace is None:
        return slots
    if pace.gap_ms > MAX_GAP_RATIO * bound_ms:
        return PROBE_SHARE * slots
    free_ms = _free_ms(state, service, pace.gap_ms)
    limit = (TARGET_SHARE * bound_ms - free_ms) / max(pace.per_stream_ms, 0.001)
    return min(max(limit, MIN_SHARE * slots), slots)


def open_share(state: State, service: str, group: str, now_ms: Millis) -> float:
    """Return the share of a group's slots that may be taken."""
    slots = _slots(state, service, group)
    return open_slots(state, service, group, slots, now_ms) / slots if slots else 1.0


def is_near_bound(state: State, service: str, group: str, now_ms: Millis) -> bool:
    """Return whether a group's event gaps come near their bound, or are unknown."""
    bound_ms = gap_bound_ms(state, service)
    pace = _current_pace(state, service, group, now_ms)
    return not bound_ms or pace is None or pace.gap_ms > NEAR_SHARE * bound_ms


def is_over_bound(state: State, service: str, group: str, now_ms: Millis) -> bool:
    """Return whether this entry's last event gaps of a group exceed their bound."""
    bound_ms = gap_bound_ms(state, service)
    pace = load_of(state, service).paces.get(group)
    if not bound_ms or pace is None or not _is_current(pace, now_ms):
        return False
    return pace.samples[-1].gap_ms > bound_ms


def pace_report(state: State, now_ms: Millis) -> PaceReports:
    """Return what this entry itself measures, by service and group."""
    return Map(
        {
            service: Map(
                {
                    group: PaceReport(round(pace.per_stream_ms, 3), round(pace.gap_ms))
                    for group, pace in load.paces.items()
                    if _is_current(pace, now_ms)
                }
            )
            for service, load in state.loads.items()
            if load.paces
        }
    )


def without_expired_paces(state: State, now_ms: Millis) -> State:
    """Remove measurements that no longer hold."""
    for service, load in state.loads.items():
        expired = [g for g, pace in load.paces.items() if not _is_current(pace, now_ms)]
        if not expired:
            continue
        paces = load.paces
        for group in expired:
            paces = paces.delete(group)
        changed = load._replace(paces=paces)
        state = state._replace(loads=state.loads.set(service, changed))
    return state


def gap_bound_ms(state: State, service: str) -> int:
    """Return the lowest event gap bound of a service's routes, 0 for none."""
    routes = state.configuration.routes if state.configuration else ()
    bounds = (
        route.gap_ms
        for route in routes
        if route.gap_ms and any(target.service == service for target in route.targets)
    )
    return min(bounds, default=0)


def _without_ended_slowness(samples: tuple[GapSample, ...]) -> tuple[GapSample, ...]:
    """Drop the samples of slow passes once the last ones are much faster."""
    recent = samples[-MIN_SAMPLES:]
    limit_ms = ENDED_RATIO * max(sample.gap_ms for sample in recent)
    slow = sum(sample.gap_ms > limit_ms for sample in samples)
    return recent if slow >= MIN_SAMPLES else samples


def _current_pace(
    state: State, service: str, group: str, now_ms: Millis
) -> PaceReport | None:
    """Return the own measurement, or the median of others' until it has all samples."""
    own = load_of(state, service).paces.get(group)
    if own is not None and not _is_current(own, now_ms):
        own = None
    if own is None or len(own.samples) < MIN_SAMPLES:
        found = (
            peer.paces[service][group]
            for peer in state.peers.values()
            if group in peer.paces.get(service, ())
        )
        reported = list(islice(found, MAX_REPORTS))
        if reported:
            return PaceReport(*map(median_low, zip(*reported, strict=True)))
    return None if own is None else PaceReport(own.per_stream_ms, own.gap_ms)


def _is_current(pace: GroupPace, now_ms: Millis) -> bool:
    return pace.measured_ms + LIFETIME_MS > now_ms


def _rank(count: int) -> int:
    """Return which of so many sorted samples counts; never the highest of several."""
    return min(int(SAMPLE_QUANTILE * count), max(count - 2, 0))


def _per_stream_ms(state: State, service: str, sample: GapSample, slots: int) -> float:
    """Return what a stream adds to a gap; few streams tell little of many."""
    free_ms = _free_ms(state, service, sample.gap_ms)
    return (sample.gap_ms - free_ms) / max(sample.in_flight, MIN_SHARE * slots, 1)


def _free_ms(state: State, service: str, gap_ms: float) -> float:
    """Return the part of a gap that does not depend on the streams in flight."""
    found = state.configuration.services.get(service) if state.configuration else None
    engine = found.engine if found else None
    if engine is None or not engine.pass_steps:
        return FREE_SHARE * gap_ms
    return min(engine.step_ms * engine.pass_steps, gap_ms)


def _slots(state: State, service: str, group: str) -> int:
    return sum(
        state.upstreams[upstream_id].slots
        for upstream_id in state.by_service.get(service, ())
        if state.upstreams[upstream_id].group == group
    )


def _in_flight(state: State, service: str, group: str) -> int:
    return sum(
        state.stats_of(upstream_id).in_flight + state.peer_in_flight.get(upstream_id, 0)
        for upstream_id in state.by_service.get(service, ())
        if state.upstreams[upstream_id].group == group
    )
