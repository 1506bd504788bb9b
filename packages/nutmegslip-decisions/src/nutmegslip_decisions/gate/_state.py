"""State of the gate."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis


class Running(NamedTuple):
    """An attempt that was dispatched to the upstream."""

    acknowledged: bool


class Waiting(NamedTuple):
    """An attempt that is queued until another is acknowledged."""

    order: int
    priority: int
    deadline_ms: Millis


class GateState(NamedTuple):
    """The state of the gate of one upstream.

    A gate starts cold because the upstream may be cold when the process restarts.
    ``inherited`` is the number of requests that a previous incarnation of this
    process left running at the upstream. The first report sets it and later reports
    only lower it; None before the first report.
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
        """Return how many requests the upstream may run concurrently now."""
        return self.cold_limit if self.cold else self.warm_limit


def new_gate(cold_limit: int, warm_limit: int) -> GateState:
    """Return the gate of an upstream that has not reported yet."""
    return GateState(cold_limit, warm_limit)
