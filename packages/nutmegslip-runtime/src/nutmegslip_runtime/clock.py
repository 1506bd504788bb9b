"""Read the boot-time clock, which includes time spent suspended."""

import time

NS_PER_MS = 1_000_000


def boottime_ms() -> int:
    """Return milliseconds since boot, including time spent suspended.

    A deadline on this clock can expire while the machine is suspended; on the
    monotonic clock it would still be open after the machine resumes.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS
