"""Hold the state of configuration sync and answer questions about it."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.configuration._options import Options
from nutmegslip_decisions.configuration._placement import Placement, WitnessSet
from nutmegslip_decisions.configuration._source_state import (
    Source,
    SourceState,
    new_source_state,
)
from nutmegslip_decisions.model import NEVER_MS, Catalogue, Millis, Roster

LONG_AGO_MS: Millis = -NEVER_MS


class Reader(NamedTuple):
    """Track the reads of one source.

    ``timeout_ms`` is set while a read is in flight. ``heard_ms`` is no later than
    the last answer of the service that anyone told of.
    """

    after: int = 0
    sent_ms: Millis = LONG_AGO_MS
    due_ms: Millis = LONG_AGO_MS
    timeout_ms: Millis | None = None
    last_answer_ms: Millis = LONG_AGO_MS
    answered: bool = False


class Poll(NamedTuple):
    """Track an unanswered poll; ``sent_ms`` is when it left."""

    nonce: int
    sent_ms: Millis


class Peer(NamedTuple):
    """Track the polls sent to a peer."""

    due_ms: Millis = LONG_AGO_MS
    polls: tuple[Poll, ...] = ()


class Subscriber(NamedTuple):
    """Track a peer that polls, with the versions it is known to have."""

    catalogue: int
    hosts: int
    until_ms: Millis


class PeerReply(NamedTuple):
    """Keep what a peer answered to a poll sent at ``sent_ms``.

    It counts once this process has the versions that the peer had.
    """

    sent_ms: Millis
    catalogue: int
    hosts: int
    lease_until_ms: Millis
    digest: int
    synced: bool
    grants: bool


class PreviousWitnessSet(NamedTuple):
    """Keep a replaced witness set until its majority knows of the change."""

    members: WitnessSet
    until_ms: Millis


class PastRoster(NamedTuple):
    """Keep a replaced list of hosts with the local time of replacement."""

    roster: Roster
    replaced_ms: Millis


class RosterHistory(NamedTuple):
    """Keep the lists of hosts that were in force over the retention time.

    ``since_ms`` is when this process first had a list; it knows none before.
    """

    current: Roster = Roster(0)
    past: tuple[PastRoster, ...] = ()
    since_ms: Millis | None = None


class Admission(NamedTuple):
    """Say when a majority of witnesses had the version that lists this host."""

    version: int
    since_ms: Millis


class SyncState(NamedTuple):
    """Hold all that one process knows of configuration and of its lease.

    ``claims`` wait for versions, ``heard`` are claims that count. ``old_sets``
    and ``set_version`` belong to the change of witness set in progress.
    """

    options: Options
    started_ms: Millis = LONG_AGO_MS
    catalogue: SourceState = new_source_state(Source.CATALOGUE)
    hosts: SourceState = new_source_state(Source.HOSTS)
    placement: Placement = Placement()
    readers: Map[Source, Reader] = Map({source: Reader() for source in Source})
    peers: Map[str, Peer] = Map()
    subscribers: Map[str, Subscriber] = Map()
    pending_replies: Map[str, PeerReply] = Map()
    counted_replies: Map[str, PeerReply] = Map()
    polls_sent: int = 0
    lease_until_ms: Millis = LONG_AGO_MS
    lease_announced: bool = False
    synced: bool = False
    settled: bool = True
    previous_sets: tuple[PreviousWitnessSet, ...] = ()
    set_change_version: int = 0
    admission: Admission | None = None
    history: RosterHistory = RosterHistory()

    @property
    def catalogue_in_force(self) -> Catalogue:
        """Return the catalogue in force."""
        return self.catalogue.view

    @property
    def roster(self) -> Roster:
        """Return the list of hosts in force."""
        return self.hosts.view

    @property
    def is_witness(self) -> bool:
        """Return whether this process is in its region's witness set."""
        return self.options.host in self.placement.witnesses.members

    @property
    def grants(self) -> bool:
        """Return whether this witness's answers count towards leases."""
        return self.is_witness and self.synced and self.settled

    def source_state(self, source: Source) -> SourceState:
        """Return what is known of a source."""
        return self.catalogue if source is Source.CATALOGUE else self.hosts


def new_state(options: Options) -> SyncState:
    """Return the state of a process that has heard nothing."""
    return SyncState(options)


def may_take_work(state: SyncState, now_ms: Millis) -> bool:
    """Return whether the lease still runs.

    Ask with a clock read just before work is handed on: a process that was
    frozen finds its lease expired.
    """
    return now_ms < state.lease_until_ms


def entry_admitted(state: SyncState, now_ms: Millis) -> bool:
    """Return whether every lease holder of the region knows this host.

    True once a majority of witnesses has listed this host for longer than a lease.
    """
    if state.admission is None or not may_take_work(state, now_ms):
        return False
    return now_ms > state.admission.since_ms + state.options.lease_ms
