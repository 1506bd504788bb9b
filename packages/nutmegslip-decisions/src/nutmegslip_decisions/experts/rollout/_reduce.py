"""Change a group's expert map so that no pass begins with two maps.

A version works like a ballot: a rank that took version v can never be armed with an
older one. A pass is held before the first rank is armed and let go after the last
has confirmed, or after no rank can be armed any more. Whoever finds a held pass
finishes the change where all ranks are armed alike, and undoes it elsewhere, after
its fence has shut out the one that holds it.
"""

from collections.abc import Iterator
from dataclasses import replace

from immutables import Map

from nutmegslip_decisions.experts.placement import plan_even
from nutmegslip_decisions.experts.rollout._state import (
    Arming,
    Clearing,
    Holding,
    Phase,
    Preparing,
    Releasing,
    Resting,
    State,
)
from nutmegslip_decisions.experts.rollout._types import (
    Abandoned,
    Arm,
    Beat,
    Changed,
    Disarm,
    Effect,
    Event,
    Give,
    Group,
    GroupSeen,
    Hold,
    LayoutRead,
    Loads,
    LoadsMeasured,
    Order,
    Ordered,
    Outcome,
    Prepare,
    RankReport,
    ReadLayout,
    ReadReports,
    Release,
    Reported,
)
from nutmegslip_decisions.model import Millis

IDENTITIES = 65_536
COPY_MS = 2_000  # before a prepare that was taken is asked again
AGAIN_MS = 300  # orders are answered in some ms; one that is not may be lost
REPORTS_EVERY_MS = 250  # while a change is under way; reports lag about as much
REPORTS_AT_REST_MS = 1_000  # finds a pass that somebody left held
FRESH_MS = 1_400  # older reports decide nothing; covers one missed reading at rest
LEAD_PASSES = 12  # reports lag some passes, confirmations take some ms
PREPARE_TIMEOUT_MS = 6_000
CHANGE_TIMEOUT_MS = 10_000  # with a second for the switch and late orders
REST_MS = 300  # between changes
FENCE_STEP = 100_000  # revisions of the store; no entry reads it that much later
SETTLE_MS = 1_000  # the lag of reports, twice
BACKOFF_MS = 2_000
LEAST_GAIN = 0.15  # of the busiest ranks' work; copying slows passes by 15 in 100

Step = tuple[State, tuple[Effect, ...]]


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
            heard, effects = _hear(state, event)
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
    if not (resting and state.leads and state.layout and _quiet(state, now_ms)):
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
    version = _next_version(state)
    layout = tuple(plan.slots for plan in plans)
    phase = Preparing(version, layout, gain, now_ms)
    return _started(state._replace(last_version=version), phase)


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
        for rank, order in _orders(state)
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
                return _abandon(state, version, "prepare timed out", now_ms)
            reports = _fresh(state, now_ms)
            if reports is None or any(r.prepared != version for r in reports):
                return state, ()
            step = max(report.step for report in reports) + LEAD_PASSES
            holder = state.group.ranks[0]
            holding = Holding(version, layout, gain, since_ms, holder, step)
            return _into(state, holding), ()
        case Arming(version, layout, gain, since_ms, holder, step, armed):
            if len(armed) < len(state.group.ranks):
                return state, ()
            held = Map({holder: step})
            phase = Releasing(version, layout, gain, since_ms, held, changed=True)
            return _into(state, phase), ()
        case Clearing(version, since_ms, held, _, cleared):
            if len(cleared) < len(state.group.ranks):
                return state, ()
            phase = Releasing(version, state.layout, 0.0, since_ms, held, changed=False)
            return _into(state, phase), ()
        case Releasing(version, layout, gain, since_ms, held, changed):
            if held:
                return state, ()
            if not changed:
                # Reports are late: they may still show what was just let go.
                return _into(state, Resting(now_ms + SETTLE_MS)), ()
            reports = _fresh(state, now_ms)
            if reports is None or any(r.version != version for r in reports):
                if now_ms > since_ms + CHANGE_TIMEOUT_MS:
                    return _abandon(state, version, "not in force", now_ms)
                return state, ()
            rested = _into(state, Resting(now_ms + REST_MS))
            rested = rested._replace(layout=layout, layout_version=version)
            return rested, (Changed(version, now_ms - since_ms, gain),)
        case _:
            return state, ()


def _resolve(state: State, now_ms: Millis) -> State:
    """Take up what somebody left: a held pass, or ranks that are armed."""
    reports = _fresh(state, now_ms)
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
        return _started(state, Holding(version, None, 0.0, now_ms, holder, step))
    version = _next_version(state)
    state = state._replace(last_version=version)
    return _started(state, Clearing(version, now_ms, held))


def _orders(state: State) -> Iterator[tuple[str, Order]]:
    """Yield the orders that are still to be confirmed in this phase."""
    ranks = state.group.ranks
    match state.phase:
        case Preparing(version, layout):
            for rank in ranks:
                if _report(state, rank) is None or (
                    _report(state, rank).prepared != version
                ):
                    yield rank, Prepare(version, layout)
        case Holding(holder=holder, step=step):
            yield holder, Hold(step)
        case Arming(version=version, step=step, armed=armed):
            for rank in ranks:
                if rank not in armed:
                    yield rank, Arm(version, step)
        case Releasing(held=held):
            for rank, step in held.items():
                yield rank, Release(step)
        case Clearing(version, _, held, fenced, cleared):
            unfenced = [rank for rank in held if rank not in fenced]
            if unfenced:
                for rank in unfenced:
                    yield rank, Hold(held[rank])
                return
            for rank in ranks:
                if rank not in cleared:
                    yield rank, _clear(state, rank, version)


