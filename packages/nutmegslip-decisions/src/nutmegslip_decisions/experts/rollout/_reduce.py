"""Change a group's expert map so that no pass begins with two maps.

A version works like a ballot: a rank that took version v can never be armed with an
older one. A pass is held before the first rank is armed and let go after the last
has confirmed, or after no rank can be armed any more. Whoever finds a held pass
finishes the change where all ranks are armed alike, and undoes it elsewhere, after
its fence has shut out the one that holds it.
"""

from immutables import Map

from nutmegslip_decisions.experts.placement import plan_even
from nutmegslip_decisions.experts.rollout._answers import SETTLE_MS, hear
from nutmegslip_decisions.experts.rollout._orders import orders_of
from nutmegslip_decisions.experts.rollout._state import (
    Arming,
    Clearing,
    Holding,
    Preparing,
    Releasing,
    Resting,
    State,
)
from nutmegslip_decisions.experts.rollout._steps import (
    Step,
    abandon,
    fresh_reports,
    into,
    is_quiet,
    next_version,
    started,
)
from nutmegslip_decisions.experts.rollout._types import (
    Beat,
    Changed,
    Effect,
    Event,
    Give,
    GroupSeen,
    LayoutRead,
    Loads,
    LoadsMeasured,
    Ordered,
    ReadLayout,
    ReadReports,
    Reported,
)
from nutmegslip_decisions.model import Millis

AGAIN_MS = 300  # orders are answered in some ms; one that is not may be lost
REPORTS_EVERY_MS = 250  # while a change is under way; reports lag about as much
REPORTS_AT_REST_MS = 1_000  # finds a pass that somebody left held
LEAD_PASSES = 12  # reports lag some passes, confirmations take some ms
PREPARE_TIMEOUT_MS = 6_000
CHANGE_TIMEOUT_MS = 10_000  # with a second for the switch and late orders
REST_MS = 300  # between changes
LEAST_GAIN = 0.15  # of the busiest ranks' work; copying slows passes by 15 in 100


def reduce(state: State, event: Event) -> Step:
    """Return the state after an event, and what is to be done."""
    match event:
        case GroupSeen(_, group):
            if group != state.group:
                state = State(
                    state.options,
                    group,
                    last_version=state.last_version,
                    latest_fence=state.latest_fence,
                    fence_floor=state.fence_floor,
                    leads=state.leads,
                )
            return state, ()
        case Reported(now_ms, rank, report):
            if state.group is None or report.epoch != state.group.epoch:
                return state, ()
            reports = state.reports.set(rank, (now_ms, report))
            return state._replace(reports=reports), ()
        case LayoutRead(_, epoch, version, layout):
            if state.group is None or epoch != state.group.epoch:
                return state, ()
            return state._replace(layout=layout, layout_version=version), ()
        case LoadsMeasured(now_ms, loads):
            return _begin(state, loads, now_ms), ()
        case Ordered(now_ms):
            heard, effects = hear(state, event)
            if heard.group is None or heard.phase is state.phase:
                return heard, effects
            # A held pass is not kept waiting for the next beat.
            heard, more = _drive(heard, now_ms)
            return heard, (*effects, *more)
        case Beat(now_ms, leads, fence):
            return _beat(state._replace(leads=leads, latest_fence=fence), now_ms)


def _begin(state: State, loads: Loads, now_ms: Millis) -> State:
    """Begin a change where it pays."""
    resting = isinstance(state.phase, Resting) and now_ms >= state.phase.until_ms
    if not (resting and state.leads and state.layout and is_quiet(state, now_ms)):
        return state
    options = state.options
    plans = [
        plan_even(slots, layer, options.places, options.spare)
        for slots, layer in zip(state.layout, loads, strict=True)
    ]
    before = sum(plan.before for plan in plans)
    gain = 1 - sum(plan.after for plan in plans) / before if before else 0.0
    if gain < LEAST_GAIN:
        return state
    version = next_version(state)
    layout = tuple(plan.slots for plan in plans)
    phase = Preparing(version, layout, gain, now_ms)
    return started(state._replace(last_version=version), phase)


