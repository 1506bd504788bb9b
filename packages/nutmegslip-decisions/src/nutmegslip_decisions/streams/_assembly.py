"""Assemble numbered pieces that may arrive late, duplicated or out of order."""

from itertools import count, takewhile
from typing import NamedTuple

from immutables import Map

MAX_BUFFERED_PIECES = 10_000  # pieces received before an earlier one


class Assembly(NamedTuple):
    """The delivered pieces of one answer, and those received out of order.

    ``next_number`` is the number of pieces delivered; ``total`` is None until the
    length of the answer is known.
    """

    next_number: int = 0
    buffered: Map[int, bytes] = Map()
    total: int | None = None


def add_pieces(
    assembly: Assembly, first: int, pieces: tuple[bytes, ...]
) -> tuple[Assembly, tuple[bytes, ...]]:
    """Add pieces numbered from ``first``; return those that are now in order.

    Pieces are dropped while ``MAX_BUFFERED_PIECES`` are buffered.
    """
    if first == assembly.next_number and not assembly.buffered:
        return assembly._replace(next_number=first + len(pieces)), pieces
    buffered = assembly.buffered
    for number, piece in enumerate(pieces, first):
        if number >= assembly.next_number and len(buffered) < MAX_BUFFERED_PIECES:
            buffered = buffered.set(number, piece)
    ready = list(takewhile(buffered.__contains__, count(assembly.next_number)))
    released = tuple(buffered[number] for number in ready)
    for number in ready:
        buffered = buffered.delete(number)
    next_number = assembly.next_number + len(ready)
    return assembly._replace(next_number=next_number, buffered=buffered), released


def set_total(assembly: Assembly, total: int) -> Assembly:
    """Set the number of pieces of the whole answer."""
    return assembly._replace(total=total)


def is_complete(assembly: Assembly) -> bool:
    """Return whether every piece of the answer was delivered."""
    return assembly.total is not None and assembly.next_number >= assembly.total
