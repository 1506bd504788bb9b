"""Apply the events of a process to configuration sync and report changes."""

from typing import NamedTuple

from nutmegslip_decisions import configuration
from nutmegslip_decisions.configuration import SyncState
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Roster
from nutmegslip_decisions.process import _events as process


class SyncStep(NamedTuple):
    """The result of one event for configuration sync.

    ``effects`` are for the shell. ``catalogue_changed`` and ``roster_changed`` are
    true if a new version came into force.
    """

    sync: SyncState
    effects: tuple[process.Send | process.ReadService | LogEvent, ...] = ()
    catalogue_changed: bool = False
    roster_changed: bool = False


def reduce_sync(sync: SyncState, event: object) -> SyncStep:
    """Apply an event to configuration sync, if it is one that sync handles."""
    sync_event = _sync_event(event)
    if sync_event is None:
        return SyncStep(sync)
    next_sync, effects = configuration.reduce(sync, sync_event)
    return SyncStep(
        sync=next_sync,
        effects=tuple(
            outer for effect in effects for outer in _process_effects(effect)
        ),
        catalogue_changed=_contains(effects, configuration.CatalogueInForce),
        roster_changed=_contains(effects, configuration.RosterInForce),
    )


def roster_is_contiguous(old: Roster, new: Roster) -> bool:
    """Return whether the newer list shows every change since the older one.

    The service keeps only the last change of each host, so if a host was added and
    removed between two reads, fewer hosts than versions have changed.
    """
    names = set(old.hosts) | set(new.hosts)
    changed = sum(old.hosts.get(name) != new.hosts.get(name) for name in names)
    return changed == new.version - old.version


def _contains(effects: tuple[configuration.Effect, ...], kind: type) -> bool:
    return any(isinstance(effect, kind) for effect in effects)


def _sync_event(event: object) -> configuration.Event | None:
    match event:
        case (
            process.Started()
            | process.Tick()
            | process.ServiceAnswered()
            | process.ServiceFailed()
        ):
            return event
        case process.PeerMessage(now_ms, host, message) if isinstance(
            message, configuration.Message
        ):
            return configuration.MessageReceived(now_ms, host, message)
        case process.LinkUp(now_ms, host):
            return configuration.LinkUp(now_ms, host)
        case process.LinkDown(now_ms, host):
            return configuration.LinkDown(now_ms, host)
    return None


def _process_effects(
    effect: configuration.Effect,
) -> tuple[process.Send | process.ReadService | LogEvent, ...]:
    match effect:
        case configuration.Send(host, message):
            return (process.Send(host, message),)
        case configuration.ReadService():
            return (effect,)
        case configuration.CatalogueInForce(_, position):
            fields = (("version", position),)
            return (LogEvent(LogEventKind.CATALOGUE_IN_FORCE, fields=fields),)
        case configuration.RosterInForce(_, position):
            fields = (("version", position),)
            return (LogEvent(LogEventKind.HOSTS_IN_FORCE, fields=fields),)
        case configuration.LeaseChanged(held):
            return (
                LogEvent(LogEventKind.LEASE_HELD if held else LogEventKind.LEASE_LOST),
            )
        case configuration.Refused(source, errors):
            fields = (("source", str(source)), ("errors", str(errors)))
            return (LogEvent(LogEventKind.CATALOGUE_REFUSED, fields=fields),)
    return ()
