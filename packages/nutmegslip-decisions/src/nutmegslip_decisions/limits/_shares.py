"""Spend an entry's share of a key's limits, and request more from the home."""

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
    """One entry's share of the limits of an account or a workload.

    ``fallback_bucket`` refills at the entry's equal part of the rate and is used
    while the home does not answer. ``waiting`` holds the requests that wait for
    a grant. ``spent`` counts the requests since the last request for a share.
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
        """Return whether a grant from the home is pending."""
        return self.grant_deadline_ms != NEVER_MS


def new_share(now_ms: Millis) -> Share:
    """Return the initial share of a key.

    The sequence starts at the current time, so that a share that is dropped and
    created again does not reuse a sequence that the home still knows.
    """
    return Share(Bucket(1.0, now_ms), sequence=now_ms)


def acquire(
    share: Share, limits: Limits, entries: int, now_ms: Millis
) -> tuple[Share, bool]:
    """Acquire a token and a slot for one request; return whether that succeeded."""
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
    """Return the share without one request in flight; restore an unused token."""
    in_flight = max(share.in_flight - 1, 0)
    if not unused:
        return share._replace(in_flight=in_flight)
    return share._replace(
        in_flight=in_flight, tokens=share.tokens + 1, spent=max(share.spent - 1, 0)
    )


def request_share(
    share: Share, key: str, options: LimitsOptions, now_ms: Millis
) -> tuple[Share, ShareRequested]:
    """Return a request for a new share; nothing is spent until the home answers."""
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
    """Return the share with a grant applied, and whether it was less than wanted."""
    short_of_tokens = limits.requests_per_second and granted.tokens < share.wanted
    # While a grant is pending, ``slots`` is the number declared in flight.
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
    """Return the share after the request to the home has timed out."""
    return share._replace(
        grant_deadline_ms=NEVER_MS,
        fallback_deadline_ms=now_ms + options.fallback_ms,
    )


def has_idle_slots(share: Share) -> bool:
    """Return whether the share holds slots although nothing is in flight."""
    return bool(share.slots) and not share.in_flight and not share.is_awaiting_grant


def release_slots(share: Share, key: str) -> tuple[Share, ShareReleased]:
    """Return the share without slots, and the message that releases them."""
    released = ShareReleased(key, share.sequence + 1)
    return share._replace(sequence=released.sequence, slots=0), released


def needs_renewal(
    share: Share, limits: Limits, options: LimitsOptions, now_ms: Millis
) -> bool:
    """Return whether requests in flight must be declared to the home again."""
    return (
        bool(limits.concurrent)
        and share.in_flight > 0
        and not share.is_awaiting_grant
        and share.slots_deadline_ms - now_ms <= options.share_valid_ms / 2
    )


def is_idle(share: Share, now_ms: Millis) -> bool:
    """Return whether the share holds nothing that can still be used."""
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
