"""Change a group's expert map so that no forward pass begins with two maps.

A pass is numbered by its step. A version works like a ballot: a rank that accepted
version v can never be armed with an older one. A pass is held before the first rank is
armed, and released after the last rank has confirmed or no rank can be armed any more.
A process that finds a held pass first fences off the process that holds it. It then
completes the change if all ranks are armed with the same switch, and reverts it
otherwise.
"""

import math

from immutables import Map

from nutmegslip_decisions.experts.placement import (
    is_copied_fast,
)
from nutmegslip_decisions.experts.rollout._orders import unconfirmed_orders
from nutmegslip_decisions.experts.rollout._outcomes import on_outcome
from nutmegslip_decisions.experts.rollout._phases import (
    MAX_REPORT_AGE_MS,
    Transition,
    abandon,
    distrust_reports,
    enter_phase,
    fresh_reports,
    next_version,
    start_change,
    take_over,
)
from nutmegslip_decisions.experts.rollout._planning import may_begin_change, plan_of
from nutmegslip_decisions.experts.rollout._state import (
    Arming,
    Clearing,
    Holding,
    Idle,
    Preparing,
    Releasing,
    State,
)
from nutmegslip_decisions.experts.rollout._types import (
    ChangeAbandoned,
    ChangeCompleted,
    Effect,
    Event,
    GroupUpdated,
    LayoutRead,
    LoadsMeasured,
    OrderOutcome,
    RankReport,
    ReadLayout,
    ReadReports,
    ReportReceived,
    SendOrder,
    Tick,
)
from nutmegslip_decisions.model import Millis

ORDER_RETRY_MS = 150  # ranks answer within some ms unless an order is lost
CHANGE_REPORT_INTERVAL_MS = 250  # reports lag about as much
IDLE_REPORT_INTERVAL_MS = 1_000  # also finds a pass that another process left held
LATE_REPORT_INTERVAL_MS = 300  # finds the rank that has turned slow
PREPARE_REPORT_INTERVAL_MS = 100  # only of the ranks that are not known as prepared
FIRST_PREPARED_MS = 200  # from the order; copying and the lag of reports take longer
SWITCH_LEAD_PASSES = 12  # while the time of a pass is unknown
MAX_SWITCH_LEAD_PASSES = 40
SWITCH_MARGIN_MS = 160  # the order to hold takes some ms, the lag of reports varies
ORDERS_MARGIN_RATIO = 1.5  # of the time that the last orders took at all ranks
PASS_SMOOTHING = 0.5  # weight of a new measurement
PASS_WINDOW_MS = 500  # the lag of reports varies by some tens of ms
MAX_PASS_MS = 1_500  # a group without a new pass for longer is idle
PREPARE_TIMEOUT_MS = 6_000
CHANGE_TIMEOUT_MS = 10_000  # includes a second for the switch and late orders
CHANGE_INTERVAL_MS = 300  # between two changes
MIN_GAIN_SHARE = 0.15  # of the busiest ranks' work; copying slows passes by 15 %
MIN_FAST_GAIN_SHARE = 0.25  # else a plan from counts of half a shift delays the next


def reduce(state: State, event: Event) -> Transition:
    """Return the state after an event, and the effects to perform."""
    match event:
        case GroupUpdated(_, group):
            if group != state.group:
                state = State(
                    state.options,
                    group,
                    last_version=state.last_version,
                    latest_fence=state.latest_fence,
                    fence_floor=state.fence_floor,
                    raised_ms=state.raised_ms,
                    is_leader=state.is_leader,
                )
            return state, ()
        case ReportReceived(now_ms, rank, report):
            if state.group is None or report.epoch != state.group.epoch:
                return state, ()
            return _with_report(state, rank, report, now_ms), ()
        case LayoutRead(_, epoch, version, layout):
            if state.group is None or epoch != state.group.epoch:
                return state, ()
            return state._replace(layout=layout, layout_version=version), ()
        case LoadsMeasured(now_ms):
            next_state = _begin_change(state, event)
            if next_state is state:
                return state, ()
            return _advance_and_send(next_state, now_ms)
        case OrderOutcome(now_ms):
            next_state, effects = on_outcome(state, event)
            if next_state.group is None or next_state.phase is state.phase:
                return next_state, effects
            # Continue at once, so that a held pass does not wait for the next tick.
            next_state, more = _advance_and_send(next_state, now_ms)
            return next_state, (*effects, *more)
        case Tick(now_ms, is_leader, fence, silence_ms, is_late):
            if is_leader and not state.is_leader:
                # What a silent leader did before shows in the reports by now.
                state = distrust_reports(state, now_ms - silence_ms)
            latest_fence = max(state.latest_fence, fence)
            state = state._replace(
                is_leader=is_leader, latest_fence=latest_fence, is_late=is_late
            )
            return _on_tick(state, now_ms)


