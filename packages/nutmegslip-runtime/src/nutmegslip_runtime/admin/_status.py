"""Define the status of a process."""

from typing import Any, TypedDict

from nutmegslip_decisions.configuration import SyncState, may_take_work
from nutmegslip_decisions.model import MarkState, Millis


class ProcessStatus(TypedDict):
    """The status of an entry or a sidecar.

    ``details`` contains the values that are specific to the program.
    """

    host: str
    program: str
    zone: str
    region: str
    incarnation: str
    ready: bool
    catalogue_version: int
    hosts_version: int
    lease_held: bool
    lease_remaining_ms: int
    refused: list[str]
    zones_out: list[str]
    hosts_out: list[str]
    links: list[str]
    details: dict[str, Any]


def sync_status(
    state: SyncState, now_ms: Millis, links: tuple[str, ...]
) -> dict[str, Any]:
    """Return the status fields that come from configuration sync."""
    catalogue = state.catalogue_in_force
    lease_held = may_take_work(state, now_ms)
    return {
        "host": state.options.host,
        "zone": state.options.zone,
        "region": state.options.region,
        "catalogue_version": state.catalogue.version,
        "hosts_version": state.hosts.version,
        "lease_held": lease_held,
        "lease_remaining_ms": max(0, state.lease_until_ms - now_ms)
        if lease_held
        else 0,
        "refused": [
            str(error) for error in (*state.catalogue.errors, *state.hosts.errors)
        ],
        "zones_out": _names_marked_out(catalogue.zone_marks),
        "hosts_out": _names_marked_out(catalogue.host_marks),
        "links": list(links),
    }


def _names_marked_out(marks) -> list[str]:
    return sorted(name for name, mark in marks.items() if mark is MarkState.OUT)
