"""Follow how often experts are chosen, from the counts of a few ranks.

Answers the load pattern in which other experts become popular each few seconds: where
a new map is copied in a fraction of that time, counts are read as often as a map can
be changed, and counts from before a clear shift say nothing of the loads after it.
"""

from collections.abc import Sequence

from nutmegslip_decisions.direct._types import ExpertLayout
from nutmegslip_decisions.experts.placement import is_copied_fast
from nutmegslip_decisions.model import Millis

SLOW_INTERVAL_MS = 1_500  # expert load shifts last several seconds
FAST_INTERVAL_MS = 500  # each read holds up the passes for some ms
PREVIOUS_LOADS_SHARE = 0.3  # weight of earlier loads, to smooth out single requests
SHIFT_SHARE = 0.1  # of the choices that moved; single requests move less
MIN_SHIFT_CHOICES = 4_000  # of a layer; fewer differ by more without a shift

Layers = tuple[tuple[float, ...], ...]


def counts_interval_ms(layout: ExpertLayout, *, is_near_bound: bool) -> Millis:
    """Return how often counts are to be read.

    ``is_near_bound`` is whether the group's event gaps come near their bound; while
    they do not, no caller gains by a map that follows each shift.
    """
    is_fast = is_near_bound and _is_fast(layout)
    return FAST_INTERVAL_MS if is_fast else SLOW_INTERVAL_MS


def next_loads(
    layout: ExpertLayout, previous: Layers | None, recent: Sequence[float]
) -> Layers:
    """Return each layer's loads after counts of the latest interval.

    ``recent`` holds the counts layer by layer.
    """
    layers = tuple(
        tuple(recent[start : start + layout.experts])
        for start in range(0, len(recent), layout.experts)
    )
    if not _is_fast(layout):
        return _smooth(previous, layers)
    few = min(map(sum, layers)) < MIN_SHIFT_CHOICES
    # An interval in which a sampled rank reads a prompt has many times the counts.
    layers = tuple(_shares(layer) for layer in layers)
    if previous is None:
        return layers
    if not few and _moved_share(previous, layers) > SHIFT_SHARE:
        return layers
    return _smooth(previous, layers)


def _is_fast(layout: ExpertLayout) -> bool:
    return is_copied_fast(layout.layers, layout.spare, layout.copy_ms)


def _smooth(previous: Layers | None, layers: Layers) -> Layers:
    if previous is None:
        return layers
    return tuple(
        tuple(new + PREVIOUS_LOADS_SHARE * old for old, new in zip(*layer, strict=True))
        for layer in zip(previous, layers, strict=True)
    )


def _shares(layer: Sequence[float]) -> tuple[float, ...]:
    total = sum(layer)
    return tuple(load / total for load in layer) if total else tuple(layer)


def _moved_share(previous: Layers, layers: Layers) -> float:
    """Return which share of the choices went to other experts, over all layers."""
    moved = sum(
        abs(new - old)
        for before, after in zip(previous, layers, strict=True)
        for old, new in zip(_shares(before), after, strict=True)
    )
    return moved / (2 * len(layers))
