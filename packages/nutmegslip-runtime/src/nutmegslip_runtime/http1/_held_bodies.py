"""Limit the memory that bodies take while they are read.

Answers the load pattern in which one server sends bodies without end, in pieces of any
size, as fast as they are read: each byte received takes one byte of memory, and the
longest bodies are given up before all of them together take too much.
"""

from collections.abc import Iterator
from contextlib import contextmanager

MAX_HELD_BYTES = 33_554_432  # of all bodies of a process, beside its other memory
SMALL_BODY_BYTES = 1_048_576  # always read to the end


class HeldBodies:
    """The bodies that a process is reading; ``refused`` counts those given up."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0
        self.refused = 0

    @property
    def is_full(self) -> bool:
        """Return whether the bodies take more than they may."""
        return self.held_bytes > self._max_bytes

    @contextmanager
    def hold(self) -> Iterator["HeldBody"]:
        """Provide a body to read into; its bytes count until the block ends."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            self.held_bytes -= body.length


class HeldBody:
    """One body in one buffer; a list of pieces takes far more than their bytes."""

    def __init__(self, bodies: HeldBodies) -> None:
        self._bodies = bodies
        self._buffer = bytearray()

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return len(self._buffer)

    @property
    def is_over_share(self) -> bool:
        """Return whether to give this body up, so that others can be read."""
        over = self._bodies.is_full and self.length > SMALL_BODY_BYTES
        self._bodies.refused += over
        return over

    def append(self, piece: bytes) -> None:
        """Add the next bytes."""
        self._buffer += piece
        self._bodies.held_bytes += len(piece)

    def content(self) -> bytes:
        """Return all bytes."""
        return bytes(self._buffer)
