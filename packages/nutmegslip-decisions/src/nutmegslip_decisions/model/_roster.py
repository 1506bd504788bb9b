"""The list of hosts that the platform publishes, which may be stale."""

from enum import StrEnum
from typing import NamedTuple

from immutables import Map

#: The id of one run of a process: a new random 64-bit hex value at each start.
Incarnation = str


class Role(StrEnum):
    """The program that runs on a host."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class HostState(StrEnum):
    """The state of a host that the platform last published."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """One host of the published list.

    ``address`` is the ``ip:port`` on which the host's entry or sidecar listens for
    peers. ``workloads`` are the names of the workloads that its upstream serves;
    ``group`` and ``rank`` identify the upstream within a lock-step group.
    """

    name: str
    role: Role
    address: str
    zone: str
    region: str
    state: HostState = HostState.LIVE
    workloads: tuple[str, ...] = ()
    group: str | None = None
    rank: int | None = None


class Roster(NamedTuple):
    """The published list of hosts at one version."""

    version: int
    hosts: Map[str, Host] = Map()

    def sidecars_of(self, workload: str) -> tuple[Host, ...]:
        """Return the sidecars whose upstream serves a workload, sorted by name."""
        return tuple(
            sorted(
                host
                for host in self.hosts.values()
                if host.role is Role.SIDECAR and workload in host.workloads
            )
        )

    def entries(self) -> tuple[Host, ...]:
        """Return the entry hosts, sorted by name."""
        return tuple(sorted(h for h in self.hosts.values() if h.role is Role.ENTRY))
