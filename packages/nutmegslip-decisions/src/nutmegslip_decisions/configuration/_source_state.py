"""Track the known changes of one published source and the view in force."""

from collections.abc import Iterable
from dataclasses import replace
from enum import StrEnum
from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

import xxhash
from expression import Result
from immutables import Map

from nutmegslip_decisions.configuration._catalogue import apply
from nutmegslip_decisions.configuration._changes import (
    Change,
    Delta,
    is_consistent,
    page,
)
from nutmegslip_decisions.configuration._errors import ConfigurationErrors
from nutmegslip_decisions.configuration._parse import parse_host_change
from nutmegslip_decisions.model import Catalogue, Host, Roster

RECENT_CHANGES_MAX = 256  # kept in version order: most deltas need no full scan
REMOVALS_MAX = 4_096  # removed keys kept; readers further behind receive the full list

View = Catalogue | Roster


class Source(StrEnum):
    """A source that the configuration service publishes."""

    CATALOGUE = "catalogue"
    HOSTS = "hosts"


class SourceState(NamedTuple):
    """The latest change of each key of one source, and the view in force.

    ``version`` is the version up to which every change is known. ``pending`` are
    changes that were refused and not yet replaced by a later change;
    ``in_force`` are the earlier changes that stay in force for these keys.
    ``buffered`` are the changes of pages received up to ``buffered_to`` while more
    pages follow. ``full_list_version`` is the sender's version at the first page
    of a full list. ``needs_full_read`` is set if removals were missed, so that the
    full list has to be read.
    """

    view: View
    version: int = 0
    oldest: int = 0
    changes: Map[str, Change] = Map()
    recent: tuple[Change, ...] = ()
    removal_count: int = 0
    pending: Map[str, Change] = Map()
    in_force: Map[str, Change] = Map()
    errors: ConfigurationErrors = ()
    buffered: tuple[Change, ...] = ()
    buffered_to: int = 0
    buffered_oldest: int = 0
    full_list_version: int = 0
    needs_full_read: bool = False

    @property
    def after(self) -> int:
        """Return the version after which to request the next page."""
        if self.buffered_to:
            return self.buffered_to
        return 0 if self.needs_full_read else self.version

    @property
    def kept(self) -> int:
        """Return a digest of the changes kept in force for refused keys, 0 for none."""
        if not self.in_force:
            return 0
        kept = sorted(self.in_force.values())
        names = "\x00".join(f"{change.key}@{change.version}" for change in kept)
        return xxhash.xxh3_64_intdigest(names.encode()) >> 1


def new_source_state(source: Source) -> SourceState:
    """Return the initial state of a source."""
    view = Catalogue(0) if source is Source.CATALOGUE else Roster(0)
    return SourceState(view)


def delta_since(
    source_state: SourceState, after: int, max_bytes: int, kept: int | None = None
) -> Delta:
    """Return the first page of the changes after a version.

    ``kept`` is the reader's digest of the changes it keeps in force for refused
    keys. If it differs from the digest here, or is None, the last page also has
    the changes that are kept here.
    """
    if after >= source_state.version and not source_state.in_force:
        return Delta(after, source_state.version, source_state.oldest)
    own = source_state.kept
    latest = _changes_since(source_state, after) if after < source_state.version else ()
    delta = page(latest, after, source_state.version, source_state.oldest, max_bytes)
    delta = replace(delta, kept=own)
    if delta.more:
        return delta
    current = source_state.in_force.values()
    added = [change for change in current if kept != own or change.version > after]
    return replace(delta, changes=tuple(_in_order([*delta.changes, *added])))


def apply_delta(source_state: SourceState, delta: Delta) -> SourceState:
    """Apply a page; the view is updated once the last page was received.

    A page of an older version, or one that starts after the known version, is
    not applied, so the version never decreases.
    """
    if not is_consistent(delta) or delta.version < source_state.version:
        return source_state
    source_state = _restore_earlier_values(source_state, delta.changes)
    if delta.after > source_state.after or delta.end <= source_state.after:
        return source_state
    if _has_gap(source_state, delta):
        return _clear_buffer(source_state)._replace(needs_full_read=True)
    source_state = source_state._replace(
        buffered=(*source_state.buffered, *delta.changes),
        buffered_to=delta.end,
        buffered_oldest=max(source_state.buffered_oldest, delta.oldest),
        full_list_version=source_state.full_list_version
        if source_state.after
        else delta.version,
    )
    return source_state if delta.more else _complete(source_state, delta)


def _has_gap(source_state: SourceState, delta: Delta) -> bool:
    """Return whether the sender has dropped removals that were not read yet.

    While a full list is being read, only removals since its first page count.
    """
    known_to = max(source_state.after, source_state.full_list_version)
    return source_state.after > 0 and known_to < delta.oldest


def _clear_buffer(source_state: SourceState) -> SourceState:
    return source_state._replace(
        buffered=(),
        buffered_to=0,
        buffered_oldest=0,
        full_list_version=0,
        needs_full_read=False,
    )


def _changes_since(source_state: SourceState, after: int) -> Iterable[Change]:
    recent = source_state.recent
    if recent and recent[0].version <= after:
        return [
            change
            for change in recent
            if change.version > after and source_state.changes[change.key] is change
        ]
    return [
        change for change in source_state.changes.values() if change.version > after
    ]


