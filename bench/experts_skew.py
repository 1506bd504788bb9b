"""Measure step-time skew and the cost of rebalancing under several policies.

``python -m bench.experts_skew --seed 1 --out skew.json`` prints a table and
writes the same figures, and the curves to plot, as JSON.
"""

import argparse
import itertools
import json
import pathlib
import time
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from bench.experts_workload import SCENARIOS, SIZES, Scenario, Size, Workload
from nutmegslip_decisions.experts.placement import (
    SHARE_UNIT,
    LayerMap,
    LoadReport,
    Placement,
    PlacementOptions,
    place_from_scratch,
    plan,
    smooth,
)

STEPS_PER_REPORT = 4  # timed steps between two reports
REPORTED_STEPS = 50  # steps summed up in one report
SPEED_NOISE_SHARE = 0.02


class Step(NamedTuple):
    """Times of one step, in tokens divided by speed.

    ``expected`` is the ratio of the slowest time to the bound if tokens were
    distributed exactly by popularity. The excess of the measured ratio over
    ``expected`` is random variation.
    """

    slowest: float
    mean: float
    bound: float
    expected: float


class Row(NamedTuple):
    """The figures of one policy in one run."""

    ranks: int
    scenario: str
    policy: str
    skew_p50: float
    skew_p95: float
    over_bound_p50: float
    over_bound_p95: float
    expected_p95: float
    step_p50: float
    step_p95: float
    moves: int
    moved_gb: float
    maps: int
    decision_ms_p50: float
    decision_ms_max: float


#: Maps the current placement and the report to the next placement.
Policy = Callable[[Placement, LoadReport], Placement]


def keep_placement(current: Placement, report: LoadReport) -> Placement:
    """Return the current placement unchanged."""
    return current


def from_scratch(slots_per_rank: int) -> Policy:
    """Return the policy that places from scratch at every report."""

    def policy(current: Placement, report: LoadReport) -> Placement:
        return tuple(
            place_from_scratch(loads, report.speeds, slots_per_rank)
            for loads in report.loads
        )

    return policy


def planned(options: PlacementOptions) -> Policy:
    """Return the product's policy."""
    last: LoadReport | None = None

    def policy(current: Placement, report: LoadReport) -> Placement:
        nonlocal last
        last = smooth(last, report, options)
        return plan(current, last, options).placement

    return policy


def policies(size: Size) -> dict[str, Policy]:
    """Return the policies to compare; the last ones are baselines."""
    slots = size.slots_per_rank
    return {
        "planned": planned(PlacementOptions(slots)),
        "shares only": planned(PlacementOptions(slots, max_moves_per_layer=0)),
        "fixed": keep_placement,
        "greedy": from_scratch(slots),
        "informed": from_scratch(slots),
    }


def run(
    scenario: Scenario, size: Size, name: str, policy: Policy, seed: int
) -> tuple[Row, list[Step]]:
    """Run one policy through a scenario; the steps are the same for every policy."""
    workload = Workload(scenario, size, seed)
    rng = np.random.default_rng([seed, size.ranks, 1])
    options = PlacementOptions(size.slots_per_rank)
    first = _report(workload, 0.0, rng)
    current = from_scratch(size.slots_per_rank)((), first)
    steps: list[Step] = []
    decisions_ms: list[float] = []
    moves = maps = 0
    for at_s in range(scenario.report_s, scenario.length_s, scenario.report_s):
        report = _report(workload, at_s - scenario.report_s, rng)
        if name == "informed":
            report = _true_report(workload, at_s + scenario.report_s / 2, size)
        started = time.perf_counter()
        next_placement = policy(current, report)
        decisions_ms.append((time.perf_counter() - started) * 1000)
        moved = _moves(current, next_placement)
        moves += moved
        maps += next_placement != current
        # The baselines get their weights without delay.
        loading_s = moved * options.expert_bytes / options.store_bytes_per_s
        ready_s = at_s + (loading_s if name == "planned" else 0.0)
        offsets = rng.uniform(0, scenario.report_s, STEPS_PER_REPORT)
        for step_s in np.sort(at_s + offsets):
            placement = next_placement if step_s >= ready_s else current
            loads = workload.step_loads(step_s, rng)
            speeds = workload.speeds(step_s)
            matrix = _matrix(placement, size)
            step = _step(matrix, loads, speeds, size)
            mean_loads = workload.popularity(step_s) * size.step_tokens
            mean_step = _step(matrix, mean_loads, speeds, size)
            steps.append(step._replace(expected=mean_step.slowest / mean_step.bound))
        current = next_placement
    row = _row(size, scenario, name, steps, moves, maps, decisions_ms, options)
    return row, steps


