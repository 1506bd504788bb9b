"""Define the admission state of one entry, and look up limits by key."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.limits._home import HomeShare
from nutmegslip_decisions.limits._queue import FairQueue, Queued
from nutmegslip_decisions.limits._shares import Share
from nutmegslip_decisions.limits._types import LimitsOptions
from nutmegslip_decisions.model import Catalogue, Limits, Millis


class TrackedRequest(NamedTuple):
    """One request from its arrival to its end.

    ``pending_keys`` are the keys whose limits it has yet to pass,
    ``acquired_keys`` those it has passed. It is queued for an upstream once no
    key is pending.
    """

    workload: str
    queued: Queued
    pending_keys: tuple[str, ...]
    acquired_keys: tuple[str, ...] = ()
    acquired_at_ms: Millis = 0
    admitted: bool = False


class LimitsState(NamedTuple):
    """The admission state of one entry.

    ``awaiting_grant`` holds the keys whose home has not answered yet, ``waiting``
    the requests that have not been admitted. ``shares`` are this entry's shares;
    ``homes`` are the grants of the keys whose home is this entry.
    """

    own_host: str
    options: LimitsOptions = LimitsOptions()
    catalogue: Catalogue = Catalogue(0)
    entries: tuple[str, ...] = ()
    requests: Map[str, TrackedRequest] = Map()
    shares: Map[str, Share] = Map()
    homes: Map[str, HomeShare] = Map()
    queues: Map[str, FairQueue] = Map()
    awaiting_grant: Map[str, None] = Map()
    waiting: Map[str, None] = Map()
    sweep_at_ms: Millis = 0


def account_key(account: str) -> str:
    """Return the key under which an account's limits are shared."""
    return f"account:{account}"


def workload_key(workload: str) -> str:
    """Return the key under which a workload's limits are shared."""
    return f"workload:{workload}"


def limits_of(catalogue: Catalogue, key: str) -> Limits:
    """Return the limits of a key; a key not in the catalogue is unlimited."""
    kind, _, name = key.partition(":")
    entries = catalogue.accounts if kind == "account" else catalogue.workloads
    entry = entries.get(name)
    return entry.limits if entry else Limits()


def bounded_keys(catalogue: Catalogue, account: str, workload: str) -> tuple[str, ...]:
    """Return the keys whose limits apply to a request, the account's first."""
    keys = (account_key(account), workload_key(workload))
    return tuple(key for key in keys if is_bounded(limits_of(catalogue, key)))


def is_bounded(limits: Limits) -> bool:
    """Return whether the limits bound a rate or a concurrency."""
    return bool(limits.requests_per_second or limits.concurrent)
