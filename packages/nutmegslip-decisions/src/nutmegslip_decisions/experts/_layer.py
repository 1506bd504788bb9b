"""The placement of one layer's experts on ranks."""

from typing import NamedTuple

SHARE_UNIT = 1000  # shares are integers, so that every rank reads the same values


class LayerMap(NamedTuple):
    """The experts that each rank holds, and the share of their tokens it processes.

    ``slots[rank]`` lists experts, ``shares[rank]`` their shares in the same order, in
    units of 1 / ``SHARE_UNIT``. The shares of one expert over all ranks add up to
    ``SHARE_UNIT``.
    """

    slots: tuple[tuple[int, ...], ...]
    shares: tuple[tuple[int, ...], ...]


#: One map per layer of the model.
Placement = tuple[LayerMap, ...]
