"""Read the clock that goes on while the machine is suspended."""

import time

NS_PER_MS = 1_000_000


def boottime_ms() -> int:
    """Return milliseconds since the machine started, suspended time included.

    A deadline kept on it has passed when a machine wakes from a long sleep, where
    the monotonic clock would still hold it open.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS
