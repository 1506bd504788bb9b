"""Reduce the busiest rank's load with a few copies; replicas share tokens evenly.

Answers the load pattern in which a few experts become popular and the ranks that hold
them slow down all others in lock-step. As many copies are made as the ranks' links
carry in a short time; each must gain more than the passes lose meanwhile. A rank that
turns slow takes many times as long for the same tokens, so that its experts move to
other ranks.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

#: For each rank, the experts that it holds.
Slots = tuple[tuple[int, ...], ...]

CANDIDATE_EXPERTS = 4  # the busiest rank's experts with the most tokens a replica
TARGET_RANKS = 4  # the least busy ranks that can take the copy
CANDIDATE_DROPS = 2  # replicas that leave their other holders the fewest tokens
FEW_MOVES = 5  # a layer, where a copy takes long or its time is not published
MANY_MOVES = 24  # a layer; further ones gain nothing
COPY_TIME_MS = 200  # that a rank copies in a change, on average over the ranks
MAX_COPY_GAIN_SHARE = 0.02  # of the peak; a larger gain is worth any copy
MIN_COPY_GAIN_SHARE = 0.002  # below it the next counts differ by more
GAIN_SHARE_PER_COPY_MS = 0.0004  # copying slows the passes meanwhile
FAST_CHANGE_MS = 500  # a load shift lasts some seconds


class EvenSharePlan(NamedTuple):
    """A layer's new slots, and the busiest rank's work before and after."""

    slots: Slots
    peak_before: float
    peak_after: float


class _Move(NamedTuple):
    """An expert copied to ``target``, in place of ``dropped`` there.

    ``left`` is the rank that no longer holds the expert, None if all keep it.
    """

    expert: int
    target: int
    dropped: int | None
    left: int | None


def moves_per_layer(ranks: int, layers: int, copy_ms: float) -> int:
    """Return how many copies a layer's plan may hold.

    ``copy_ms`` is the time that a rank takes to copy one expert, 0 if unknown.
    """
    if copy_ms <= 0:
        return FEW_MOVES
    moves = int(COPY_TIME_MS / copy_ms * ranks / layers)
    return min(max(moves, FEW_MOVES), MANY_MOVES)


def is_copied_fast(layers: int, spare: int, copy_ms: float) -> bool:
    """Return whether a rank soon copies all that a change may add to it."""
    return 0 < copy_ms * spare * layers <= FAST_CHANGE_MS


def plan_even_shares(
    current: Slots,
    loads: Sequence[float],
    places: int,
    spare: int,
    copy_ms: float = 0.0,
    max_moves: int = FEW_MOVES,
    slowness: Sequence[float] = (),
) -> EvenSharePlan:
    """Return slots for one layer that lower the busiest rank's work.

    ``places`` is the number of experts that a rank can hold, ``spare`` how many of
    them may be new to it in one change. The longer an expert takes to copy,
    ``copy_ms``, the more a copy must gain. ``slowness`` is how many times as long as
    usual each rank takes for a token, empty if none is slow.
    """
    search = _LayerPlanner(current, loads, places, spare, slowness)
    peaks = [search.peak()]
    moves = []
    while len(moves) < max_moves and (move := search.best_move()) is not None:
        search.apply(move)
        moves.append(move)
        peaks.append(search.peak())
    min_gain = _min_gain(copy_ms) * peaks[0]
    count = min(range(len(peaks)), key=lambda made: peaks[made] + min_gain * made)
    chosen = _LayerPlanner(current, loads, places, spare, slowness)
    for move in moves[:count]:
        chosen.apply(move)
    return EvenSharePlan(chosen.slots(), peaks[0], peaks[count])


def _min_gain(copy_ms: float) -> float:
    """Return the share of the peak that a copy must gain."""
    gain = GAIN_SHARE_PER_COPY_MS * copy_ms
    return min(max(gain, MIN_COPY_GAIN_SHARE), MAX_COPY_GAIN_SHARE)


class _LayerPlanner:
    """The placement of one layer during its change.

    The work of a rank is its tokens, times its slowness.
    """

    def __init__(
        self,
        current: Slots,
        loads: Sequence[float],
        places: int,
        spare: int,
        slowness: Sequence[float],
    ) -> None:
        self._loads = loads
        self._slowness = slowness or (1.0,) * len(current)
        self._places = places
        self._spare = spare
        self._old = [frozenset(experts) for experts in current]
        self._held = [set(experts) for experts in current]
        self._holders: list[set[int]] = [set() for _ in loads]
        for rank, experts in enumerate(current):
            for expert in experts:
                self._holders[expert].add(rank)
        self._work = [
            factor * sum(loads[e] / len(self._holders[e]) for e in experts)
            for experts, factor in zip(current, self._slowness, strict=True)
        ]

    def peak(self) -> float:
        """Return the busiest rank's work."""
        return max(self._work)

    def slots(self) -> Slots:
        """Return the sorted experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def best_move(self) -> _Move | None:
        """Return the move that relieves the busiest rank best.

        None if each would leave it, or make another rank, as busy.
        """
        order = sorted(range(len(self._work)), key=self._work.__getitem__)
        highest = {
            move: max(self._work_after(move).values()) for move in self._moves(order)
        }
        best = min(highest, key=highest.__getitem__, default=None)
        return best if best is not None and highest[best] < self.peak() else None

    def apply(self, move: _Move) -> None:
        """Change the placement."""
        expert, target, dropped, left = move
        for rank, work in self._work_after(move).items():
            self._work[rank] = work
        self._held[target].add(expert)
        self._holders[expert].add(target)
        if dropped is not None:
            self._held[target].discard(dropped)
            self._holders[dropped].discard(target)
        if left is not None:
            self._held[left].discard(expert)
            self._holders[expert].discard(left)

    def _moves(self, order: Sequence[int]) -> Iterator[_Move]:
        """Yield the moves of the busiest rank's experts to the least busy ranks."""
        busiest = order[-1]
        experts = sorted(self._held[busiest], key=self._tokens_order)
        for expert in experts[:CANDIDATE_EXPERTS]:
            takers = [rank for rank in order if self._can_take(rank, expert)]
            tokens = self._loads[expert] / len(self._holders[expert])
            takers.sort(key=lambda rank: self._work_with(rank, tokens))
            for target in takers[:TARGET_RANKS]:
                for dropped in self._replaceable_slots(target):
                    yield _Move(expert, target, dropped, None)
                    yield _Move(expert, target, dropped, busiest)

    def _work_with(self, rank: int, tokens: float) -> float:
        """Return the work of a rank that gets so many more tokens."""
        return self._work[rank] + tokens * self._slowness[rank]

    def _can_take(self, rank: int, expert: int) -> bool:
        if expert in self._held[rank]:
            return False
        new = len(self._held[rank] - self._old[rank])
        return expert in self._old[rank] or new < self._spare

    def _replaceable_slots(self, rank: int) -> list[int | None]:
        """Return what a copy may replace: a free place, or one of several replicas."""
        if len(self._held[rank]) < self._places:
            return [None]
        replicas = [e for e in sorted(self._held[rank]) if len(self._holders[e]) > 1]
        return sorted(replicas, key=self._taken_over)[:CANDIDATE_DROPS]

    def _tokens_order(self, expert: int) -> tuple[float, int]:
        return -self._loads[expert] / len(self._holders[expert]), expert

    def _taken_over(self, expert: int) -> float:
        """Return the tokens added to each other holder if one replica is dropped."""
        holders = len(self._holders[expert])
        return self._loads[expert] / holders / (holders - 1)

    def _work_after(self, move: _Move) -> dict[int, float]:
        """Return the work of each rank that a move changes."""
        return {
            rank: self._work[rank] + added * self._slowness[rank]
            for rank, added in self._tokens_added(move).items()
        }

    def _tokens_added(self, move: _Move) -> dict[int, float]:
        """Return how the tokens of each rank change by a move."""
        expert, target, dropped, left = move
        holders, load = self._holders[expert], self._loads[expert]
        share = load / len(holders)
        new_share = load / (len(holders) + (left is None))
        added = dict.fromkeys(holders, new_share - share)
        added[target] = new_share
        if left is not None:
            added[left] = -share
        if dropped is not None:
            holders, load = self._holders[dropped], self._loads[dropped]
            share = load / len(holders)
            taken_over = load / (len(holders) - 1) - share
            for rank in holders:
                added[rank] = added.get(rank, 0.0) + taken_over
            added[target] -= share + taken_over
        return added
