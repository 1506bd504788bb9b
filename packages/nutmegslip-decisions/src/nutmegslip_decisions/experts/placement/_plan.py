"""Decide whether a new expert map is worth the cost of moving weights."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from nutmegslip_decisions.experts._layer import LayerMap, Placement
from nutmegslip_decisions.experts.placement._search import Improvement, improvements
from nutmegslip_decisions.experts.placement._shares import (
    from_layer_map,
    rank_work,
    to_layer_map,
)


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Costs and thresholds of moving weights and changing shares.

    A move transfers ``expert_bytes`` at ``store_bytes_per_s``, the group's share of
    the weight store's bandwidth. Moves are planned if the step time saved within
    ``payback_s`` exceeds the time they take, and if they shorten a layer by at least
    the share ``min_move_gain``. New shares, which move no weights, are planned if they
    shorten it by ``min_share_gain``. ``load_smoothing`` and ``speed_smoothing`` are
    the weights of a new report in the exponential moving averages; a speed that
    differs from its average by more than the share ``speed_jump`` replaces it.
    """

    slots_per_rank: int
    expert_bytes: int = 44_000_000
    store_bytes_per_s: int = 250_000_000
    payback_s: float = 600.0
    min_move_gain: float = 0.01
    min_share_gain: float = 0.005
    max_moves_per_layer: int = 12
    load_smoothing: float = 1.0
    speed_smoothing: float = 0.1
    speed_jump: float = 0.1


class LoadReport(NamedTuple):
    """Tokens for each layer and expert, and each rank's measured speed.

    A speed is the number of tokens that a rank processes per second, on any scale
    common to all ranks.
    """

    loads: tuple[tuple[float, ...], ...]
    speeds: tuple[float, ...]


class Plan(NamedTuple):
    """A placement to propose; the current one if no change is worth its cost.

    ``moves`` is the number of experts to load, summed over ranks. ``gain`` is the
    share of the step time that is saved, according to the report.
    """

    placement: Placement
    moves: int
    moved_bytes: int
    gain: float


def smooth(
    last: LoadReport | None, report: LoadReport, options: PlacementOptions
) -> LoadReport:
    """Return the exponential moving average of the reports."""
    if last is None:
        return report
    loads = tuple(
        tuple(
            _interpolate(old, new, options.load_smoothing)
            for old, new in zip(*pair, strict=True)
        )
        for pair in zip(last.loads, report.loads, strict=True)
    )
    speeds = tuple(
        _smooth_speed(old, new, options)
        for old, new in zip(last.speeds, report.speeds, strict=True)
    )
    return LoadReport(loads, speeds)


def plan(current: Placement, report: LoadReport, options: PlacementOptions) -> Plan:
    """Return the most profitable placement, and its cost."""
    before = [
        _peak(layer, loads, report.speeds)
        for layer, loads in zip(current, report.loads, strict=True)
    ]
    step_time = sum(before)
    chosen = [
        _plan_layer(layer, loads, report.speeds, peak, step_time, options)
        for layer, loads, peak in zip(current, report.loads, before, strict=True)
    ]
    moves = sum(len(improved.moves) for _, improved in chosen if improved)
    after = sum(
        improved.peak if improved else peak
        for (_, improved), peak in zip(chosen, before, strict=True)
    )
    gain = 1 - after / step_time if step_time else 0.0
    placement = tuple(layer for layer, _ in chosen)
    return Plan(placement, moves, moves * options.expert_bytes, gain)


def _plan_layer(
    layer: LayerMap,
    loads: Sequence[float],
    speeds: Sequence[float],
    before: float,
    step_time: float,
    options: PlacementOptions,
) -> tuple[LayerMap, Improvement | None]:
    """Return the best map of a layer, and the improvement if there is one."""
    found = improvements(
        from_layer_map(layer, loads),
        speeds,
        options.slots_per_rank,
        options.max_moves_per_layer,
    )
    shared = next(found)
    # No move can beat a perfect balance over all ranks, so skip the search if even
    # that gains too little.
    ideal = sum(loads) / sum(speeds)
    if shared.peak - ideal < options.min_move_gain * shared.peak:
        found = iter(())
    moved = max(
        found, key=lambda one: _profit(shared, one, step_time, options), default=None
    )
    if moved is not None and _is_profitable(shared, moved, step_time, options):
        return to_layer_map(moved.split, len(speeds)), moved
    if before - shared.peak >= options.min_share_gain * before:
        return to_layer_map(shared.split, len(speeds)), shared
    return layer, None


def _is_profitable(
    shared: Improvement, moved: Improvement, step_time: float, options: PlacementOptions
) -> bool:
    shorter = shared.peak - moved.peak >= options.min_move_gain * shared.peak
    return shorter and _profit(shared, moved, step_time, options) > 0


def _profit(
    shared: Improvement, moved: Improvement, step_time: float, options: PlacementOptions
) -> float:
    """Return the seconds saved within the payback time, minus those of the moves."""
    saved_s = (shared.peak - moved.peak) / step_time * options.payback_s
    moved_bytes = len(moved.moves) * options.expert_bytes
    return saved_s - moved_bytes / options.store_bytes_per_s


def _peak(layer: LayerMap, loads: Sequence[float], speeds: Sequence[float]) -> float:
    work = rank_work(from_layer_map(layer, loads), len(speeds))
    return max(w / speed for w, speed in zip(work, speeds, strict=True))


def _smooth_speed(old: float, new: float, options: PlacementOptions) -> float:
    if abs(new - old) > options.speed_jump * old:
        return new
    return _interpolate(old, new, options.speed_smoothing)


def _interpolate(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old)
