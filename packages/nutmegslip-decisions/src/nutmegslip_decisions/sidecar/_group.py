"""Participate in the agreement on the expert map of a group of ranks."""

from itertools import chain

from nutmegslip_decisions.experts import agreement, placement
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Host, Millis
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.sidecar._events import GroupReported, SidecarEffect
from nutmegslip_decisions.sidecar._state import SidecarState

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]


def join(state: SidecarState, now_ms: Millis) -> Step:
    """Join the agreement once the published list assigns this host a rank."""
    host = state.host
    if state.group is not None or host is None or host.rank is None:
        return state, ()
    group = agreement.initial_state(
        rank=host.rank,
        size=len(_ranks(state, host)),
        incarnation=state.options.incarnation,
        options=agreement.AgreementOptions(),
        now_ms=now_ms,
    )
    state = state._replace(group=group)
    return state, (agreement.AttachEngine(group.member),)


def apply(state: SidecarState, event: agreement.Event) -> Step:
    """Apply an event to the agreement and return its effects for the shell."""
    if state.group is None:
        return state, ()
    group, effects = agreement.reduce(state.group, event)
    state = state._replace(group=group)
    outer = (_outer_effects(state, effect) for effect in effects)
    return state, tuple(chain.from_iterable(outer))


def peer_changed(state: SidecarState, name: str, up: bool, now_ms: Millis) -> Step:
    """Report to the agreement that the link to another rank went up or down."""
    rank = _rank_of(state, name)
    if rank is None:
        return state, ()
    change = agreement.PeerUp if up else agreement.PeerDown
    return apply(state, change(now_ms, rank))


def report(state: SidecarState, event: GroupReported) -> Step:
    """Propose a map if this sidecar leads and a new map justifies its moves."""
    group, options = state.group, state.options.placement
    if group is None or options is None or not _may_propose(group):
        return state, ()
    smoothed = placement.smooth(state.group_load, event.report, options)
    state = state._replace(group_load=smoothed)
    current = group.map_at(group.step + 1)
    if current is None:
        proposed = _first_placement(smoothed, options)
    else:
        before = group.maps[current.digest].placement
        proposed = placement.plan(before, smoothed, options).placement
        if proposed == before:
            return state, ()
    return apply(state, agreement.MapProposed(event.now_ms, proposed))


def _may_propose(group: agreement.State) -> bool:
    return (
        isinstance(group.leadership, agreement.Leading)
        and group.leadership.change is None
    )


def _first_placement(
    report: placement.LoadReport, options: placement.PlacementOptions
) -> placement.Placement:
    slots = options.slots_per_rank
    return tuple(
        placement.place_from_scratch(loads, report.speeds, slots)
        for loads in report.loads
    )


def _outer_effects(
    state: SidecarState, effect: agreement.Effect
) -> tuple[SidecarEffect, ...]:
    match effect:
        case agreement.Send(rank, message):
            name = _host_of(state, rank)
            return (Send(name, message),) if name else ()
        case agreement.GroupFormed(ballot):
            fields = (("ballot", ballot.number), ("coordinator", ballot.rank))
            return (LogEvent(LogEventKind.GROUP_FORMED, fields=fields),)
        case agreement.MapScheduled(version, digest, from_step):
            fields = (
                ("version", version),
                ("digest", digest),
                ("from_step", from_step),
            )
            return (LogEvent(LogEventKind.EXPERT_MAP_IN_FORCE, fields=fields),)
        case agreement.MapAbandoned(version, reason):
            fields = (("version", version), ("reason", str(reason)))
            return (LogEvent(LogEventKind.EXPERT_MAP_ABORTED, fields=fields),)
        case agreement.StepHeld() | agreement.GroupLeft():
            return ()
    return (effect,)


def _ranks(state: SidecarState, host: Host) -> tuple[Host, ...]:
    hosts = state.sync.roster.hosts.values()
    return tuple(other for other in hosts if other.group == host.group)


def _host_of(state: SidecarState, rank: int) -> str | None:
    own = state.host
    if own is None:
        return None
    found = (host.name for host in _ranks(state, own) if host.rank == rank)
    return next(found, None)


def _rank_of(state: SidecarState, name: str) -> int | None:
    own, other = state.host, state.sync.roster.hosts.get(name)
    if own is None or other is None or own.group is None or other.group != own.group:
        return None
    return other.rank
