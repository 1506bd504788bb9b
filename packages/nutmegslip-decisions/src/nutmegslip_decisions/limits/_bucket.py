"""Compute the refill of token buckets."""

import math
from typing import NamedTuple

from nutmegslip_decisions.model import Millis


class Bucket(NamedTuple):
    """The level of a token bucket at one point in time."""

    tokens: float
    filled_at_ms: Millis


def refill(bucket: Bucket, rate_per_s: float, burst: float, now_ms: Millis) -> Bucket:
    """Return the bucket at a later time; an earlier time has no effect."""
    elapsed_ms = max(now_ms - bucket.filled_at_ms, 0)
    tokens = min(bucket.tokens + elapsed_ms * rate_per_s / 1_000, burst)
    return Bucket(tokens, bucket.filled_at_ms + elapsed_ms)


def token_wait_ms(bucket: Bucket, rate_per_s: float) -> int:
    """Return the time until the bucket holds a whole token."""
    return max(math.ceil((1 - bucket.tokens) * 1_000 / rate_per_s), 0)
