"""Define the options of configuration sync."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration._changes import PAGE_MAX_BYTES


@dataclass(frozen=True, slots=True)
class Options:
    """The identity of one process and the parameters of its configuration sync.

    ``host``, ``zone`` and ``region`` are those of this process. ``seeds`` are the
    hosts to poll while no list of hosts is known. ``incarnation_seed`` differs
    for each start of a process. All times are in milliseconds.
    """

    host: str
    zone: str
    region: str
    incarnation_seed: int
    seeds: tuple[str, ...] = ()
    lease_ms: int = 4_000
    poll_ms: int = 1_000
    subscription_ms: int = 3_000
    watch_wait_ms: int = 2_000
    read_timeout_ms: int = 3_000  # in addition to watch_wait_ms
    read_interval_ms: int = 250  # limits a watcher's reads during bursts of changes
    stale_ms: int = 8_000  # without an answer for this long, other processes read too
    entry_fallback_ms: int = 2_000
    sidecar_fallback_ms: int = 20_000
    settle_ms: int = 20_000
    roster_retention_ms: int = 3_600_000
    watchers_per_zone: int = 3
    witnesses: int = 5
    poll_targets_per_sidecar: int = 2
    subscribers_max: int = 1_024
    page_max_bytes: int = PAGE_MAX_BYTES
