"""Choose watchers, witnesses and poll targets by rendezvous hashing."""

from itertools import chain, zip_longest
from typing import NamedTuple

import xxhash

from nutmegslip_decisions.configuration._options import Options
from nutmegslip_decisions.model import (
    Host,
    HostState,
    Role,
    Roster,
    rendezvous_order,
)


class WitnessSet(NamedTuple):
    """The hosts of one region whose replies grant leases.

    ``digest`` identifies the members in messages.
    """

    members: tuple[str, ...] = ()
    digest: int = 0

    @property
    def majority(self) -> int:
        """Return the number of members in a majority."""
        return len(self.members) // 2 + 1

    @property
    def sync_quorum(self) -> int:
        """Return how many other members are needed to intersect every majority."""
        return len(self.members) - self.majority + 1


class Placement(NamedTuple):
    """The roles and poll targets of one process under one list of hosts."""

    witnesses: WitnessSet = WitnessSet()
    is_watcher: bool = True
    is_entry: bool = False
    poll_targets: tuple[str, ...] = ()
    fallback_targets: tuple[str, ...] = ()


def place(roster: Roster, options: Options) -> Placement:
    """Return the placement of this process under a list of hosts.

    The watchers of an availability zone are entries, or sidecars if the zone has
    no entry. Entries poll the watchers of their zone and the region's witnesses;
    sidecars poll entries. ``fallback_targets`` are polled as well while the lease
    is close to its end. A watcher also polls an entry of another region.
    """
    live = [host for host in roster.hosts.values() if host.state is HostState.LIVE]
    region = [host for host in live if host.region == options.region]
    own = roster.hosts.get(options.host)
    is_entry = own is not None and own.role is Role.ENTRY
    witnesses = choose_witnesses(region, options)
    watchers = _watchers(region, options)
    is_watcher = options.host in watchers or not watchers
    polled = (
        (*watchers, *witnesses.members)
        if is_entry
        else _entries_near(region, options)[: options.poll_targets_per_sidecar]
    )
    members = witnesses.members if options.host in witnesses.members else ()
    remote = _remote_entry(live, options) if is_watcher else ()
    poll_targets = _without_self((*polled, *members, *remote), options)
    fallback_targets = (*_entries_near(region, options)[:4], *witnesses.members)
    return Placement(
        witnesses,
        is_watcher,
        is_entry,
        poll_targets or _without_self(witnesses.members, options),
        _without_self(fallback_targets, options),
    )


def choose_witnesses(region: list[Host], options: Options) -> WitnessSet:
    """Choose an odd number of a region's hosts, spread across its zones."""
    count = min(options.witnesses, len(region))
    odd = count - 1 + count % 2
    zones = rendezvous_order(
        f"witness-zones/{options.region}", {host.zone for host in region}
    )
    ranked = [
        rendezvous_order(
            f"witness/{options.region}", [h.name for h in region if h.zone == zone]
        )[:odd]
        for zone in zones
    ]
    spread = [name for name in chain(*zip_longest(*ranked)) if name is not None]
    members = tuple(sorted(spread[:odd]))
    return WitnessSet(members, xxhash.xxh3_64_intdigest("\x00".join(members).encode()))


def _watchers(region: list[Host], options: Options) -> tuple[str, ...]:
    zone = [host for host in region if host.zone == options.zone]
    entries = [host.name for host in zone if host.role is Role.ENTRY]
    names = entries or [host.name for host in zone]
    order = rendezvous_order(f"watch/{options.zone}", names)
    return order[: options.watchers_per_zone]


def _entries_near(region: list[Host], options: Options) -> tuple[str, ...]:
    """Return the entries of this zone, then those of the region's other zones."""
    entries = [host for host in region if host.role is Role.ENTRY]
    near = [host.name for host in entries if host.zone == options.zone]
    far = [host.name for host in entries if host.zone != options.zone]
    key = f"sources/{options.host}"
    return rendezvous_order(key, near) + rendezvous_order(key, far)


def _remote_entry(live: list[Host], options: Options) -> tuple[str, ...]:
    remote = [
        host.name
        for host in live
        if host.role is Role.ENTRY and host.region != options.region
    ]
    return rendezvous_order(f"remote/{options.host}", remote)[:1]


def _without_self(names: tuple[str, ...], options: Options) -> tuple[str, ...]:
    return tuple(name for name in dict.fromkeys(names) if name != options.host)
