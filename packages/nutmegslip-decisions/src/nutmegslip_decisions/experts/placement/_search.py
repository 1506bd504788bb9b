"""Search for a few moves of weights that shorten the slowest rank's time."""

import itertools
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from nutmegslip_decisions.experts.placement._shares import (
    Split,
    balance_split,
    rank_work,
)

CANDIDATE_BATCH_SIZE = 32
BUSY_RANKS = 4  # the slowest ranks
TARGET_SLOTS = 8  # on the least busy ranks
MIN_GAIN_SHARE = 0.001  # smaller gains are within the balancing's tolerance
TRIAL_SWEEPS = 6  # enough to compare candidates


class Move(NamedTuple):
    """The copy of an expert to a rank, into a free slot or in place of a replica."""

    rank: int
    expert: int
    dropped: int | None


class Improvement(NamedTuple):
    """A split, the slowest rank's time under it, and the moves that lead to it."""

    split: Split
    peak: float
    moves: tuple[Move, ...]


def improvements(
    split: Split,
    speeds: Sequence[float],
    slots_per_rank: int,
    max_moves: int,
) -> Iterator[Improvement]:
    """Yield the balanced split without moves, then one per greedily added move."""
    split = [dict(parts) for parts in split]
    best = Improvement(split, balance_split(split, speeds), ())
    yield best
    for _ in range(max_moves):
        found = _best_move(best, speeds, slots_per_rank)
        if found is None:
            return
        best = found
        yield best


def _best_move(
    last: Improvement, speeds: Sequence[float], slots_per_rank: int
) -> Improvement | None:
    """Return the best move of the first batch that shortens the slowest rank's time."""
    candidates = iter(_candidates(last.split, speeds, slots_per_rank))
    while batch := list(itertools.islice(candidates, CANDIDATE_BATCH_SIZE)):
        trials = [_apply_move(last, move, speeds) for move in batch]
        found = _balance_fully(min(trials, key=_sort_key), speeds)
        if found.peak < last.peak * (1 - MIN_GAIN_SHARE):
            return found
    return None


def _apply_move(last: Improvement, move: Move, speeds: Sequence[float]) -> Improvement:
    split = [dict(parts) for parts in last.split]
    split[move.expert][move.rank] = 0.0
    if move.dropped is not None:
        _drop_replica(split[move.dropped], move.rank)
    return Improvement(
        split, balance_split(split, speeds, TRIAL_SWEEPS), (*last.moves, move)
    )


def _balance_fully(trial: Improvement, speeds: Sequence[float]) -> Improvement:
    split = [dict(parts) for parts in trial.split]
    return Improvement(split, balance_split(split, speeds), trial.moves)


def _sort_key(trial: Improvement) -> tuple[float, tuple[int, int]]:
    last = trial.moves[-1] if trial.moves else Move(-1, -1, None)
    return trial.peak, (last.rank, last.expert)


def _drop_replica(parts: dict[int, float], rank: int) -> None:
    part = parts.pop(rank)
    for other in parts:
        parts[other] += part / len(parts)


def _candidates(
    split: Split, speeds: Sequence[float], slots_per_rank: int
) -> list[Move]:
    """Return moves of busy ranks' largest experts to the least busy ranks."""
    work = rank_work(split, len(speeds))
    times = [w / speed for w, speed in zip(work, speeds, strict=True)]
    by_time = sorted(range(len(speeds)), key=lambda rank: (times[rank], rank))
    held = _experts_by_rank(split, len(speeds))
    sources = dict.fromkeys(
        expert for rank in by_time[-BUSY_RANKS:] for expert in held[rank]
    )
    targets = [
        (rank, dropped)
        for rank in by_time
        for dropped in _replaceable_slots(split, held[rank], slots_per_rank)
    ]
    return [
        Move(rank, expert, dropped)
        for expert in sorted(sources, key=lambda e: (-max(split[e].values()), e))
        for rank, dropped in targets[:TARGET_SLOTS]
        if rank not in split[expert]
    ]


def _experts_by_rank(split: Split, size: int) -> list[list[int]]:
    held: list[list[int]] = [[] for _ in range(size)]
    for expert, parts in enumerate(split):
        for rank in parts:
            held[rank].append(expert)
    return held


def _replaceable_slots(
    split: Split, held: Sequence[int], slots_per_rank: int
) -> list[int | None]:
    """Return what a move may replace on a rank: a free slot, or any replica."""
    if len(held) < slots_per_rank:
        return [None]
    return [expert for expert in held if len(split[expert]) > 1]
