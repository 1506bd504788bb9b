"""Run the sidecar: its links, upstream and reducer."""

from typing import Any

import gevent

from nutmegslip_decisions import gate, sidecar
from nutmegslip_decisions.experts import agreement
from nutmegslip_decisions.experts.placement import PlacementOptions
from nutmegslip_decisions.sidecar import (
    CancelAttempt,
    SidecarOptions,
    SidecarState,
    StartAttempt,
    StartOnce,
    UpstreamKind,
)
from nutmegslip_runtime.program import (
    ExitCode,
    Gauge,
    ProcessIdentity,
    Shell,
    ShellParts,
    new_identity,
    once_options,
    sync_options,
)
from nutmegslip_runtime.settings import (
    GroupSettings,
    SidecarSettings,
    UpstreamSettings,
)
from nutmegslip_sidecar._engine import Engine, EngineOptions
from nutmegslip_sidecar._rank import Rank
from nutmegslip_sidecar._service import Service

PROCESS_NAME = "nutmegslip-sidecar"
LOAD_POLL_INTERVAL_S = 0.25


class Program:
    """One incarnation of the sidecar."""

    def __init__(self, settings: SidecarSettings, first_start: bool) -> None:
        self._identity = new_identity(PROCESS_NAME, first_start)
        parts = ShellParts(
            state=sidecar.new_state(_options(settings, self._identity)),
            reduce=sidecar.reduce,
            perform=self._perform,
            is_ready=sidecar.is_ready,
            gauges=_gauges,
            details=_details,
        )
        self._shell = Shell(settings, self._identity, parts)
        self._upstream = self._make_upstream(settings.upstream)
        self._rank = self._make_rank(settings.upstream.group)

    def run(self) -> ExitCode:
        """Run until stopped; return the exit code."""
        if self._rank is not None:
            gevent.spawn(self._rank.poll_reports)
        if isinstance(self._upstream, Engine):
            started_ms = self._identity.started_ms
            gevent.spawn(self._upstream.poll_load, LOAD_POLL_INTERVAL_S, started_ms)
        code = self._shell.run()
        self._shell.close()
        return code

    def _make_upstream(self, upstream: UpstreamSettings) -> Engine | Service:
        dispatch = self._shell.machine.dispatch
        if upstream.kind == "engine":
            options = EngineOptions(upstream.address, upstream.connect_timeout_ms)
            return Engine(options, dispatch)
        return Service(upstream.address, upstream.connect_timeout_ms, dispatch)

    def _make_rank(self, group: GroupSettings | None) -> Rank | None:
        if group is None:
            return None
        return Rank(group, self._rank_number, self._shell.machine.dispatch)

    def _rank_number(self) -> int:
        group = self._shell.machine.state.group
        return group.rank if group else 0

    def _perform(self, effect: object) -> None:
        match effect:
            case StartAttempt():
                self._upstream.start(effect)
            case CancelAttempt(attempt_id):
                self._upstream.cancel(attempt_id)
            case StartOnce():
                self._upstream.start_once(effect)
            case _ if self._rank is not None:
                self._rank.perform(effect)


def _options(settings: SidecarSettings, identity: ProcessIdentity) -> SidecarOptions:
    return SidecarOptions(
        sync=sync_options(settings, identity),
        incarnation=identity.incarnation,
        started_ms=identity.started_ms,
        once=once_options(settings),
        first_start=identity.first_start,
        placement=_placement_options(settings.upstream.group),
        upstream=UpstreamKind(settings.upstream.kind),
    )


def _placement_options(group: GroupSettings | None) -> PlacementOptions | None:
    if group is None:
        return None
    return PlacementOptions(
        slots_per_rank=group.slots_per_rank,
        expert_bytes=group.expert_bytes,
        store_bytes_per_s=group.store_bytes_per_s,
    )


def _gauges(state: SidecarState) -> tuple[Gauge, ...]:
    gate_state, recorded = state.gate, len(state.once.records)
    running, waiting = len(gate_state.running), len(gate_state.waiting)
    return (
        Gauge("upstream_running", "Requests that the upstream has.", running),
        Gauge("upstream_waiting", "Attempts that wait for the upstream.", waiting),
        Gauge("upstream_limit", "Requests it takes at a time now.", gate_state.limit),
        Gauge("upstream_cold", "1 while the upstream is cold.", gate_state.cold),
        Gauge("upstream_takes_work", "0 while marked out.", gate_state.takes_work),
        Gauge("keys_recorded", "Idempotency keys on record.", recorded),
    )


def _details(state: SidecarState) -> dict[str, Any]:
    gate_state = state.gate
    return {
        "cold": gate_state.cold,
        "epoch": gate_state.epoch,
        "limit": gate_state.limit,
        "running": len(gate_state.running),
        "waiting": len(gate_state.waiting),
        "free": gate.free_slots(gate_state),
        "takes_work": gate_state.takes_work,
        "draining": gate_state.draining,
        "keys_recorded": len(state.once.records),
        **_group_details(state.group),
    }


def _group_details(group: agreement.State | None) -> dict[str, Any]:
    if group is None:
        return {}
    current = group.map_at(group.step)
    return {
        "rank": group.rank,
        "coordinator": group.coordinator,
        "step": group.step,
        "expert_map": current.version if current else None,
    }