def _clear(state: State, rank: str, version: int) -> Order:
    report = _report(state, rank)
    if report is not None and report.armed is not None:
        return Disarm(report.armed[0])
    return Prepare(version, state.layout)


def _hear(state: State, event: Ordered) -> Step:
    """Take in what became of an order of this phase."""
    group, phase, rank = state.group, state.phase, event.rank
    if group is None or event.epoch != group.epoch or rank not in group.ranks:
        return state, ()
    if event.outcome is Outcome.UNKNOWN or isinstance(phase, Resting):
        return state, ()
    if event.outcome is Outcome.FENCED:
        return _fenced(state, phase.version, event.now_ms)
    done = event.outcome is Outcome.DONE
    if done and isinstance(phase, Preparing):
        # The copies take their time; the reports tell when they are there.
        state = state._replace(given=state.given.set(rank, event.now_ms + COPY_MS))
    match phase, event.order:
        case Preparing(version), Prepare(ordered) if ordered == version and not done:
            return _abandon(state, version, "prepare refused", event.now_ms)
        case Holding(), Hold(step) if step == phase.step:
            return _held(state, phase, done, event.now_ms)
        case Arming(), Arm(version, step) if (version, step) == (
            phase.version,
            phase.step,
        ):
            return _armed(state, phase, rank, done, event.now_ms), ()
        case Releasing(), Release(step) if phase.held.get(rank) == step:
            # Refused means that the pass is held no more.
            return _with_phase(state, replace(phase, held=phase.held.delete(rank))), ()
        case Clearing(), Hold(step) if phase.held.get(rank) == step:
            if not done:
                return _abandon(state, phase.version, "released", event.now_ms)
            return _with_phase(state, replace(phase, fenced=phase.fenced | {rank})), ()
        case Clearing(), Prepare(version) if version == phase.version:
            return _cleared(state, phase, rank, done), ()
        case Clearing(), Disarm():
            return _forget_armed(state, rank), ()
    return state, ()


def _fenced(state: State, version: int, now_ms: Millis) -> Step:
    """Rest, and be above the other process next time: it may be frozen."""
    state, effects = _abandon(state, version, "another process leads", now_ms)
    floor = state.fence + FENCE_STEP * IDENTITIES
    resting = Resting(now_ms + SETTLE_MS)
    return state._replace(phase=resting, fence_floor=floor), effects


def _held(state: State, phase: Holding, done: bool, now_ms: Millis) -> Step:
    if not done:
        # The pass has begun, or another is held: see what the ranks report.
        return _abandon(state, phase.version, "hold refused", now_ms)
    arming = Arming(
        phase.version,
        phase.layout,
        phase.gain,
        phase.since_ms,
        phase.holder,
        phase.step,
    )
    return _into(state, arming), ()


def _armed(state: State, phase: Arming, rank: str, done: bool, now_ms: Millis) -> State:
    if done:
        return _with_phase(state, replace(phase, armed=phase.armed | {rank}))
    version = _next_version(state)
    held = Map({phase.holder: phase.step})
    state = state._replace(last_version=version)
    return _into(state, Clearing(version, now_ms, held))


def _cleared(state: State, phase: Clearing, rank: str, done: bool) -> State:
    if done:
        return _with_phase(state, replace(phase, cleared=phase.cleared | {rank}))
    # The rank is armed, or has had a higher version since the reports.
    version = _next_version(state)
    state = state._replace(last_version=version)
    return _with_phase(state, replace(phase, version=version, cleared=frozenset()))


def _forget_armed(state: State, rank: str) -> State:
    at_ms, report = state.reports[rank]
    reports = state.reports.set(rank, (at_ms, report._replace(armed=None)))
    return state._replace(reports=reports)


def _abandon(state: State, version: int, reason: str, now_ms: Millis) -> Step:
    resting = _into(state, Resting(now_ms + BACKOFF_MS))
    # What was ordered may still come about, so old reports decide nothing.
    unsure = resting._replace(reports=Map(), layout=None)
    return unsure, (Abandoned(version, reason),)


def _started(state: State, phase: Phase) -> State:
    fence = max(state.latest_fence, state.fence_floor)
    return _into(state._replace(fence=fence), phase)


def _into(state: State, phase: Phase) -> State:
    return state._replace(phase=phase, given=Map(), asked_ms=0)


def _with_phase(state: State, phase: Phase) -> State:
    return state._replace(phase=phase)


def _report(state: State, rank: str) -> RankReport | None:
    found = state.reports.get(rank)
    return found[1] if found else None


def _fresh(state: State, now_ms: Millis) -> list[RankReport] | None:
    """Return the reports in rank order, None where one is missing or old."""
    group: Group = state.group
    found = [state.reports.get(rank) for rank in group.ranks]
    if any(item is None or item[0] + FRESH_MS < now_ms for item in found):
        return None
    return [report for _, report in found]


def _quiet(state: State, now_ms: Millis) -> bool:
    reports = _fresh(state, now_ms)
    return reports is not None and all(
        report.held is None and report.armed is None for report in reports
    )


def _next_version(state: State) -> int:
    """Return a version above all that were seen, which no other process gives."""
    seen = [
        version
        for _, report in state.reports.values()
        for version in (report.version, report.prepared, (report.armed or (0,))[0])
        if version is not None
    ]
    highest = max((state.last_version, *seen))
    return (highest // IDENTITIES + 1) * IDENTITIES + state.options.identity
