"""Track which hosts the published list has named within the memory period."""

from collections.abc import Iterable
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import NEVER_MS, Host, Millis, Roster


class Listing(NamedTuple):
    """The time that a host was on the list.

    ``first_ms`` is when it was first listed, ``since_ms`` the start of its current or
    last uninterrupted listing, ``until_ms`` when it was removed.
    """

    first_ms: Millis
    since_ms: Millis
    until_ms: Millis = NEVER_MS
    zone: str = ""


Listings = Map[str, Listing]


class Membership(NamedTuple):
    """The current and former entries, and sidecars of each workload.

    No change after ``complete_since_ms`` has been missed.
    """

    version: int = -1
    complete_since_ms: Millis = NEVER_MS
    sidecars: Map[str, Listings] = Map()
    entries: Listings = Map()

    def sidecars_of(self, workload: str) -> Listings:
        """Return the listings of the sidecars that serve a workload."""
        return self.sidecars.get(workload, Map())


def update_membership(
    members: Membership,
    roster: Roster,
    now_ms: Millis,
    memory_ms: Millis,
    contiguous: bool,
) -> Membership:
    """Apply one version of the list; an older one changes nothing.

    ``contiguous`` is false if versions between the last one and this one have been
    missed, so that hosts may have been added and removed unnoticed.
    """
    if roster.version <= members.version:
        return members
    is_continuous = members.version >= 0 and contiguous
    workloads = {w for host in roster.hosts.values() for w in host.workloads}
    return Membership(
        version=roster.version,
        complete_since_ms=members.complete_since_ms if is_continuous else now_ms,
        sidecars=Map(
            {
                name: _update_listings(
                    members.sidecars_of(name),
                    roster.sidecars_of(name),
                    now_ms,
                    memory_ms,
                )
                for name in workloads | set(members.sidecars)
            }
        ),
        entries=_update_listings(members.entries, roster.entries(), now_ms, memory_ms),
    )


def is_listed(listings: Listings, host: str) -> bool:
    """Return whether a host is on the newest list."""
    listing = listings.get(host)
    return listing is not None and listing.until_ms == NEVER_MS


def listed_throughout(
    listings: Listings, host: str, now_ms: Millis, memory_ms: Millis
) -> bool:
    """Return whether a host has been on every list of the memory period."""
    listing = listings.get(host)
    return (
        listing is not None
        and listing.until_ms == NEVER_MS
        and listing.since_ms + memory_ms <= now_ms
    )


def recently_listed(
    listings: Listings, now_ms: Millis, memory_ms: Millis
) -> frozenset[str]:
    """Return the hosts that any list of the memory period has named."""
    return frozenset(
        host
        for host, listing in listings.items()
        if listing.until_ms + memory_ms > now_ms
    )


def _update_listings(
    listings: Listings, present: Iterable[Host], now_ms: Millis, memory_ms: Millis
) -> Listings:
    zones = {host.name: host.zone for host in present}
    return Map(
        {
            host: listing
            for host in set(zones) | set(listings)
            if (listing := _update_listing(listings.get(host), zones.get(host), now_ms))
            and listing.until_ms + memory_ms > now_ms
        }
    )


def _update_listing(
    listing: Listing | None, zone: str | None, now_ms: Millis
) -> Listing | None:
    if listing is None:
        return None if zone is None else Listing(now_ms, now_ms, zone=zone)
    is_removed = listing.until_ms != NEVER_MS
    if zone is None:
        return listing if is_removed else listing._replace(until_ms=now_ms)
    if is_removed or zone != listing.zone:
        return Listing(listing.first_ms, now_ms, zone=zone)
    return listing
