"""Place experts without regard to a current placement."""

import heapq
from collections.abc import Sequence

from nutmegslip_decisions.experts._layer import LayerMap
from nutmegslip_decisions.experts.placement._shares import (
    balance_split,
    even_split,
    to_layer_map,
)


def place_from_scratch(
    loads: Sequence[float], speeds: Sequence[float], slots_per_rank: int
) -> LayerMap:
    """Return a map that gives spare slots to the busiest experts.

    Replicas are assigned in order of decreasing tokens, each to the rank that would
    finish first and does not hold the expert yet. ``slots_per_rank`` times the number
    of ranks must be at least the number of experts.
    """
    slots = _pack(
        _replica_counts(loads, speeds, slots_per_rank), loads, speeds, slots_per_rank
    )
    split = even_split(slots, loads)
    balance_split(split, speeds)
    return to_layer_map(split, len(speeds))


def _replica_counts(
    loads: Sequence[float], speeds: Sequence[float], slots_per_rank: int
) -> list[int]:
    """Return each expert's number of replicas.

    Each spare slot goes to the expert with the most tokens per replica.
    """
    size = len(speeds)
    counts = [1] * len(loads)
    queue = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(queue)
    spare = size * slots_per_rank - len(loads)
    while spare and queue:
        _, expert = heapq.heappop(queue)
        if counts[expert] == size:
            continue
        counts[expert] += 1
        spare -= 1
        heapq.heappush(queue, (-loads[expert] / counts[expert], expert))
    return counts


def _pack(
    counts: Sequence[int],
    loads: Sequence[float],
    speeds: Sequence[float],
    slots_per_rank: int,
) -> list[list[int]]:
    slots: list[list[int]] = [[] for _ in speeds]
    work = [0.0] * len(speeds)
    copies = sorted(
        (-loads[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    )
    for negated_tokens, expert in copies:
        free = [
            rank
            for rank, held in enumerate(slots)
            if len(held) < slots_per_rank and expert not in held
        ]
        if not free:
            continue
        rank = min(free, key=lambda r: ((work[r] - negated_tokens) / speeds[r], r))
        slots[rank].append(expert)
        work[rank] -= negated_tokens
    return slots
