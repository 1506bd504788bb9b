"""Handle the outcomes of the orders of a phase."""

import math
from dataclasses import replace

from immutables import Map

from nutmegslip_decisions.experts.rollout._phases import (
    FENCE_MARGIN_REVISIONS,
    IDENTITY_COUNT,
    Transition,
    abandon,
    enter_phase,
    next_version,
    update_phase,
)
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
    Arm,
    Disarm,
    Hold,
    OrderOutcome,
    Outcome,
    Prepare,
    Release,
)
from nutmegslip_decisions.model import Millis

PREPARE_RETRY_MS = 2_000  # before an accepted prepare is sent again
MAX_MISSED_PASSES = 3  # whose hold is tried again for a later pass
MISSED_LEAD_MS = 300  # until the pass that is held instead
MISSED_LEAD_PASSES = 4  # likewise, while the time of a pass is unknown
SETTLE_MS = 1_000  # twice the lag of reports
RIVAL_MS = 5_000  # two processes that both lead hear of each other sooner


def on_outcome(state: State, event: OrderOutcome) -> Transition:
    """Handle the outcome of an order of this phase."""
    group, phase, rank = state.group, state.phase, event.rank
    if group is None or event.epoch != group.epoch or rank not in group.ranks:
        return state, ()
    if event.outcome is Outcome.UNKNOWN or isinstance(phase, Idle):
        return state, ()
    if event.outcome is Outcome.FENCED:
        return _on_fenced(state, event)
    done = event.outcome is Outcome.DONE
    if done and isinstance(phase, Preparing):
        # Copying takes time; the reports show when it is complete.
        state = state._replace(
            last_sent_ms=state.last_sent_ms.set(rank, event.now_ms + PREPARE_RETRY_MS)
        )
        orders_ms = event.now_ms - phase.since_ms
        state = update_phase(state, replace(phase, orders_ms=orders_ms))
    match phase, event.order:
        case Preparing(version), Prepare(ordered) if ordered == version and not done:
            return abandon(state, version, "prepare refused", event.now_ms)
        case Holding(), Hold(step) if step == phase.step:
            return _on_held(state, phase, done, event.now_ms)
        case Arming(), Arm(version, step) if (version, step) == (
            phase.version,
            phase.step,
        ):
            return _on_armed(state, phase, rank, done, event.now_ms), ()
        case Releasing(), Release(step) if phase.held.get(rank) == step:
            # A refusal means that the pass is no longer held.
            return update_phase(state, replace(phase, held=phase.held.delete(rank))), ()
        case Clearing(), Hold(step) if phase.held.get(rank) == step:
            if not done:
                return abandon(state, phase.version, "released", event.now_ms)
            return update_phase(state, replace(phase, fenced=phase.fenced | {rank})), ()
        case Clearing(), Prepare(version) if version == phase.version:
            return _on_cleared(state, phase, rank, done), ()
        case Clearing(), Disarm():
            return _clear_armed(state, rank), ()
    return state, ()


def _on_fenced(state: State, event: OrderOutcome) -> Transition:
    """Continue with a higher fence, or abandon the change and use it next time.

    Otherwise a suspended process with a higher fence would block all changes. After all
    processes have lost their memory, only the ranks know the last fence. A leader that
    is refused again soon has a rival, and waits to see which of them leads.
    """
    phase, now_ms = state.phase, event.now_ms
    if event.fence != state.fence:
        return state, ()  # the order was sent before the fence was raised
    floor = state.fence + FENCE_MARGIN_REVISIONS * IDENTITY_COUNT
    is_rare = state.raised_ms is None or now_ms >= state.raised_ms + RIVAL_MS
    if isinstance(phase, Preparing) and state.is_leader and is_rare:
        state = state._replace(fence=floor, fence_floor=floor, raised_ms=now_ms)
        return enter_phase(state, replace(phase)), ()
    state, effects = abandon(state, phase.version, "another process leads", now_ms)
    idle = Idle(now_ms + SETTLE_MS)
    return state._replace(phase=idle, fence_floor=floor), effects


def _on_held(state: State, phase: Holding, done: bool, now_ms: Millis) -> Transition:
    is_own = phase.layout is not None
    if not done and is_own and phase.missed < MAX_MISSED_PASSES:
        lead = MISSED_LEAD_PASSES
        if state.pass_ms:
            lead = math.ceil(MISSED_LEAD_MS / state.pass_ms)
            lead += MISSED_LEAD_PASSES * phase.missed  # passes are faster than measured
        later = replace(phase, step=phase.step + lead, missed=phase.missed + 1)
        return enter_phase(state, later), ()
    if not done:
        # Another pass is held: wait for new reports.
        return abandon(state, phase.version, "hold refused", now_ms)
    arming = Arming(
        phase.version,
        phase.layout,
        phase.gain,
        phase.since_ms,
        phase.holder,
        phase.step,
    )
    return enter_phase(state, arming), ()


def _on_armed(
    state: State, phase: Arming, rank: str, done: bool, now_ms: Millis
) -> State:
    if done:
        return update_phase(state, replace(phase, armed=phase.armed | {rank}))
    version = next_version(state)
    held = Map({phase.holder: phase.step})
    state = state._replace(last_version=version)
    return enter_phase(state, Clearing(version, now_ms, held))


def _on_cleared(state: State, phase: Clearing, rank: str, done: bool) -> State:
    if done:
        return update_phase(state, replace(phase, cleared=phase.cleared | {rank}))
    # The rank is armed, or has accepted a higher version since its report.
    version = next_version(state)
    state = state._replace(last_version=version)
    return update_phase(state, replace(phase, version=version, cleared=frozenset()))


def _clear_armed(state: State, rank: str) -> State:
    at_ms, report = state.reports[rank]
    reports = state.reports.set(rank, (at_ms, report._replace(armed=None)))
    return state._replace(reports=reports)
