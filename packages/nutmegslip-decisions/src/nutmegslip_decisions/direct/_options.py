"""Set what an entry that sends directly may do; every bound is per fleet."""

from typing import NamedTuple


class Options(NamedTuple):
    """Hold the bounds of a deployment and the tunables of an entry.

    ``entries`` is the least count of entries that share the bounds;
    ``budget_*`` bound repeats at a service, ``cold_*`` requests at a cold upstream.
    """

    name: str
    entries: int = 1
    budget_ratio: float = 0.1
    budget_window_ms: int = 10_000
    budget_slack: float = 0.0
    cold_multiplier: float = 1.0
    cold_slack: float = 0.0
    rejoin_ms: int = 2_000
