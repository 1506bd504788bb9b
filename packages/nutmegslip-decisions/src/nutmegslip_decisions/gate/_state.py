"""Hold what the gate knows about its upstream."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis


class Running(NamedTuple):
    """Describe an attempt that the upstream was given."""

    acknowledged: bool


class Waiting(NamedTuple):
    """Describe an attempt that waits for an acknowledgement of another."""

    order: int
    priority: int
    deadline_ms: Millis


class GateState(NamedTuple):
    """Hold the gate of one upstream.

    A gate starts cold: the process may have restarted beside a cold upstream.
    ``inherited`` counts requests that an earlier life of this process left running
    at the upstream, as its first report told; None before that report.
    """

    cold_limit: int
    warm_limit: int
    cold: bool = True
    epoch: int = -1
    inherited: int | None = None
    takes_work: bool = True
    draining: bool = False
    drained: bool = False
    running: Map[str, Running] = Map()
    waiting: Map[str, Waiting] = Map()
    unacknowledged: int = 0
    arrivals: int = 0

    @property
    def limit(self) -> int:
        """Return how many requests the upstream may have at a time now."""
        return self.cold_limit if self.cold else self.warm_limit


def new_gate(cold_limit: int, warm_limit: int) -> GateState:
    """Return the gate of an upstream of which nothing is known."""
    return GateState(cold_limit, warm_limit)
