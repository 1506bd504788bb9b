"""Define the state of configuration sync and queries on it."""

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
    """The state of this process's reads of one source.

    ``timeout_ms`` is set while a read is in flight. ``last_answer_ms`` is a lower
    bound on the time of the service's last answer to any process, as far as this
    process knows. ``answered`` is set once a read of this process was answered.
    """

    after: int = 0
    sent_ms: Millis = LONG_AGO_MS
    due_ms: Millis = LONG_AGO_MS
    timeout_ms: Millis | None = None
    last_answer_ms: Millis = LONG_AGO_MS
    answered: bool = False


class Poll(NamedTuple):
    """One unanswered poll and its send time."""

    nonce: int
    sent_ms: Millis


class Peer(NamedTuple):
    """The polls sent to one peer."""

    due_ms: Millis = LONG_AGO_MS
    polls: tuple[Poll, ...] = ()


class Subscriber(NamedTuple):
    """A peer that polls, and the versions it is known to have."""

    catalogue: int
    hosts: int
    until_ms: Millis


class PeerReply(NamedTuple):
    """A peer's reply to a poll sent at ``sent_ms``.

    It counts towards the lease once this process has the peer's versions.
    """

    sent_ms: Millis
    catalogue: int
    hosts: int
    lease_until_ms: Millis
    digest: int
    synced: bool
    grants: bool


class PreviousWitnessSet(NamedTuple):
    """A replaced witness set, kept until its majority knows of the change."""

    members: WitnessSet
    until_ms: Millis


class PastRoster(NamedTuple):
    """A replaced list of hosts and the local time of its replacement."""

    roster: Roster
    replaced_ms: Millis


class RosterHistory(NamedTuple):
    """The lists of hosts that were in force during the retention time.

    ``since_ms`` is when this process received its first list.
    """

    current: Roster = Roster(0)
    past: tuple[PastRoster, ...] = ()
    since_ms: Millis | None = None


class Admission(NamedTuple):
    """The version that lists this host, and when a majority of witnesses had it."""

    version: int
    since_ms: Millis


class SyncState(NamedTuple):
    """The state of configuration sync and of the lease in one process.

    ``pending_replies`` wait until this process has the peer's versions;
    ``counted_replies`` count towards the lease. ``synced`` is set once this
    process knows what the witnesses accepted before it started.
    ``previous_sets`` and ``set_change_version`` belong to the change of witness
    set in progress; ``settled`` is unset until the change is complete.
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
        """Return the state of a source."""
        return self.catalogue if source is Source.CATALOGUE else self.hosts


def new_state(options: Options) -> SyncState:
    """Return the initial state of a process."""
    return SyncState(options)


def may_take_work(state: SyncState, now_ms: Millis) -> bool:
    """Return whether the lease is valid.

    Call it with a clock read just before work is dispatched, so that a process
    that was suspended sees its lease expired.
    """
    return now_ms < state.lease_until_ms


def entry_admitted(state: SyncState, now_ms: Millis) -> bool:
    """Return whether every lease holder of the region lists this host.

    This holds once a majority of witnesses has listed it for longer than a lease.
    """
    if state.admission is None or not may_take_work(state, now_ms):
        return False
    return now_ms > state.admission.since_ms + state.options.lease_ms
