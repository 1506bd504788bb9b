"""Spend an entry's share of a key's limits, and ask the home for more."""

import math
from typing import NamedTuple

from nutmegslip_decisions.limits._bucket import Bucket, refill, token_wait_ms
from nutmegslip_decisions.limits._home import SLOT_RETRY_MS, bucket_size
from nutmegslip_decisions.limits._types import (
    LimitsOptions,
    ShareGranted,
    ShareReleased,
    ShareRequested,
)
from nutmegslip_decisions.model import NEVER_MS, Limits, Millis


class Share(NamedTuple):
    """Hold one entry's share of the limits of an account or a workload.

    ``spare`` is a bucket at the entry's even part of the rate, used while the
    home does not answer. ``waiting`` are requests held until it does.
    """

    fallback_bucket: Bucket
    tokens: int = 0
    tokens_deadline_ms: Millis = 0
    slots: int = 0
    slots_deadline_ms: Millis = 0
    in_flight: int = 0
    spent: int = 0
    sequence: int = 0
    wanted: int = 0
    requested_at_ms: Millis = 0
    grant_deadline_ms: Millis = NEVER_MS
    fallback_deadline_ms: Millis = 0
    retry_after_ms: int = SLOT_RETRY_MS
    waiting: tuple[str, ...] = ()

    @property
    def is_awaiting_grant(self) -> bool:
        """Return whether an answer of the home is awaited."""
        return self.grant_deadline_ms != NEVER_MS


def new_share(now_ms: Millis) -> Share:
    """Return the share of a key that has not been used yet.

    Sequences start from the time, so that a share which was forgotten and is
    made again does not repeat one that the home still knows.
    """
    return Share(Bucket(1.0, now_ms), sequence=now_ms)


def acquire(
    share: Share, limits: Limits, entries: int, now_ms: Millis
) -> tuple[Share, bool]:
    """Take one request out of the share; return whether it allowed that."""
    if now_ms < share.fallback_deadline_ms:
        return _acquire_fallback(share, limits, entries, now_ms)
    has_token = share.tokens > 0 and now_ms < share.tokens_deadline_ms
    has_slot = share.in_flight < share.slots and now_ms < share.slots_deadline_ms
    if limits.requests_per_second and not has_token:
        return share, False
    if limits.concurrent and not has_slot:
        return share, False
    tokens = share.tokens - 1 if limits.requests_per_second else 0
    acquired = share._replace(
        tokens=tokens, in_flight=share.in_flight + 1, spent=share.spent + 1
    )
    return acquired, True


def release_request(share: Share, *, unused: bool) -> Share:
    """Return the share with one request less in hand, and its token if unused."""
    in_flight = max(share.in_flight - 1, 0)
    if not unused:
        return share._replace(in_flight=in_flight)
    return share._replace(
        in_flight=in_flight, tokens=share.tokens + 1, spent=max(share.spent - 1, 0)
    )


def request_share(
    share: Share, key: str, options: LimitsOptions, now_ms: Millis
) -> tuple[Share, ShareRequested]:
    """Return the request for a new share; until its answer none is spent."""
    elapsed_ms = max(now_ms - share.requested_at_ms, options.share_prefetch_ms, 1)
    prefetched = math.floor(share.spent * options.share_prefetch_ms / elapsed_ms)
    wanted = len(share.waiting) + (prefetched if share.waiting else 0)
    request = ShareRequested(key, share.sequence + 1, wanted, share.in_flight)
    updated = share._replace(
        sequence=request.sequence,
        wanted=wanted,
        tokens=share.tokens if not wanted else 0,
        slots=share.in_flight,
        spent=0,
        requested_at_ms=now_ms,
        grant_deadline_ms=now_ms + options.home_timeout_ms,
    )
    return updated, request


def apply_grant(
    share: Share, granted: ShareGranted, limits: Limits
) -> tuple[Share, bool]:
    """Return the share after the home's answer, and whether it was cut short."""
    short_of_tokens = limits.requests_per_second and granted.tokens < share.wanted
    # While the answer is awaited, the slots are what was declared in hand.
    short_of_slots = limits.concurrent and granted.slots < share.slots + share.wanted
    deadline_ms = share.requested_at_ms + granted.valid_ms
    share = share._replace(
        slots=granted.slots,
        slots_deadline_ms=deadline_ms,
        grant_deadline_ms=NEVER_MS,
        fallback_deadline_ms=0,
        retry_after_ms=granted.retry_after_ms,
    )
    if granted.tokens:
        share = share._replace(tokens=granted.tokens, tokens_deadline_ms=deadline_ms)
    return share, bool(short_of_tokens or short_of_slots)


def enter_fallback(share: Share, options: LimitsOptions, now_ms: Millis) -> Share:
    """Return the share after the home gave no answer in time."""
    return share._replace(
        grant_deadline_ms=NEVER_MS,
        fallback_deadline_ms=now_ms + options.fallback_ms,
    )


def has_idle_slots(share: Share) -> bool:
    """Return whether the share keeps slots from others without need."""
    return bool(share.slots) and not share.in_flight and not share.is_awaiting_grant


def release_slots(share: Share, key: str) -> tuple[Share, ShareReleased]:
    """Return the share without slots, and what tells the home so."""
    released = ShareReleased(key, share.sequence + 1)
    return share._replace(sequence=released.sequence, slots=0), released


def needs_renewal(
    share: Share, limits: Limits, options: LimitsOptions, now_ms: Millis
) -> bool:
    """Return whether requests in hand must be declared to the home again."""
    return (
        bool(limits.concurrent)
        and share.in_flight > 0
        and not share.is_awaiting_grant
        and share.slots_deadline_ms - now_ms <= options.share_valid_ms / 2
    )


def is_idle(share: Share, now_ms: Millis) -> bool:
    """Return whether the share holds nothing that is still of use."""
    last_ms = max(
        share.tokens_deadline_ms,
        share.slots_deadline_ms,
        share.fallback_deadline_ms,
    )
    return not share.in_flight and not share.is_awaiting_grant and last_ms <= now_ms


def _acquire_fallback(
    share: Share, limits: Limits, entries: int, now_ms: Millis
) -> tuple[Share, bool]:
    rate = limits.requests_per_second / entries
    bucket = refill(
        share.fallback_bucket, rate, max(bucket_size(limits) / entries, 1), now_ms
    )
    share = share._replace(fallback_bucket=bucket)
    if limits.concurrent and share.in_flight >= max(limits.concurrent // entries, 1):
        return share._replace(retry_after_ms=SLOT_RETRY_MS), False
    if limits.requests_per_second and bucket.tokens < 1:
        return share._replace(retry_after_ms=token_wait_ms(bucket, rate)), False
    remaining = bucket._replace(tokens=max(bucket.tokens - 1, 0))
    return share._replace(
        fallback_bucket=remaining, in_flight=share.in_flight + 1
    ), True
