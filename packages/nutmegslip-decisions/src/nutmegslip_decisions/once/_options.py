"""Define the retention, the timeouts and the limits of at-most-once execution."""

from typing import NamedTuple

from nutmegslip_decisions.model import Millis

RETENTION_MS = 600_000
MEMORY_MARGIN_MS = 60_000  # covers the longest request and the longest lease
STAGE_TIMEOUT_MS = 250  # long enough for the reply of a slow peer
ATTEMPT_TIMEOUT_MS = 10_000  # longer than most calls of a plain service
REJECTED_RETRY_MS = 500  # host lists converge within a few seconds
CLAIM_WINDOW_MS = 15_000  # long enough for a planned restart of a process
MAX_LIST_LAG_MS = 10_000  # longest lag between two leased views of the host list
MAX_WAITERS = 16


class OnceOptions(NamedTuple):
    """Retention and timeouts in milliseconds, and limits.

    ``retention_ms`` is how long after a start a repeated key is recognised.
    ``margin_ms`` must exceed the longest request deadline plus the longest lease, and
    also ``lag_ms`` plus twice ``claim_ms``. ``stage_timeout_ms`` bounds each stage of
    a gather. ``attempt_timeout_ms`` is how long an entry waits for one sidecar before
    it tries the next, ``rejected_retry_ms`` how long it waits before it retries all
    sidecars that have rejected a request. ``lag_ms`` bounds how far two processes
    with a valid lease can differ in their view of the host list. ``claim_ms`` is how
    long the memory of a stopped process can be claimed; a process that has claimed
    none waits that long before it becomes active.
    """

    retention_ms: Millis = RETENTION_MS
    margin_ms: Millis = MEMORY_MARGIN_MS
    stage_timeout_ms: Millis = STAGE_TIMEOUT_MS
    attempt_timeout_ms: Millis = ATTEMPT_TIMEOUT_MS
    rejected_retry_ms: Millis = REJECTED_RETRY_MS
    claim_ms: Millis = CLAIM_WINDOW_MS
    lag_ms: Millis = MAX_LIST_LAG_MS
    max_waiters: int = MAX_WAITERS

    @property
    def memory_ms(self) -> Millis:
        """Return how long records, logs and host lists are kept."""
        return self.retention_ms + self.margin_ms
