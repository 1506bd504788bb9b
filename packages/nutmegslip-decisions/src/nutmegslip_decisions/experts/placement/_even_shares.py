"""Reduce the busiest rank's load with a few copies; replicas share tokens evenly.

Answers the load pattern in which a few experts become popular and the ranks that hold
them slow down all others in lock-step. Few copies are made, since each occupies a
rank's link.
"""

from collections.abc import Sequence
from typing import NamedTuple

#: For each rank, the experts that it holds.
Slots = tuple[tuple[int, ...], ...]

CANDIDATE_EXPERTS = 4  # the busiest rank's experts with the most tokens
TARGET_RANKS = 4  # the least busy ranks
MAX_MOVES = 5  # a rank copies an expert in 0.14 s; a load shift lasts some seconds
MAX_COPY_GAIN_SHARE = 0.02  # of the peak; a larger gain is worth any copy
MIN_COPY_GAIN_SHARE = 0.002  # below it the next counts differ by more
GAIN_SHARE_PER_COPY_MS = 0.0004  # copying slows the passes meanwhile


class EvenSharePlan(NamedTuple):
    """A layer's new slots, and the busiest rank's tokens before and after."""

    slots: Slots
    peak_before: float
    peak_after: float


def plan_even_shares(
    current: Slots,
    loads: Sequence[float],
    places: int,
    spare: int,
    copy_ms: float = 0.0,
) -> EvenSharePlan:
    """Return slots for one layer that lower the busiest rank's tokens.

    ``places`` is the number of experts that a rank can hold, ``spare`` how many of
    them may be new to it in one change. The longer an expert takes to copy,
    ``copy_ms``, the more a copy must gain.
    """
    min_gain = min(
        max(GAIN_SHARE_PER_COPY_MS * copy_ms, MIN_COPY_GAIN_SHARE), MAX_COPY_GAIN_SHARE
    )
    layer = _LayerPlanner(current, loads, places, spare, min_gain)
    peak_before = layer.peak()
    for _ in range(MAX_MOVES):
        if not layer.improve():
            break
    return EvenSharePlan(layer.slots(), peak_before, layer.peak())


class _LayerPlanner:
    """The placement of one layer during its change."""

    def __init__(
        self,
        current: Slots,
        loads: Sequence[float],
        places: int,
        spare: int,
        min_gain: float,
    ) -> None:
        self._min_gain = min_gain
        self._loads = loads
        self._places = places
        self._spare = spare
        self._old = [frozenset(experts) for experts in current]
        self._held = [set(experts) for experts in current]
        self._copies = [0] * len(loads)
        for experts in current:
            for expert in experts:
                self._copies[expert] += 1
        self._work = [self._rank_work(rank) for rank in range(len(current))]

    def peak(self) -> float:
        """Return the busiest rank's tokens."""
        return max(self._work)

    def slots(self) -> Slots:
        """Return the sorted experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def improve(self) -> bool:
        """Apply the best copy; return False if none lowers the peak enough."""
        order = sorted(range(len(self._work)), key=self._work.__getitem__)
        busiest = order[-1]
        experts = sorted(
            self._held[busiest], key=self._tokens_per_replica, reverse=True
        )
        moves = [
            (expert, rank, dropped)
            for expert in experts[:CANDIDATE_EXPERTS]
            for rank in order[:TARGET_RANKS]
            if expert not in self._held[rank]
            for dropped in self._replaceable_slots(rank, expert)
        ]
        peak = self.peak()
        best = min(moves, key=self._peak_after, default=None)
        if best is None or self._peak_after(best) > peak * (1 - self._min_gain):
            return False
        self._apply_move(best)
        return True

    def _replaceable_slots(self, rank: int, expert: int) -> list[int | None]:
        """Return what a copy may replace: a free place, or the smallest replica."""
        new = len(self._held[rank] - self._old[rank])
        if expert not in self._old[rank] and new >= self._spare:
            return []
        if len(self._held[rank]) < self._places:
            return [None]
        replicas = [e for e in self._held[rank] if self._copies[e] > 1]
        return [min(replicas, key=self._tokens_taken_over)] if replicas else []

    def _apply_move(self, move: tuple[int, int, int | None]) -> None:
        expert, rank, dropped = move
        self._held[rank].add(expert)
        self._copies[expert] += 1
        if dropped is not None:
            self._held[rank].discard(dropped)
            self._copies[dropped] -= 1
        self._work = [self._rank_work(rank) for rank in range(len(self._held))]

    def _peak_after(self, move: tuple[int, int, int | None]) -> float:
        expert, target, dropped = move
        tokens_given_up = self._tokens_per_replica(expert) - self._loads[expert] / (
            self._copies[expert] + 1
        )
        highest = 0.0
        for rank, work in enumerate(self._work):
            rank_after = work
            if expert in self._held[rank]:
                rank_after -= tokens_given_up
            elif rank == target:
                rank_after += self._tokens_per_replica(expert) - tokens_given_up
            if dropped is not None:
                if rank == target:
                    rank_after -= self._tokens_per_replica(dropped)
                elif dropped in self._held[rank]:
                    rank_after += self._tokens_taken_over(dropped)
            highest = max(highest, rank_after)
        return highest

    def _tokens_per_replica(self, expert: int) -> float:
        return self._loads[expert] / self._copies[expert]

    def _tokens_taken_over(self, expert: int) -> float:
        """Return the tokens added to each other holder if one replica is dropped."""
        copies = self._copies[expert]
        return self._loads[expert] / (copies - 1) - self._loads[expert] / copies

    def _rank_work(self, rank: int) -> float:
        return sum(self._tokens_per_replica(expert) for expert in self._held[rank])