def _report(workload: Workload, at_s: float, rng: np.random.Generator) -> LoadReport:
    loads = sum(workload.step_loads(at_s, rng) for _ in range(REPORTED_STEPS))
    speeds = workload.speeds(at_s)
    speeds = speeds * rng.normal(1.0, SPEED_NOISE_SHARE, len(speeds))
    return LoadReport(tuple(tuple(map(float, row)) for row in loads), tuple(speeds))


def _true_report(workload: Workload, at_s: float, size: Size) -> LoadReport:
    loads = workload.popularity(at_s) * size.step_tokens
    return LoadReport(
        tuple(tuple(map(float, row)) for row in loads), tuple(workload.speeds(at_s))
    )


def _moves(old: Placement, new: Placement) -> int:
    return sum(
        len(set(after) - set(before))
        for old_layer, new_layer in zip(old, new, strict=True)
        for before, after in zip(old_layer.slots, new_layer.slots, strict=True)
    )


def _matrix(placement: Placement, size: Size) -> np.ndarray:
    """Return each rank's share of each expert, for each layer."""
    matrix = np.zeros((size.layers, size.ranks, size.experts))
    for layer, layer_map in enumerate(placement):
        _fill(matrix[layer], layer_map)
    return matrix


def _fill(matrix: np.ndarray, layer_map: LayerMap) -> None:
    rows = zip(layer_map.slots, layer_map.shares, strict=True)
    for rank, (experts, shares) in enumerate(rows):
        matrix[rank, list(experts)] = np.array(shares) / SHARE_UNIT


def _step(
    matrix: np.ndarray, loads: np.ndarray, speeds: np.ndarray, size: Size
) -> Step:
    times = np.einsum("lre,le->lr", matrix, loads) / speeds
    return Step(
        times.max(axis=1).sum(),
        times.mean(axis=1).sum(),
        _bound(loads, speeds, size),
        expected=0.0,
    )


def _bound(loads: np.ndarray, speeds: np.ndarray, size: Size) -> float:
    """Return a time that no placement with these slots can beat on these loads.

    All ranks together process all tokens, and the tokens of one expert are at best
    processed by the fastest ranks that its replicas can occupy.
    """
    max_replicas = min(size.ranks, size.ranks * size.slots_per_rank - size.experts + 1)
    fastest = np.sort(speeds)[::-1][:max_replicas].sum()
    all_ranks = loads.sum(axis=1) / speeds.sum()
    return float(np.maximum(all_ranks, loads.max(axis=1) / fastest).sum())


def _row(
    size: Size,
    scenario: Scenario,
    name: str,
    steps: list[Step],
    moves: int,
    maps: int,
    decisions_ms: list[float],
    options: PlacementOptions,
) -> Row:
    slowest = np.array([step.slowest for step in steps])
    skew = slowest / np.array([step.mean for step in steps])
    over = slowest / np.array([step.bound for step in steps])
    expected = np.percentile([step.expected for step in steps], 95)
    figures = [np.percentile(a, q) for a in (skew, over) for q in (50, 95)]
    figures += [expected, *np.percentile(slowest, (50, 95))]
    return Row(
        size.ranks,
        scenario.name,
        name,
        *(round(float(figure), 4) for figure in figures),
        moves,
        round(moves * options.expert_bytes / 1e9, 2),
        maps,
        round(float(np.percentile(decisions_ms, 50)), 2),
        round(max(decisions_ms), 2),
    )


def main() -> None:
    """Run every policy through every scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--ranks", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--scenarios", nargs="*", default=[s.name for s in SCENARIOS])
    parser.add_argument("--policies", nargs="*", default=[])
    arguments = parser.parse_args()
    rows = []
    curves = {}
    chosen = [s for s in SCENARIOS if s.name in arguments.scenarios]
    print(" ".join(f"{field:>15}" for field in Row._fields))
    for ranks, scenario in itertools.product(arguments.ranks, chosen):
        for name, policy in policies(SIZES[ranks]).items():
            if arguments.policies and name not in arguments.policies:
                continue
            row, steps = run(scenario, SIZES[ranks], name, policy, arguments.seed)
            rows.append(row)
            curves[f"{ranks} {scenario.name} {name}"] = _curve(steps)
            print(" ".join(f"{value:>15}" for value in row), flush=True)
    content = {
        "seed": arguments.seed,
        "rows": [row._asdict() for row in rows],
        "curves": curves,
    }
    arguments.out.write_text(json.dumps(content))


def _curve(steps: list[Step], points: int = 120) -> list[float]:
    over = np.array([step.slowest / step.bound for step in steps])
    return [round(float(part.mean()), 4) for part in np.array_split(over, points)]


if __name__ == "__main__":
    main()
