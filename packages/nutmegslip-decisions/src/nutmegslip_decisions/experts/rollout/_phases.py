"""Transitions between phases, and queries on the reports of ranks."""

import math

from immutables import Map

from nutmegslip_decisions.experts.rollout._state import Idle, Phase, State
from nutmegslip_decisions.experts.rollout._types import (
    ChangeAbandoned,
    Effect,
    Group,
    RankReport,
)
from nutmegslip_decisions.model import Millis

Transition = tuple[State, tuple[Effect, ...]]
IDENTITY_COUNT = 65_536
MAX_REPORT_AGE_MS = 1_400  # covers one missed report while idle
REPORT_LAG_FACTOR = 1.5  # on the published lag, since it varies
BACKOFF_MS = 2_000  # after an abandoned change
FENCE_MARGIN_REVISIONS = 100_000  # store revisions; no entry lags that far behind


def start_change(state: State, phase: Phase) -> State:
    """Begin a change with the latest fence."""
    fence = max(state.latest_fence, state.fence_floor)
    return enter_phase(state._replace(fence=fence), phase)


def take_over(state: State, phase: Phase) -> State:
    """Continue a change of another process with a fence above its own.

    The group stands still meanwhile, so no refusal for a low fence is waited for.
    """
    latest = max(state.latest_fence, state.fence_floor)
    fence = latest + FENCE_MARGIN_REVISIONS * IDENTITY_COUNT
    return enter_phase(state._replace(fence=fence, fence_floor=fence), phase)


def enter_phase(state: State, phase: Phase) -> State:
    """Enter a phase with all its orders due."""
    return state._replace(phase=phase, last_sent_ms=Map(), reports_requested_ms=0)


def update_phase(state: State, phase: Phase) -> State:
    """Replace the data of the current phase without making its orders due."""
    return state._replace(phase=phase)


def abandon(state: State, version: int, reason: str, now_ms: Millis) -> Transition:
    """Abandon a change and discard everything that was read before."""
    idle = distrust_reports(enter_phase(state, Idle(now_ms + BACKOFF_MS)), now_ms)
    # Orders may still be carried out late, so earlier reports are discarded.
    without_reports = idle._replace(reports=Map(), layout=None)
    return without_reports, (ChangeAbandoned(version, reason),)


def distrust_reports(state: State, now_ms: Millis) -> State:
    """Wait for reports of what ranks do from now on."""
    lag_ms = math.ceil(state.options.report_lag_ms * REPORT_LAG_FACTOR)
    return state._replace(trusted_from_ms=now_ms + lag_ms)


def latest_report(state: State, rank: str) -> RankReport | None:
    """Return the latest report of a rank."""
    found = state.reports.get(rank)
    return found[1] if found else None


def fresh_reports(state: State, now_ms: Millis) -> list[RankReport] | None:
    """Return the reports in rank order, None if one is missing or stale."""
    group: Group = state.group
    found = [state.reports.get(rank) for rank in group.ranks]
    oldest_ms = max(now_ms - MAX_REPORT_AGE_MS, state.trusted_from_ms)
    if any(item is None or item[0] < oldest_ms for item in found):
        return None
    return [report for _, report in found]


def is_quiescent(state: State, now_ms: Millis) -> bool:
    """Return whether no rank is armed or holds a pass."""
    reports = fresh_reports(state, now_ms)
    return reports is not None and all(
        report.held is None and report.armed is None for report in reports
    )


def next_version(state: State) -> int:
    """Return a version above all seen ones that no other process can choose."""
    seen = [
        version
        for _, report in state.reports.values()
        for version in (report.version, report.prepared, (report.armed or (0,))[0])
        if version is not None
    ]
    highest = max((state.last_version, *seen))
    return (highest // IDENTITY_COUNT + 1) * IDENTITY_COUNT + state.options.identity
