"""Check processes against the versions that their witnesses accepted."""

from collections import Counter

from bench.configuration_world import World
from nutmegslip_decisions.configuration import (
    Effect,
    Refused,
    SyncState,
    WitnessSet,
    _lease,
    entry_admitted,
)


class ViolationError(AssertionError):
    """An invariant of configuration sync or leases is violated."""


class Oracle:
    """The versions accepted in each region; checks every process against them.

    A version is accepted once a majority of granting witnesses of one set have
    it at the same time. Earlier acceptances no longer apply after a witness set
    lost its state or was replaced without its majority; both are counted.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.reached: Counter[str] = Counter()
        self._accepted: dict[str, list[tuple[int, int]]] = {}
        self._accepted_hosts: dict[str, list[tuple[int, int]]] = {}
        self._split: set[str] = set()
        world.after_event = self.after_event

    def after_event(
        self, name: str, before: SyncState, effects: tuple[Effect, ...]
    ) -> None:
        """Check one process after an event, and record accepted versions."""
        state = self.world.processes[name].state
        region = state.options.region
        self._check_versions(name, before, state)
        self._record_resets(before, state)
        if region in self._split:
            self._end_split(region)
        if state.is_witness and (
            state.grants != before.grants
            or state.catalogue.version != before.catalogue.version
            or state.hosts.version != before.hosts.version
        ):
            self._update_accepted(region)
        self.check(name)
        self._count_cases(before, state, effects)

    def check(self, name: str) -> None:
        """Check that a lease holder has each version accepted over ``lease_ms`` ago.

        A process that started since must have those accepted before its start.
        """
        world = self.world
        if not world.holds_lease(name):
            return
        process = world.processes[name]
        region = process.options.region
        latest_ms = max(world.now_ms - process.options.lease_ms, process.started_ms)
        for feed, accepted, source_state in (
            ("catalogue", self._accepted, process.state.catalogue),
            ("hosts", self._accepted_hosts, process.state.hosts),
        ):
            needed = max(
                (v for at_ms, v in accepted.get(region, ()) if at_ms < latest_ms),
                default=0,
            )
            self.reached["checked holders"] += needed > 0
            if source_state.version < needed:
                raise ViolationError(
                    f"{name} may take work on {feed} version {source_state.version} at "
                    f"{world.now_ms} ms, but version {needed} was accepted before "
                    f"{latest_ms} ms"
                )
        self._check_admission(name)

    def check_all(self) -> None:
        """Check every process."""
        for name in self.world.processes:
            self.check(name)

    def _check_admission(self, name: str) -> None:
        """Check that every lease holder of the region lists an admitted entry."""
        world = self.world
        process = world.processes[name]
        region = process.options.region
        if region in self._split or not entry_admitted(
            process.state, world.local_ms(name)
        ):
            return
        self.reached["admitted"] += 1
        version = process.state.admission.version
        for other, peer in world.processes.items():
            if peer.options.region != region or not world.holds_lease(other):
                continue
            if peer.state.hosts.version < version:
                raise ViolationError(f"{other} takes work but does not list {name}")

    def _check_versions(self, name: str, before: SyncState, after: SyncState) -> None:
        for old, new in (
            (before.catalogue, after.catalogue),
            (before.hosts, after.hosts),
        ):
            if new.version < old.version or new.view.version < old.view.version:
                raise ViolationError(
                    f"{name} went back from version {old.version} to {new.version}"
                )

    def _update_accepted(self, region: str) -> None:
        if region in self._split:
            return
        states = {
            name: process.state
            for name, process in self.world.processes.items()
            if process.options.region == region
        }
        for witnesses in {state.placement.witnesses for state in states.values()}:
            granting = [
                states[name]
                for name in witnesses.members
                if name in states
                and states[name].grants
                and states[name].placement.witnesses == witnesses
            ]
            self._record_accepted(
                self._accepted, region, witnesses, granting, "catalogue"
            )
            self._record_accepted(
                self._accepted_hosts, region, witnesses, granting, "hosts"
            )

    def _record_accepted(
        self,
        accepted: dict[str, list[tuple[int, int]]],
        region: str,
        witnesses: WitnessSet,
        granting: list[SyncState],
        feed: str,
    ) -> None:
        versions = sorted((getattr(s, feed).version for s in granting), reverse=True)
        if len(versions) < witnesses.majority:
            return
        version = versions[witnesses.majority - 1]
        recorded = accepted.setdefault(region, [])
        if version > max((v for _, v in recorded), default=0):
            recorded.append((self.world.now_ms, version))
            self.reached[f"accepted {feed}"] += 1

    def _record_resets(self, before: SyncState, after: SyncState) -> None:
        region = after.options.region
        removed = [
            old for old in before.previous_sets if old not in after.previous_sets
        ]
        forced = after.is_witness and any(
            not _lease._is_informed(after, old.members) for old in removed
        )
        if forced:
            self.reached["set replaced without its majority"] += 1
        lost_state = False
        if after.synced and not before.synced and not removed:
            lost_state = self._has_lost_state(after)
            self.reached["set lost its state" if lost_state else "witness synced"] += 1
        if forced or lost_state:
            # Until the lists agree, an older witness set may still be active.
            self._split.add(region)
            self._accepted.pop(region, None)
            self._accepted_hosts.pop(region, None)

    def _has_lost_state(self, state: SyncState) -> bool:
        """Return whether too few witnesses kept state to intersect every majority."""
        witnesses = state.placement.witnesses
        others = (
            self.world.processes.get(name)
            for name in witnesses.members
            if name != state.options.host
        )
        synced_count = sum(other is not None and other.state.synced for other in others)
        return synced_count < witnesses.sync_quorum

    def _end_split(self, region: str) -> None:
        states = [
            process.state
            for process in self.world.processes.values()
            if process.options.region == region
        ]
        sets = {state.placement.witnesses for state in states}
        if len(sets) == 1 and all(state.settled for state in states):
            self._split.discard(region)
            self._accepted.pop(region, None)
            self._accepted_hosts.pop(region, None)

    def _count_cases(
        self, before: SyncState, after: SyncState, effects: tuple[Effect, ...]
    ) -> None:
        self.reached["lease lapsed"] += (
            before.lease_announced and not after.lease_announced
        )
        self.reached["set changed"] += len(after.previous_sets) > len(
            before.previous_sets
        )
        self.reached["set settled"] += after.settled and not before.settled
        self.reached["refused"] += any(isinstance(e, Refused) for e in effects)