def _complete(source_state: SourceState, delta: Delta) -> SourceState:
    """Apply the buffered pages as the state at the sender's version."""
    buffered = [*source_state.buffered, *_unlisted_removals(source_state)]
    new = {change for change in buffered if _is_newer(source_state, change)}
    read = _clear_buffer(source_state)._replace(
        version=delta.version,
        oldest=max(source_state.oldest, source_state.buffered_oldest),
    )
    ordered = _in_order(new)
    return _put_in_force(
        _store_changes(read, ordered, source_state.version), source_state, ordered
    )


def _unlisted_removals(source_state: SourceState) -> list[Change]:
    """Return a removal of each known key that is missing from a full list."""
    if not source_state.full_list_version:
        return []
    listed = {change.key for change in source_state.buffered}
    return [
        Change(key, source_state.buffered_oldest, None)
        for key, current in source_state.changes.items()
        if key not in listed and current.value is not None
    ]


def _is_newer(source_state: SourceState, change: Change) -> bool:
    current = source_state.changes.get(change.key)
    return current is None or current.version < change.version


def _store_changes(
    source_state: SourceState, ordered: list[Change], before: int
) -> SourceState:
    """Store the latest change of each key; ``before`` is the previous version."""
    changes = source_state.changes.mutate()
    removal_count = source_state.removal_count
    for change in ordered:
        current = changes.get(change.key)
        removal_count -= current is not None and current.value is None
        removal_count += change.value is None
        changes[change.key] = change
    follows = not ordered or ordered[0].version > before
    recent = (*source_state.recent, *ordered) if follows else ()
    source_state = source_state._replace(
        changes=changes.finish(),
        recent=recent[-RECENT_CHANGES_MAX:],
        removal_count=removal_count,
    )
    return (
        _drop_removals(source_state) if removal_count > REMOVALS_MAX else source_state
    )


def _drop_removals(source_state: SourceState) -> SourceState:
    """Drop the older half of the removals; readers below ``oldest`` miss them."""
    removals = sorted(
        (change for change in source_state.changes.values() if change.value is None),
        key=attrgetter("version"),
    )
    oldest = removals[len(removals) // 2].version
    dropped = [
        change
        for change in removals
        if change.version <= oldest and change.key not in source_state.pending
    ]
    changes = source_state.changes.mutate()
    for change in dropped:
        del changes[change.key]
    return source_state._replace(
        changes=changes.finish(),
        recent=tuple(
            change for change in source_state.recent if change.version > oldest
        ),
        oldest=max(source_state.oldest, oldest),
        removal_count=len(removals) - len(dropped),
    )


def _restore_earlier_values(
    source_state: SourceState, changes: Iterable[Change]
) -> SourceState:
    """Put the latest valid value in force for keys with a refused change.

    The service returns only the latest change of a key, so a process may have
    missed the last valid change before it.
    """
    missed = [
        change
        for change in changes
        if change.key in source_state.pending
        and change.version < source_state.pending[change.key].version
        and change.version > _version_in_force(source_state, change.key)
    ]
    return _put_in_force(source_state, source_state, missed) if missed else source_state


def _version_in_force(source_state: SourceState, key: str) -> int:
    current = source_state.in_force.get(key)
    return current.version if current else 0


def _put_in_force(
    source_state: SourceState, before: SourceState, new: list[Change]
) -> SourceState:
    """Apply each group of changes atomically; the latest refused stay pending."""
    view = source_state.view
    applied: dict[str, Change] = {}
    refused: list[Change] = []
    errors: ConfigurationErrors = ()
    still_pending = _still_latest(source_state, before.pending.values())
    for group in _groups(view, {*still_pending, *new}):
        result = _apply(view, group)
        if result.is_error():
            errors += result.error
            refused.extend(group)
            continue
        view = result.ok
        applied.update({change.key: change for change in group})
    pending = {change.key: change for change in _still_latest(source_state, refused)}
    in_force = {
        key: current
        for key in pending
        if (current := _kept_change(before, applied, key))
    }
    return source_state._replace(
        view=view, errors=errors, pending=Map(pending), in_force=Map(in_force)
    )


def _still_latest(
    source_state: SourceState, group: Iterable[Change]
) -> tuple[Change, ...]:
    return tuple(
        change for change in group if source_state.changes[change.key] == change
    )


def _kept_change(
    before: SourceState, applied: dict[str, Change], key: str
) -> Change | None:
    """Return the change that stays in force for a refused key."""
    if key in applied:
        return applied[key]
    if key in before.pending:
        return before.in_force.get(key)
    return before.changes.get(key)


def _groups(view: View, changes: Iterable[Change]) -> list[tuple[Change, ...]]:
    """Group the changes that are applied or refused together, oldest first.

    A version of the catalogue is one edit by an operator and is atomic; the
    platform publishes each host separately.
    """
    edit = (
        attrgetter("version")
        if isinstance(view, Catalogue)
        else attrgetter("version", "key")
    )
    return [tuple(group) for _, group in groupby(_in_order(changes), key=edit)]


def _in_order(changes: Iterable[Change]) -> list[Change]:
    return sorted(changes, key=attrgetter("version", "key"))


def _apply(view: View, group: tuple[Change, ...]) -> Result[View, ConfigurationErrors]:
    match view:
        case Catalogue():
            return apply(view, group)
        case Roster():
            return parse_host_change(group[0]).map(
                lambda host: _put_host(view, group[0], host)
            )


def _put_host(roster: Roster, change: Change, host: Host | None) -> Roster:
    version = max(roster.version, change.version)
    if host is not None:
        return Roster(version, roster.hosts.set(change.key, host))
    if change.key not in roster.hosts:
        return Roster(version, roster.hosts)
    return Roster(version, roster.hosts.delete(change.key))
