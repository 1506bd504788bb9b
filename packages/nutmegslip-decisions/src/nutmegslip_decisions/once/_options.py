"""Name the times that bound what is remembered and how long is waited."""

from typing import NamedTuple

from nutmegslip_decisions.model import Millis

RETENTION_MS = 600_000
MEMORY_MARGIN_MS = 60_000  # covers the longest request and the longest lease
STAGE_TIMEOUT_MS = 250  # one answer of a live peer, with room for a slow one
ATTEMPT_TIMEOUT_MS = 10_000  # longer than most calls of a plain service
REJECTED_RETRY_MS = 500  # lists catch up within a few seconds
CLAIM_WINDOW_MS = 15_000  # time for a planned restart of a process
MAX_LIST_LAG_MS = 10_000  # longest difference between two leased views of the list
MAX_WAITERS = 16


class OnceOptions(NamedTuple):
    """Set the times, all in milliseconds.

    ``retention_ms`` is how long after a start a repeated key is recognised.
    ``margin_ms`` must exceed the longest request deadline plus the longest lease.
    ``stage_ms`` bounds each stage of a gather. ``attempt_ms`` is how long an entry
    waits for one sidecar before it asks the next, and ``rejected_ms`` before it asks
    all again that have rejected a request. ``lag_ms`` bounds how far two
    processes with a valid lease can differ in their view of the host list.
    ``claim_ms`` is how long the memory of a stopped process can be claimed; a process
    that has claimed none waits so long before it acts. ``margin_ms`` must also
    exceed ``lag_ms`` and twice ``claim_ms`` together.
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
        """Return how long records, logs and lists are kept."""
        return self.retention_ms + self.margin_ms
