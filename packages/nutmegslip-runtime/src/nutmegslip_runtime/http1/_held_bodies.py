"""Limit the memory that bodies take.

Answers the load pattern in which peers send bodies without end, in pieces of any size,
as fast as they are read, or keep them waiting: each byte received takes one byte of
memory. Holders that can be given up go first; then the longest bodies are given up
before all of them together take too much.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

MAX_HELD_BYTES = 33_554_432  # of all bodies of a process, beside its other memory
SMALL_BODY_BYTES = 1_048_576  # always read to the end
RESERVE_SHARE = 1 / 4  # on top, for short bodies while long ones take the rest

MakeRoom = Callable[["HeldBytes", int], None]


class HeldBodies:
    """The bodies that a process holds; ``refused`` counts those given up.

    ``make_room`` is asked to free so many bytes for a body that has grown.
    """

    def __init__(
        self,
        max_bytes: int = MAX_HELD_BYTES,
        small_bytes: int = SMALL_BODY_BYTES,
        make_room: MakeRoom | None = None,
    ) -> None:
        self._max_bytes = max_bytes
        self._make_room = make_room
        self.small_bytes = small_bytes
        self.held_bytes = 0
        self.refused = 0

    @property
    def is_full(self) -> bool:
        """Return whether the bodies take more than they may."""
        return self.held_bytes > self._max_bytes

    @property
    def is_exhausted(self) -> bool:
        """Return whether short bodies have used up the room that is kept for them."""
        return self.held_bytes > self._max_bytes * (1 + RESERVE_SHARE)

    @contextmanager
    def hold(self) -> Iterator["HeldBody"]:
        """Provide a body to read into; its bytes count until the block ends."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            body.resize(0)

    def change(self, body: "HeldBytes", by_bytes: int) -> None:
        """Count bytes that a body has gained or lost, and make room if needed."""
        self.held_bytes += by_bytes
        if by_bytes > 0 and self.is_full and self._make_room is not None:
            self._make_room(body, self.held_bytes - self._max_bytes)


class HeldBytes:
    """What one holder takes, wherever the bytes are."""

    def __init__(self, bodies: HeldBodies) -> None:
        self._bodies = bodies
        self._length = 0

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return self._length

    def resize(self, length: int) -> None:
        """Set the number of bytes."""
        gained, self._length = length - self._length, length
        self._bodies.change(self, gained)

    def is_over_share(self, small_bytes: int | None = None) -> bool:
        """Return whether to give this holder up, so that others can be served.

        The only long one is not: without it as much could be served.
        """
        if small_bytes is None:
            small_bytes = self._bodies.small_bytes
        is_only = self._bodies.held_bytes - self._length <= small_bytes
        over = self._bodies.is_full and self._length > small_bytes and not is_only
        self._bodies.refused += over
        return over


class HeldBody(HeldBytes):
    """One body in one buffer; a list of pieces takes far more than their bytes."""

    def __init__(self, bodies: HeldBodies) -> None:
        super().__init__(bodies)
        self._buffer = bytearray()

    def append(self, piece: bytes) -> None:
        """Add the next bytes."""
        self._buffer += piece
        self.resize(len(self._buffer))

    def content(self) -> bytearray:
        """Return all bytes, in the buffer that was read into."""
        return self._buffer
