"""Sum how often experts were chosen recently, from the counts of sampled ranks.

Ranks count from their start, so only the difference of two reads is recent. The first
read of a rank, as after a change of the leader, is the base of the next one.
"""

from nutmegslip_decisions.direct import ExpertLayout, Upstream

PREVIOUS_SHARE = 0.3  # weight of earlier loads, to smooth out single requests

Loads = tuple[tuple[float, ...], ...]


class ExpertLoads:
    """The loads of one group's experts, by layer."""

    def __init__(self) -> None:
        self._counts: dict[str, tuple[int, tuple[float, ...]]] = {}
        self._loads: tuple[float, ...] | None = None

    def update(
        self, reads: list[tuple[Upstream, tuple[float, ...]]], layout: ExpertLayout
    ) -> Loads | None:
        """Take the counts of some ranks; return the loads, None if none are recent."""
        size = layout.layers * layout.experts
        differences = [
            difference
            for rank, counts in reads
            if len(counts) == size
            and (difference := self._difference(rank, counts)) is not None
        ]
        recent = [sum(column) for column in zip(*differences, strict=True)]
        if not any(recent):
            return None
        previous = self._loads or recent
        loads = self._loads = tuple(
            new + PREVIOUS_SHARE * old
            for new, old in zip(recent, previous, strict=True)
        )
        starts = range(0, size, layout.experts)
        return tuple(loads[start : start + layout.experts] for start in starts)

    def _difference(
        self, rank: Upstream, counts: tuple[float, ...]
    ) -> tuple[float, ...] | None:
        """Return what was counted since the last read, None for the first one."""
        last = self._counts.get(rank.id)
        self._counts[rank.id] = rank.born_ms, counts
        if last is None:
            return None
        born_ms, before = last
        if born_ms != rank.born_ms:
            return counts  # a restarted rank counts from zero
        return tuple(
            max(new - old, 0.0) for new, old in zip(counts, before, strict=True)
        )
