"""Take in what became of the orders of a phase."""

from dataclasses import replace

from immutables import Map

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
    IDENTITIES,
    Step,
    abandon,
    into,
    next_version,
    with_phase,
)
from nutmegslip_decisions.experts.rollout._types import (
    Arm,
    Disarm,
    Hold,
    Ordered,
    Outcome,
    Prepare,
    Release,
)
from nutmegslip_decisions.model import Millis

COPY_MS = 2_000  # before a prepare that was taken is asked again
FENCE_STEP = 100_000  # revisions of the store; no entry reads it that much later
SETTLE_MS = 1_000  # the lag of reports, twice


def hear(state: State, event: Ordered) -> Step:
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
            return abandon(state, version, "prepare refused", event.now_ms)
        case Holding(), Hold(step) if step == phase.step:
            return _held(state, phase, done, event.now_ms)
        case Arming(), Arm(version, step) if (version, step) == (
            phase.version,
            phase.step,
        ):
            return _armed(state, phase, rank, done, event.now_ms), ()
        case Releasing(), Release(step) if phase.held.get(rank) == step:
            # Refused means that the pass is held no more.
            return with_phase(state, replace(phase, held=phase.held.delete(rank))), ()
        case Clearing(), Hold(step) if phase.held.get(rank) == step:
            if not done:
                return abandon(state, phase.version, "released", event.now_ms)
            return with_phase(state, replace(phase, fenced=phase.fenced | {rank})), ()
        case Clearing(), Prepare(version) if version == phase.version:
            return _cleared(state, phase, rank, done), ()
        case Clearing(), Disarm():
            return _forget_armed(state, rank), ()
    return state, ()


def _fenced(state: State, version: int, now_ms: Millis) -> Step:
    """Rest, and be above the other process next time: it may be frozen."""
    state, effects = abandon(state, version, "another process leads", now_ms)
    floor = state.fence + FENCE_STEP * IDENTITIES
    resting = Resting(now_ms + SETTLE_MS)
    return state._replace(phase=resting, fence_floor=floor), effects


def _held(state: State, phase: Holding, done: bool, now_ms: Millis) -> Step:
    if not done:
        # The pass has begun, or another is held: see what the ranks report.
        return abandon(state, phase.version, "hold refused", now_ms)
    arming = Arming(
        phase.version,
        phase.layout,
        phase.gain,
        phase.since_ms,
        phase.holder,
        phase.step,
    )
    return into(state, arming), ()


def _armed(state: State, phase: Arming, rank: str, done: bool, now_ms: Millis) -> State:
    if done:
        return with_phase(state, replace(phase, armed=phase.armed | {rank}))
    version = next_version(state)
    held = Map({phase.holder: phase.step})
    state = state._replace(last_version=version)
    return into(state, Clearing(version, now_ms, held))


def _cleared(state: State, phase: Clearing, rank: str, done: bool) -> State:
    if done:
        return with_phase(state, replace(phase, cleared=phase.cleared | {rank}))
    # The rank is armed, or has had a higher version since the reports.
    version = next_version(state)
    state = state._replace(last_version=version)
    return with_phase(state, replace(phase, version=version, cleared=frozenset()))


def _forget_armed(state: State, rank: str) -> State:
    at_ms, report = state.reports[rank]
    reports = state.reports.set(rank, (at_ms, report._replace(armed=None)))
    return state._replace(reports=reports)