def _begin_change(state: State, event: LoadsMeasured) -> State:
    """Begin a change if its gain is large enough."""
    now_ms, options = event.now_ms, state.options
    if not may_begin_change(state, now_ms):
        return state
    _, plans = plan_of(state, event.loads, event.plan)
    peak_before = sum(plan.peak_before for plan in plans)
    gain = (
        1 - sum(plan.peak_after for plan in plans) / peak_before if peak_before else 0.0
    )
    is_fast = is_copied_fast(len(plans), options.spare, options.copy_ms)
    if gain < (MIN_FAST_GAIN_SHARE if is_fast else MIN_GAIN_SHARE):
        return state
    version = next_version(state)
    layout = tuple(plan.slots for plan in plans)
    phase = Preparing(version, layout, gain, now_ms)
    return start_change(state._replace(last_version=version), phase)


def _on_tick(state: State, now_ms: Millis) -> Transition:
    if state.group is None:
        return state, ()
    effects: list[Effect] = []
    is_idle = isinstance(state.phase, Idle)
    if (state.is_leader or not is_idle) and now_ms >= _reports_due_ms(state):
        effects.append(ReadReports(_unreported_ranks(state, now_ms)))
        if is_idle and state.layout is None:
            effects.append(ReadLayout(state.group))
        state = state._replace(reports_requested_ms=now_ms)
    state, more = _advance_and_send(state, now_ms)
    return state, (*effects, *more)


def _with_report(state: State, rank: str, report: RankReport, now_ms: Millis) -> State:
    """Store a report, and measure the time of a pass.

    Two reports that follow each other closely say little of it, as their lags differ.
    """
    state = state._replace(reports=state.reports.set(rank, (now_ms, report)))
    if state.pass_seen is None:
        return state._replace(pass_seen=(now_ms, report.step))
    seen_ms, step = state.pass_seen
    if now_ms < seen_ms + PASS_WINDOW_MS or report.step < step:
        return state
    if report.step == step and now_ms < seen_ms + MAX_PASS_MS:
        return state  # a slow pass, or none
    state = state._replace(pass_seen=(now_ms, report.step))
    if report.step == step:
        return state  # an idle group makes no passes
    measured_ms = (now_ms - seen_ms) / (report.step - step)
    if measured_ms > state.pass_ms:
        # A switch that is planned for too many slow passes comes seconds late.
        return state._replace(pass_ms=measured_ms)
    change_ms = measured_ms - state.pass_ms
    return state._replace(pass_ms=state.pass_ms + PASS_SMOOTHING * change_ms)


def _reports_due_ms(state: State) -> Millis:
    """Return when reports are to be read again."""
    match state.phase:
        case Idle():
            interval_ms = IDLE_REPORT_INTERVAL_MS
            if state.is_late:
                interval_ms = LATE_REPORT_INTERVAL_MS
            if any(r.held is not None for _, r in state.reports.values()):
                interval_ms = CHANGE_REPORT_INTERVAL_MS
            due_ms = state.reports_requested_ms + interval_ms
            if state.reports_requested_ms < state.trusted_from_ms:
                return min(due_ms, state.trusted_from_ms)
            return due_ms
        case Preparing(since_ms=since_ms):
            return max(
                since_ms + FIRST_PREPARED_MS,
                state.reports_requested_ms + PREPARE_REPORT_INTERVAL_MS,
            )
        case _:
            return state.reports_requested_ms + CHANGE_REPORT_INTERVAL_MS


def _unreported_ranks(state: State, now_ms: Millis) -> tuple[str, ...]:
    """Return the ranks whose reports are needed; prepared ones stay prepared."""
    if not isinstance(state.phase, Preparing):
        return state.group.ranks
    fresh = {
        rank
        for rank, (read_ms, report) in state.reports.items()
        if report.prepared == state.phase.version
        and now_ms < read_ms + MAX_REPORT_AGE_MS // 2
    }
    return tuple(rank for rank in state.group.ranks if rank not in fresh)


