"""Measure how long one greenlet keeps all others from running.

All greenlets of a process share one thread. A turn that is long by the clock and short
in processor time shows that the process was suspended, not that it was busy.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

import greenlet
from gevent import get_hub

NANOS_PER_MS = 1_000_000


class Turn(NamedTuple):
    """The longest turn of a period; ``cpu_ms`` is of the whole period."""

    took_ms: int
    ran: str
    cpu_ms: int


class Watchdog:
    """The longest time without a switch between greenlets since it was last asked."""

    def __init__(self, clock_ns: Callable[[], int] = time.monotonic_ns) -> None:
        self._clock_ns = clock_ns
        self._hub = get_hub()
        self._since_ns = clock_ns()
        self._longest_ns = 0
        self._ran: object = None
        self._running: object = None
        self._cpu_ns = time.process_time_ns()

    def start(self) -> None:
        """Trace the switches between the greenlets of this thread."""
        self._since_ns = self._clock_ns()
        greenlet.settrace(self._on_switch)

    def stop(self) -> None:
        """Stop tracing."""
        greenlet.settrace(None)

    def longest_turn(self) -> Turn:
        """Return the longest turn since the last call, and begin a new period."""
        cpu_ns = time.process_time_ns()
        turn = Turn(
            self._longest_ns // NANOS_PER_MS,
            getattr(self._ran, "__qualname__", ""),
            (cpu_ns - self._cpu_ns) // NANOS_PER_MS,
        )
        self._longest_ns, self._ran, self._cpu_ns = 0, None, cpu_ns
        return turn

    def _on_switch(self, _event: str, switch: tuple[object, object]) -> None:
        now_ns = self._clock_ns()
        took_ns, self._since_ns = now_ns - self._since_ns, now_ns
        left, entered = switch
        # The time of the hub is that in which it waits for input.
        if took_ns > self._longest_ns and left is not self._hub:
            self._longest_ns, self._ran = took_ns, self._running
        # A greenlet that has ended no longer has its function.
        self._running = getattr(entered, "_run", None)
