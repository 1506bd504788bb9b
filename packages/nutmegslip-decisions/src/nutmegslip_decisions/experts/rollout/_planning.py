"""Plan the next expert map of a group, layer by layer.

Answers the load pattern in which the process that leads the maps also passes streams
on: a plan of many layers takes longer than the events of a stream may be held up, so
its caller lets other work run between two layers.
"""

from collections.abc import Iterator

from nutmegslip_decisions.experts.placement import (
    EvenSharePlan,
    moves_per_layer,
    plan_even_shares,
)
from nutmegslip_decisions.experts.rollout._phases import (
    is_quiescent,
    latest_report,
)
from nutmegslip_decisions.experts.rollout._state import Idle, State
from nutmegslip_decisions.experts.rollout._types import Loads, MapPlan
from nutmegslip_decisions.model import Millis


def may_begin_change(state: State, now_ms: Millis) -> bool:
    """Return whether a change of the map may begin now."""
    is_idle = isinstance(state.phase, Idle) and now_ms >= state.phase.until_ms
    return bool(
        is_idle and state.is_leader and state.layout and is_quiescent(state, now_ms)
    )


def plan_layers(state: State, loads: Loads) -> Iterator[EvenSharePlan]:
    """Yield the plan of each layer of the map in force."""
    options, layout = state.options, state.layout
    moves = moves_per_layer(len(state.group.ranks), len(layout), options.copy_ms)
    slowness = _slowness(state)
    for slots, layer in zip(layout, loads, strict=True):
        yield plan_even_shares(
            slots,
            layer,
            options.places,
            options.spare,
            options.copy_ms,
            moves,
            slowness,
        )


def _slowness(state: State) -> tuple[float, ...]:
    """Return how slow each rank is by its latest report."""
    reports = [latest_report(state, rank) for rank in state.group.ranks]
    return tuple(1.0 if report is None else report.slowness for report in reports)


def plan_of(state: State, loads: Loads, planned: MapPlan | None) -> MapPlan:
    """Return what was planned for the map in force, or plan it now."""
    if planned is not None and planned.layout is state.layout:
        return planned
    return MapPlan(state.layout, tuple(plan_layers(state, loads)))