def _switch_step(state: State, now_ms: Millis) -> int:
    """Return a pass that has probably not begun when a hold of it arrives.

    A hold that comes too late is refused, and tried again for a later pass.
    """
    reports = [state.reports[rank] for rank in state.group.ranks]
    read_ms, report = max(reports, key=lambda item: item[1].step)
    if not state.pass_ms:
        return report.step + SWITCH_LEAD_PASSES
    # Arming all ranks takes about as long as ordering them to prepare did.
    margin_ms = max(ORDERS_MARGIN_RATIO * state.phase.orders_ms, SWITCH_MARGIN_MS)
    age_ms = now_ms - read_ms + state.options.report_lag_ms
    lead = math.ceil((age_ms + margin_ms) / state.pass_ms)
    return report.step + min(lead, MAX_SWITCH_LEAD_PASSES)


def _advance_and_send(state: State, now_ms: Millis) -> Transition:
    """Leave the phase if it is complete, and send the orders that are due."""
    state, logged = _advance(state, now_ms)
    effects: list[Effect] = list(logged)
    orders = [
        (rank, order)
        for rank, order in unconfirmed_orders(state)
        if now_ms >= state.last_sent_ms.get(rank, 0) + ORDER_RETRY_MS
    ]
    for rank, order in orders:
        state = state._replace(last_sent_ms=state.last_sent_ms.set(rank, now_ms))
        effects.append(SendOrder(rank, state.group.epoch, state.fence, order))
    return state, tuple(effects)


def _advance(state: State, now_ms: Millis) -> Transition:
    """Enter the next phase if this one is complete."""
    match state.phase:
        case Idle():
            return _recover_unfinished(state, now_ms), ()
        case Preparing(version, layout, gain, since_ms):
            if now_ms > since_ms + PREPARE_TIMEOUT_MS:
                return abandon(state, version, "prepare timed out", now_ms)
            if any(report.held is not None for _, report in state.reports.values()):
                # Another leader's change is unfinished; it is taken over first.
                abandoned = ChangeAbandoned(version, "another pass is held")
                return enter_phase(state, Idle(now_ms)), (abandoned,)
            reports = fresh_reports(state, now_ms)
            if reports is None or any(r.prepared != version for r in reports):
                return state, ()
            step = _switch_step(state, now_ms)
            holder = state.group.ranks[0]
            holding = Holding(version, layout, gain, since_ms, holder, step)
            return enter_phase(state, holding), ()
        case Arming(version, layout, gain, since_ms, holder, step, armed):
            if len(armed) < len(state.group.ranks):
                return state, ()
            held = Map({holder: step})
            phase = Releasing(version, layout, gain, since_ms, held, changed=True)
            return enter_phase(state, phase), ()
        case Clearing(version, since_ms, held, _, cleared):
            if len(cleared) < len(state.group.ranks):
                return state, ()
            phase = Releasing(version, state.layout, 0.0, since_ms, held, changed=False)
            return enter_phase(state, phase), ()
        case Releasing(version, layout, gain, since_ms, held, changed):
            if held:
                return state, ()
            if not changed:
                # Reports lag, so they may still show the pass that was just released.
                idle = enter_phase(state, Idle(now_ms))
                return distrust_reports(idle, now_ms), ()
            reports = fresh_reports(state, now_ms)
            if reports is None or any(r.version != version for r in reports):
                if now_ms > since_ms + CHANGE_TIMEOUT_MS:
                    return abandon(state, version, "not in force", now_ms)
                return state, ()
            idle = enter_phase(state, Idle(now_ms + CHANGE_INTERVAL_MS))
            idle = idle._replace(layout=layout, layout_version=version)
            return idle, (ChangeCompleted(version, now_ms - since_ms, gain),)
        case _:
            return state, ()


def _recover_unfinished(state: State, now_ms: Millis) -> State:
    """Take over a change that another process left unfinished with a pass held."""
    reports = fresh_reports(state, now_ms)
    is_due = isinstance(state.phase, Idle) and now_ms >= state.phase.until_ms
    if not (is_due and state.is_leader) or reports is None:
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
        return state  # without a held pass, the armed switch happens shortly
    if len(held) == 1 and len(armed) == 1 and None not in armed:
        # Reports lag, so each rank is armed again under this process's fence.
        ((holder, step),) = held.items()
        ((version, _),) = armed
        return take_over(state, Holding(version, None, 0.0, now_ms, holder, step))
    version = next_version(state)
    state = state._replace(last_version=version)
    return take_over(state, Clearing(version, now_ms, held))
