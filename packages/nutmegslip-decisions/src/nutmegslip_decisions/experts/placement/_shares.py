"""Split each expert's tokens over its replicas so that the ranks finish together."""

from collections.abc import Sequence

from nutmegslip_decisions.experts._layer import SHARE_UNIT, LayerMap

#: For each expert, the number of its tokens that each rank processes.
Split = list[dict[int, float]]

MAX_SWEEPS = 80
#: Balancing stops after a sweep that lowers the peak by less than this share of it.
TOLERANCE_SHARE = 1e-4


def even_split(slots: Sequence[Sequence[int]], loads: Sequence[float]) -> Split:
    """Return the split that gives every replica of an expert the same tokens."""
    split: Split = [{} for _ in loads]
    for rank, experts in enumerate(slots):
        for expert in experts:
            split[expert][rank] = 0.0
    for expert, parts in enumerate(split):
        split[expert] = dict.fromkeys(parts, loads[expert] / len(parts))
    return split


def balance_split(
    split: Split, speeds: Sequence[float], max_sweeps: int = MAX_SWEEPS
) -> float:
    """Balance the ranks' times in place; return the slowest rank's time.

    Each expert's tokens in turn are distributed over its ranks by water-filling. Each
    step lowers the sum of squared times; at its minimum, the slowest rank's time is
    minimal too.
    """
    work = rank_work(split, len(speeds))
    shared = [parts for parts in split if len(parts) > 1]
    peak = _peak(work, speeds)
    for _ in range(max_sweeps):
        for parts in shared:
            _water_fill(parts, work, speeds)
        last, peak = peak, _peak(work, speeds)
        if last - peak < TOLERANCE_SHARE * peak:
            break
    return peak


def rank_work(split: Split, size: int) -> list[float]:
    """Return the tokens that each rank processes."""
    work = [0.0] * size
    for parts in split:
        for rank, part in parts.items():
            work[rank] += part
    return work


def to_layer_map(split: Split, size: int) -> LayerMap:
    """Return a split as a map, with integer shares."""
    slots: list[list[int]] = [[] for _ in range(size)]
    shares: list[list[int]] = [[] for _ in range(size)]
    for expert, parts in enumerate(split):
        for rank, share in _integer_shares(parts).items():
            slots[rank].append(expert)
            shares[rank].append(share)
    return LayerMap(tuple(map(tuple, slots)), tuple(map(tuple, shares)))


def from_layer_map(layer: LayerMap, loads: Sequence[float]) -> Split:
    """Return the split of the experts' tokens under a map."""
    split: Split = [{} for _ in loads]
    for rank, (experts, shares) in enumerate(
        zip(layer.slots, layer.shares, strict=True)
    ):
        for expert, share in zip(experts, shares, strict=True):
            split[expert][rank] = loads[expert] * share / SHARE_UNIT
    return split


def _peak(work: Sequence[float], speeds: Sequence[float]) -> float:
    return max(w / speed for w, speed in zip(work, speeds, strict=True))


def _water_fill(
    parts: dict[int, float], work: list[float], speeds: Sequence[float]
) -> None:
    """Distribute one expert's tokens over its ranks, the least busy first."""
    tokens = sum(parts.values())
    for rank, part in parts.items():
        work[rank] -= part
    ranks = sorted(parts, key=lambda rank: (work[rank] / speeds[rank], rank))
    filled_work = tokens
    filled_speed = 0.0
    used = 0
    for rank in ranks:
        if used and filled_work <= work[rank] / speeds[rank] * filled_speed:
            break
        filled_work += work[rank]
        filled_speed += speeds[rank]
        used += 1
    time = filled_work / filled_speed
    for index, rank in enumerate(ranks):
        parts[rank] = (
            max(0.0, time * speeds[rank] - work[rank]) if index < used else 0.0
        )
        work[rank] += parts[rank]


def _integer_shares(parts: dict[int, float]) -> dict[int, int]:
    total = sum(parts.values())
    if total <= 0:
        parts, total = dict.fromkeys(parts, 1.0), float(len(parts))
    shares = {rank: int(SHARE_UNIT * part / total) for rank, part in parts.items()}
    largest = max(shares, key=lambda rank: (shares[rank], -rank))
    shares[largest] += SHARE_UNIT - sum(shares.values())
    return shares
