"""Hold the times and sizes of configuration sync."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration._changes import PAGE_MAX_BYTES


@dataclass(frozen=True, slots=True)
class Options:
    """Set what one process needs to know before it has heard anything.

    ``host``, ``zone`` and ``region`` are the process's own. ``seeds`` are hosts
    to poll while no list of hosts is known. ``incarnation_seed`` differs in each
    life of a process. All times are milliseconds.
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
    read_timeout_ms: int = 3_000  # beyond watch_wait_ms
    read_interval_ms: int = 250  # bounds the reads of a watcher under bursts
    stale_ms: int = 8_000  # nobody has heard the service: others read it too
    entry_fallback_ms: int = 2_000
    sidecar_fallback_ms: int = 20_000
    settle_ms: int = 20_000
    roster_retention_ms: int = 3_600_000
    watchers_per_zone: int = 3
    witnesses: int = 5
    poll_targets_per_sidecar: int = 2
    subscribers_max: int = 1_024
    page_max_bytes: int = PAGE_MAX_BYTES
