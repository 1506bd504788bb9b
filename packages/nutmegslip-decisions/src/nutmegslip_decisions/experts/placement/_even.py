"""Relieve the busiest rank by a few copies, where replicas share tokens evenly.

Answers the pattern in which a few experts become popular and the ranks that hold them
set the pace of all others; few copies are made, since each takes a rank's link.
"""

from collections.abc import Sequence
from typing import NamedTuple

#: For each rank, the experts that it holds.
Slots = tuple[tuple[int, ...], ...]

CANDIDATES = 4  # the busiest rank's largest experts
TARGETS = 4  # the idlest ranks
MAX_MOVES = 5  # a rank copies an expert in 0.14 s; a shift lasts some seconds
LEAST_STEP = 0.002  # of the peak; smaller steps are not worth a copy


class EvenPlan(NamedTuple):
    """Hold a layer's new slots and the busiest rank's part before and after."""

    slots: Slots
    before: float
    after: float


def plan_even(
    current: Slots, loads: Sequence[float], places: int, spare: int
) -> EvenPlan:
    """Return better slots for one layer.

    ``places`` is what a rank can hold, ``spare`` how many experts may be new to
    a rank in one change.
    """
    layer = _Layer(current, loads, places, spare)
    before = layer.peak()
    for _ in range(MAX_MOVES):
        if not layer.improve():
            break
    return EvenPlan(layer.slots(), before, layer.peak())


class _Layer:
    """Hold one layer while it is changed."""

    def __init__(
        self, current: Slots, loads: Sequence[float], places: int, spare: int
    ) -> None:
        self._loads = loads
        self._places = places
        self._spare = spare
        self._old = [frozenset(experts) for experts in current]
        self._held = [set(experts) for experts in current]
        self._copies = [0] * len(loads)
        for experts in current:
            for expert in experts:
                self._copies[expert] += 1
        self._work = [self._work_of(rank) for rank in range(len(current))]

    def peak(self) -> float:
        """Return the busiest rank's tokens."""
        return max(self._work)

    def slots(self) -> Slots:
        """Return the experts of each rank in order."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def improve(self) -> bool:
        """Make the copy that lowers the peak the most; False where none does."""
        order = sorted(range(len(self._work)), key=self._work.__getitem__)
        busiest = order[-1]
        experts = sorted(self._held[busiest], key=self._part, reverse=True)
        moves = [
            (expert, rank, dropped)
            for expert in experts[:CANDIDATES]
            for rank in order[:TARGETS]
            if expert not in self._held[rank]
            for dropped in self._room(rank, expert)
        ]
        peak = self.peak()
        best = min(moves, key=self._peak_after, default=None)
        if best is None or self._peak_after(best) > peak * (1 - LEAST_STEP):
            return False
        self._make(best)
        return True

    def _room(self, rank: int, expert: int) -> list[int | None]:
        """Return what may give way to a copy: nothing, or the smallest replica."""
        new = len(self._held[rank] - self._old[rank])
        if expert not in self._old[rank] and new >= self._spare:
            return []
        if len(self._held[rank]) < self._places:
            return [None]
        replicas = [e for e in self._held[rank] if self._copies[e] > 1]
        return [min(replicas, key=self._loss)] if replicas else []

    def _make(self, move: tuple[int, int, int | None]) -> None:
        expert, rank, dropped = move
        self._held[rank].add(expert)
        self._copies[expert] += 1
        if dropped is not None:
            self._held[rank].discard(dropped)
            self._copies[dropped] -= 1
        self._work = [self._work_of(rank) for rank in range(len(self._held))]

    def _peak_after(self, move: tuple[int, int, int | None]) -> float:
        expert, target, dropped = move
        thinner = self._part(expert) - self._loads[expert] / (self._copies[expert] + 1)
        highest = 0.0
        for rank, work in enumerate(self._work):
            after = work
            if expert in self._held[rank]:
                after -= thinner
            elif rank == target:
                after += self._part(expert) - thinner
            if dropped is not None:
                if rank == target:
                    after -= self._part(dropped)
                elif dropped in self._held[rank]:
                    after += self._loss(dropped)
            highest = max(highest, after)
        return highest

    def _part(self, expert: int) -> float:
        return self._loads[expert] / self._copies[expert]

    def _loss(self, expert: int) -> float:
        """Return what each other holder takes over when one replica goes."""
        copies = self._copies[expert]
        return self._loads[expert] / (copies - 1) - self._loads[expert] / copies

    def _work_of(self, rank: int) -> float:
        return sum(self._part(expert) for expert in self._held[rank])