def _beat(state: State, now_ms: Millis) -> Step:
    if state.group is None:
        return state, ()
    effects: list[Effect] = []
    resting = isinstance(state.phase, Resting)
    every_ms = REPORTS_AT_REST_MS if resting else REPORTS_EVERY_MS
    if (state.leads or not resting) and now_ms >= state.asked_ms + every_ms:
        effects.append(ReadReports(state.group))
        if resting and state.layout is None:
            effects.append(ReadLayout(state.group))
        state = state._replace(asked_ms=now_ms)
    state, more = _drive(state, now_ms)
    return state, (*effects, *more)


def _drive(state: State, now_ms: Millis) -> Step:
    """Go on where a phase is complete, and give what orders are due."""
    state, logged = _advance(state, now_ms)
    effects: list[Effect] = list(logged)
    orders = [
        (rank, order)
        for rank, order in orders_of(state)
        if now_ms >= state.given.get(rank, 0) + AGAIN_MS
    ]
    for rank, order in orders:
        state = state._replace(given=state.given.set(rank, now_ms))
        effects.append(Give(rank, state.group.epoch, state.fence, order))
    return state, tuple(effects)


def _advance(state: State, now_ms: Millis) -> Step:
    """Go to the next phase where this one is complete."""
    match state.phase:
        case Resting():
            return _resolve(state, now_ms), ()
        case Preparing(version, layout, gain, since_ms):
            if now_ms > since_ms + PREPARE_TIMEOUT_MS:
                return abandon(state, version, "prepare timed out", now_ms)
            reports = fresh_reports(state, now_ms)
            if reports is None or any(r.prepared != version for r in reports):
                return state, ()
            step = max(report.step for report in reports) + LEAD_PASSES
            holder = state.group.ranks[0]
            holding = Holding(version, layout, gain, since_ms, holder, step)
            return into(state, holding), ()
        case Arming(version, layout, gain, since_ms, holder, step, armed):
            if len(armed) < len(state.group.ranks):
                return state, ()
            held = Map({holder: step})
            phase = Releasing(version, layout, gain, since_ms, held, changed=True)
            return into(state, phase), ()
        case Clearing(version, since_ms, held, _, cleared):
            if len(cleared) < len(state.group.ranks):
                return state, ()
            phase = Releasing(version, state.layout, 0.0, since_ms, held, changed=False)
            return into(state, phase), ()
        case Releasing(version, layout, gain, since_ms, held, changed):
            if held:
                return state, ()
            if not changed:
                # Reports are late: they may still show what was just let go.
                return into(state, Resting(now_ms + SETTLE_MS)), ()
            reports = fresh_reports(state, now_ms)
            if reports is None or any(r.version != version for r in reports):
                if now_ms > since_ms + CHANGE_TIMEOUT_MS:
                    return abandon(state, version, "not in force", now_ms)
                return state, ()
            rested = into(state, Resting(now_ms + REST_MS))
            rested = rested._replace(layout=layout, layout_version=version)
            return rested, (Changed(version, now_ms - since_ms, gain),)
        case _:
            return state, ()


def _resolve(state: State, now_ms: Millis) -> State:
    """Take up what somebody left: a held pass, or ranks that are armed."""
    reports = fresh_reports(state, now_ms)
    settled = isinstance(state.phase, Resting) and now_ms >= state.phase.until_ms
    if not (settled and state.leads) or reports is None:
        return state
    if any(report.version != state.layout_version for report in reports):
        state = state._replace(layout=None)  # another process has changed the map
    if state.layout is None:
        return state
    held = Map(
        {
            rank: report.held
            for rank, report in zip(state.group.ranks, reports, strict=True)
            if report.held is not None
        }
    )
    armed = {report.armed for report in reports}
    if not held and armed == {None}:
        return state
    if not held:
        return state  # without a held pass the switch is due within moments
    if len(held) == 1 and len(armed) == 1 and None not in armed:
        # Reports are late: each rank is armed again under this process's fence.
        ((holder, step),) = held.items()
        ((version, _),) = armed
        return started(state, Holding(version, None, 0.0, now_ms, holder, step))
    version = next_version(state)
    state = state._replace(last_version=version)
    return started(state, Clearing(version, now_ms, held))
