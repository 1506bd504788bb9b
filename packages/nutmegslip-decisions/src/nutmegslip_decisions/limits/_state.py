"""Hold what one entry knows of limits and of the requests it has."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.limits._home import HomeShare
from nutmegslip_decisions.limits._queue import FairQueue, Queued
from nutmegslip_decisions.limits._shares import Share
from nutmegslip_decisions.limits._types import LimitsOptions
from nutmegslip_decisions.model import Catalogue, Limits, Millis


class TrackedRequest(NamedTuple):
    """Hold one request from its arrival to its end.

    ``needs`` are the keys whose limits it has yet to pass, ``holds`` those it has
    passed. It waits for an upstream once it needs none.
    """

    workload: str
    queued: Queued
    pending_keys: tuple[str, ...]
    acquired_keys: tuple[str, ...] = ()
    acquired_at_ms: Millis = 0
    admitted: bool = False


class LimitsState(NamedTuple):
    """Hold the admission state of one entry.

    ``asking`` are the keys whose home owes an answer; ``waiting`` the requests
    that have not been admitted.
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
    """Return the limits of a key; a key that is not in force has no bound."""
    kind, _, name = key.partition(":")
    entries = catalogue.accounts if kind == "account" else catalogue.workloads
    entry = entries.get(name)
    return entry.limits if entry else Limits()


def bounded_keys(catalogue: Catalogue, account: str, workload: str) -> tuple[str, ...]:
    """Return the keys that bound a request, the account's first."""
    keys = (account_key(account), workload_key(workload))
    return tuple(key for key in keys if is_bounded(limits_of(catalogue, key)))


def is_bounded(limits: Limits) -> bool:
    """Return whether the limits bound anything that entries share."""
    return bool(limits.requests_per_second or limits.concurrent)
