"""Read the monotonic clock and generate incarnation names."""

import secrets
import time

NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def new_incarnation() -> str:
    """Return a name that no other incarnation of a process has."""
    return secrets.token_hex(8)
