"""Decide whether a new expert map is worth its moves of weights."""

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
    """Price the moves of weights against the steps they shorten.

    A move of ``expert_bytes`` takes the group's part of the weight store,
    ``store_bytes_per_s``. Moves are ordered where the step time they save
    within ``payback_s`` is more than the time they take, and where they shorten
    a layer by at least ``min_move_gain``; new shares, which move nothing, where
    they shorten it by ``min_share_gain``. A report weighs ``load_smoothing`` and
    ``pace_smoothing`` in the running means; a pace that differs from its mean by
    more than the part ``pace_jump`` replaces it.
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
    """Hold tokens for each layer and expert, and each rank's measured pace.

    A pace is the tokens a rank works off in a second, on any common scale.
    """

    loads: tuple[tuple[float, ...], ...]
    speeds: tuple[float, ...]


class Plan(NamedTuple):
    """Hold what to propose; ``placement`` is the current one if nothing pays.

    ``moves`` counts the loads of an expert on a rank. ``gain`` is the part of
    the step time that is saved, going by the report.
    """

    placement: Placement
    moves: int
    moved_bytes: int
    gain: float


def smooth(
    last: LoadReport | None, report: LoadReport, options: PlacementOptions
) -> LoadReport:
    """Return the running mean of the reports."""
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
    """Return the placement that pays best, and its cost."""
    before = [
        _peak(layer, loads, report.speeds)
        for layer, loads in zip(current, report.loads, strict=True)
    ]
    step = sum(before)
    chosen = [
        _plan_layer(layer, loads, report.speeds, peak, step, options)
        for layer, loads, peak in zip(current, report.loads, before, strict=True)
    ]
    moves = sum(len(improved.moves) for _, improved in chosen if improved)
    after = sum(
        improved.peak if improved else peak
        for (_, improved), peak in zip(chosen, before, strict=True)
    )
    gain = 1 - after / step if step else 0.0
    placement = tuple(layer for layer, _ in chosen)
    return Plan(placement, moves, moves * options.expert_bytes, gain)


def _plan_layer(
    layer: LayerMap,
    loads: Sequence[float],
    speeds: Sequence[float],
    before: float,
    step: float,
    options: PlacementOptions,
) -> tuple[LayerMap, Improvement | None]:
    """Return the best map of a layer; None beside it where nothing pays."""
    found = improvements(
        from_layer_map(layer, loads),
        speeds,
        options.slots_per_rank,
        options.max_moves_per_layer,
    )
    shared = next(found)
    # Nothing beats all ranks together, so where that gains too little, no move can.
    least = sum(loads) / sum(speeds)
    if shared.peak - least < options.min_move_gain * shared.peak:
        found = iter(())
    moved = max(
        found, key=lambda one: _profit(shared, one, step, options), default=None
    )
    if moved is not None and _is_profitable(shared, moved, step, options):
        return to_layer_map(moved.split, len(speeds)), moved
    if before - shared.peak >= options.min_share_gain * before:
        return to_layer_map(shared.split, len(speeds)), shared
    return layer, None


def _is_profitable(
    shared: Improvement, moved: Improvement, step: float, options: PlacementOptions
) -> bool:
    shorter = shared.peak - moved.peak >= options.min_move_gain * shared.peak
    return shorter and _profit(shared, moved, step, options) > 0


def _profit(
    shared: Improvement, moved: Improvement, step: float, options: PlacementOptions
) -> float:
    """Return the seconds won within the payback time, less those of the moves."""
    won_s = (shared.peak - moved.peak) / step * options.payback_s
    moved_bytes = len(moved.moves) * options.expert_bytes
    return won_s - moved_bytes / options.store_bytes_per_s


def _peak(layer: LayerMap, loads: Sequence[float], speeds: Sequence[float]) -> float:
    work = rank_work(from_layer_map(layer, loads), len(speeds))
    return max(w / speed for w, speed in zip(work, speeds, strict=True))


def _smooth_speed(old: float, new: float, options: PlacementOptions) -> float:
    if abs(new - old) > options.speed_jump * old:
        return new
    return _interpolate(old, new, options.speed_smoothing)


def _interpolate(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old)
