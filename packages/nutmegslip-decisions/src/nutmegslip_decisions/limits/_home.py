"""Grant shares of a key's limits at its home entry.

Entries enforce a common limit without a message for each request: one entry, the
home of the key, grants shares that are valid for a short time.
"""

import math
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.limits._bucket import Bucket, refill, token_wait_ms
from nutmegslip_decisions.limits._types import (
    LimitsOptions,
    ShareGranted,
    ShareReleased,
    ShareRequested,
)
from nutmegslip_decisions.model import Limits, Millis

SLOT_RETRY_MS = 250


class Holder(NamedTuple):
    """The slots of a concurrency limit that were last granted to one entry."""

    sequence: int
    slots: int
    deadline_ms: Millis


class HomeShare(NamedTuple):
    """The token bucket of a key and the entries that hold shares of it."""

    bucket: Bucket
    holders: Map[str, Holder] = Map()


def bucket_size(limits: Limits) -> int:
    """Return the bucket size: the burst of the limit, and at least one token."""
    return max(limits.burst, 1)


def grant(
    home: HomeShare | None,
    limits: Limits,
    options: LimitsOptions,
    sender: str,
    request: ShareRequested,
    now_ms: Millis,
) -> tuple[HomeShare, ShareGranted | None]:
    """Grant what is available; return no grant for an outdated request."""
    home = _current(home, limits, now_ms)
    previous = home.holders.get(sender)
    if previous is not None and request.sequence <= previous.sequence:
        return home, None
    # A token without a slot, or a slot without a token, could not be used.
    available = min(
        _available_tokens(home, limits, request),
        _available_slots(home, limits, sender, request),
    )
    additional = max(min(request.wanted, available), 0)
    tokens = additional if limits.requests_per_second else 0
    slots = request.in_hand + additional
    bucket = home.bucket._replace(tokens=home.bucket.tokens - tokens)
    holder = Holder(request.sequence, slots, now_ms + options.share_valid_ms)
    granted = ShareGranted(
        request.key,
        request.sequence,
        tokens,
        slots,
        options.share_valid_ms,
        _retry_after_ms(bucket, limits),
    )
    return HomeShare(bucket, home.holders.set(sender, holder)), granted


def free_slots(home: HomeShare, sender: str, released: ShareReleased) -> HomeShare:
    """Free the slots of an entry unless it has sent a newer request."""
    previous = home.holders.get(sender)
    if previous is None or released.sequence <= previous.sequence:
        return home
    # The sequence is kept so that a delayed request cannot acquire slots again.
    holder = previous._replace(sequence=released.sequence, slots=0)
    return home._replace(holders=home.holders.set(sender, holder))


def is_idle(home: HomeShare, limits: Limits, now_ms: Millis) -> bool:
    """Return whether dropping the key's state would not change later grants."""
    home = _current(home, limits, now_ms)
    return not home.holders and home.bucket.tokens >= bucket_size(limits)


def _current(home: HomeShare | None, limits: Limits, now_ms: Millis) -> HomeShare:
    if home is None:
        return HomeShare(Bucket(bucket_size(limits), now_ms))
    bucket = refill(
        home.bucket, limits.requests_per_second, bucket_size(limits), now_ms
    )
    expired = [
        name for name, holder in home.holders.items() if holder.deadline_ms <= now_ms
    ]
    holders = home.holders
    for name in expired:
        holders = holders.delete(name)
    return HomeShare(bucket, holders)


def _available_tokens(home: HomeShare, limits: Limits, request: ShareRequested) -> int:
    if not limits.requests_per_second:
        return request.wanted
    return math.floor(home.bucket.tokens)


def _available_slots(
    home: HomeShare, limits: Limits, sender: str, request: ShareRequested
) -> int:
    if not limits.concurrent:
        return request.wanted
    others = sum(
        holder.slots for name, holder in home.holders.items() if name != sender
    )
    return limits.concurrent - others - request.in_hand


def _retry_after_ms(bucket: Bucket, limits: Limits) -> int:
    if limits.requests_per_second and bucket.tokens < 1:
        return token_wait_ms(bucket, limits.requests_per_second)
    return SLOT_RETRY_MS
