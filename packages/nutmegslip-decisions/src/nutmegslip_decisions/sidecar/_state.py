"""State and options of a sidecar."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions import configuration, gate, once
from nutmegslip_decisions.configuration import SyncState
from nutmegslip_decisions.experts import agreement
from nutmegslip_decisions.experts.placement import LoadReport, PlacementOptions
from nutmegslip_decisions.gate import GateState
from nutmegslip_decisions.model import Host, Millis, Workload
from nutmegslip_decisions.once import OnceOptions
from nutmegslip_decisions.work import Submit


class UpstreamKind(StrEnum):
    """The kind of upstream that a sidecar serves."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class SidecarOptions:
    """The options of one incarnation of a sidecar.

    A load report goes to an entry every ``report_interval_ms``, or after
    ``min_report_interval_ms`` if the load has changed. ``first_start`` states that
    no process of the site has run before. ``placement`` is only set for a rank of a
    lock-step group.
    """

    sync: configuration.Options
    incarnation: str
    started_ms: Millis
    upstream: UpstreamKind
    once: OnceOptions = field(default_factory=OnceOptions)
    first_start: bool = False
    placement: PlacementOptions | None = None
    report_interval_ms: int = 1_000
    min_report_interval_ms: int = 100


class Attempt(NamedTuple):
    """One attempt that an entry submitted."""

    entry: str
    submit: Submit


class SentReport(NamedTuple):
    """The last load report to an entry, and when the next ones are due."""

    load: tuple[int, int, bool, int, bool]
    changed_due_ms: Millis
    due_ms: Millis


class SidecarState(NamedTuple):
    """The state that a sidecar's decisions depend on.

    ``closed`` maps attempts that were refused or have ended to their deadlines, so
    that a late duplicate is not started. ``records_handed_over`` is true once the
    at-most-once records were handed over at a stop.
    """

    options: SidecarOptions
    sync: SyncState
    gate: GateState
    once: once.SidecarState
    attempts: Map[str, Attempt] = Map()
    links: frozenset[str] = frozenset()
    reports: Map[str, SentReport] = Map()
    closed: Map[str, Millis] = Map()
    next_sweep_ms: Millis = 0
    group: agreement.State | None = None
    group_load: LoadReport | None = None
    records_handed_over: bool = False
    handover_deadline_ms: Millis | None = None
    stopped: bool = False

    @property
    def host(self) -> Host | None:
        """Return this host as published, None if it is not listed."""
        return self.sync.roster.hosts.get(self.options.sync.host)

    def served(self) -> tuple[Workload, ...]:
        """Return the workloads of the catalogue that this upstream serves."""
        workloads = self.sync.catalogue_in_force.workloads
        names = self.host.workloads if self.host else ()
        return tuple(workloads[name] for name in names if name in workloads)


def new_state(options: SidecarOptions) -> SidecarState:
    """Return the initial state of a sidecar."""
    return SidecarState(
        options=options,
        sync=configuration.new_state(options.sync),
        # Dispatch nothing before the upstream is published with its limits.
        gate=gate.new_gate(0, 0)._replace(takes_work=False),
        once=once.new_sidecar(
            options.sync.host,
            options.incarnation,
            options.started_ms,
            options.once,
            first_start=options.first_start,
        ),
    )


def is_ready(state: SidecarState, now_ms: Millis) -> bool:
    """Return whether the sidecar can accept work for its upstream now."""
    leased = configuration.may_take_work(state.sync, now_ms)
    return leased and bool(state.served()) and not state.gate.draining
