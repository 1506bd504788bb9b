"""Keep what the connections of all callers take within what the host allows."""

from collections.abc import Callable, Iterator
from typing import Protocol

from nutmegslip_decisions.direct import (
    CallerLimit,
    CallerLimits,
    Holding,
    connection_to_close,
    holdings_to_refuse,
)
from nutmegslip_runtime.http1 import HeldBodies, HeldBytes

SMALL_ANSWER_SHARE = 1 / 32  # of all bodies, as many come at once
MAX_SMALL_ANSWER_BYTES = 1_048_576


class Refusable(Protocol):
    """A caller's connection, as seen by the limits of all of them."""

    held: HeldBytes
    progressed_ms: int

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""

    def give_up(self) -> None:
        """Refuse the request that is being read, or end the answer being sent."""

    def disconnect(self) -> None:
        """Close the connection now, with a refusal if a request is being read."""


class CallerConnections:
    """The open connections of callers, and the bytes held for them.

    ``on_refused`` is told for which limit a connection is ended.
    """

    def __init__(
        self,
        limits: CallerLimits,
        clock: Callable[[], int],
        on_refused: Callable[[CallerLimit], None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._on_refused = on_refused
        self._open: dict[int, Refusable] = {}
        self._refusable: dict[int, Refusable] = {}
        small_bytes = int(limits.held_bytes * SMALL_ANSWER_SHARE)
        self.bodies = HeldBodies(
            limits.held_bytes,
            min(small_bytes, MAX_SMALL_ANSWER_BYTES),
            self._make_room,
        )

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Refusable]:
        return iter(tuple(self._open.values()))

    def add(self, connection: Refusable) -> None:
        """Add a new connection; end another one if there are too many."""
        if len(self._open) >= self._limits.connections:
            self._replace_one(connection)
        self._open[id(connection)] = connection

    def discard(self, connection: Refusable) -> None:
        """Remove a closed connection."""
        self._open.pop(id(connection), None)
        self._refusable.pop(id(connection), None)
        connection.held.resize(0)

    def allow_refusal(self, connection: Refusable, allowed: bool) -> None:
        """Set whether what a connection holds can be given up at any time."""
        if allowed:
            self._refusable[id(connection)] = connection
        else:
            self._refusable.pop(id(connection), None)

    def report(self, limit: CallerLimit) -> None:
        """Report that a connection has ended itself for a limit."""
        self._on_refused(limit)

    def _replace_one(self, new: Refusable) -> None:
        idle = (_holding(c) for c in self._open.values() if not c.is_busy)
        chosen = connection_to_close(idle, map(_holding, self._refusable.values()))
        self._on_refused(CallerLimit.CONNECTIONS)
        replaced = new if chosen is None else self._open.pop(chosen.key)
        self._refusable.pop(id(replaced), None)
        replaced.disconnect()

    def _make_room(self, grown: HeldBytes, excess_bytes: int) -> None:
        holdings = [
            _holding(connection)
            for connection in self._refusable.values()
            if connection.held is not grown
        ]
        for holding in holdings_to_refuse(holdings, excess_bytes, self._clock()):
            connection = self._refusable.pop(holding.key)
            connection.give_up()
            self._on_refused(CallerLimit.MEMORY)


def _holding(connection: Refusable) -> Holding:
    return Holding(id(connection), connection.held.length, connection.progressed_ms)
