"""Adapt the expert maps of groups to the load of their experts.

The leader is the entry with the lowest address among those with recent reports. It
samples how often experts are chosen, on some ranks only, as each read costs the group.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

import gevent

from nutmegslip_decisions.direct import (
    ExpertLayout,
    StorePosition,
    Upstream,
    is_candidate,
    is_first_candidate,
    is_paused,
)
from nutmegslip_decisions.experts import rollout
from nutmegslip_decisions.experts.rollout import (
    ChangeAbandoned,
    ChangeCompleted,
    Group,
    GroupUpdated,
    Idle,
    LayoutRead,
    LoadsMeasured,
    Order,
    OrderOutcome,
    Outcome,
    Preparing,
    RankReport,
    ReadLayout,
    ReadReports,
    ReportReceived,
    SendOrder,
    Tick,
)
from nutmegslip_entry.direct._expert_loads import ExpertLoads
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_runtime.eventlog import RateLimitedLog

ROLLOUT_INTERVAL_S = 0.1
COUNTS_INTERVAL_MS = 1_500  # expert load shifts last several seconds
SAMPLED_RANKS = 2  # a sixth of a group of 12; the others have a similar load
FIRST_INTERVAL_MS = 800  # a new leader begins no change before it


class ExpertCounts(NamedTuple):
    """How often a rank's requests chose each expert, layer by layer."""

    epoch: int
    chosen: tuple[float, ...]


class RankLayout(NamedTuple):
    """The experts of one rank by layer, for one version of the map."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class RankClient(Protocol):
    """Calls to ranks."""

    def report(self, rank: Upstream) -> RankReport | None:
        """Return a rank's report, or None without an answer."""

    def counts(self, rank: Upstream) -> ExpertCounts | None:
        """Return a rank's counts, or None without an answer."""

    def layout(self, rank: Upstream) -> RankLayout | None:
        """Return the experts on a rank, or None without an answer."""

    def send_order(
        self, rank: Upstream, epoch: int, fence: int, order: Order
    ) -> Outcome:
        """Send an order to a rank and return the outcome."""


class ExpertMapManager:
    """Run the rollout of expert maps for each group."""

    def __init__(
        self,
        machine: StateMachine,
        rank_client: RankClient,
        address: str,
        identity: int,
        position: Callable[[], StorePosition],
        announce_fence: Callable[[int], None],
        log: RateLimitedLog,
    ) -> None:
        self._machine = machine
        self._rank_client = rank_client
        self._address = address
        self._identity = identity
        self._position = position
        self._announce_fence = announce_fence
        self._heard_fence = 0
        self._log = log
        self._rollouts: dict[str, rollout.State] = {}
        self._members: dict[str, dict[str, Upstream]] = {}
        self._started_ms = machine.clock()
        self._stopping = False
        self._was_leader = False
        self._next_sample_ms = 0
        self._loads: dict[str, ExpertLoads] = {}

    @property
    def is_changing(self) -> bool:
        """Return whether a change of a map is in progress."""
        return any(
            not isinstance(state.phase, Idle) for state in self._rollouts.values()
        )

    @property
    def is_candidate(self) -> bool:
        """Return whether this entry may lead, as its peers are told."""
        return is_candidate(
            self._started_ms,
            self._machine.clock(),
            stopping=self._stopping,
            changing=self.is_changing,
        )

    def run(self) -> None:
        """Drive the rollouts until killed."""
        while True:
            gevent.sleep(ROLLOUT_INTERVAL_S)
            now_ms = self._machine.clock()
            is_leader = self._is_leader(now_ms)
            sample_due = self._is_sample_due(is_leader, now_ms)
            fence = rollout.next_fence(
                self._position().order, self._heard_fence, self._identity
            )
            for name, layout, group in self._groups():
                if name not in self._rollouts:
                    options = rollout.Options(
                        self._identity, layout.places, layout.spare
                    )
                    self._rollouts[name] = rollout.State(options)
                self._dispatch(name, GroupUpdated(now_ms, group))
                self._dispatch(name, Tick(now_ms, is_leader, fence))
                if sample_due and group is not None and self._is_settled(group, now_ms):
                    gevent.spawn(self._sample_loads, name, group, layout)

    def hear_fence(self, fence: int) -> None:
        """Take note of a fencing number that a peer uses."""
        self._heard_fence = max(self._heard_fence, fence)

    def stop(self) -> None:
        """Begin no more changes; those in progress go on."""
        self._stopping = True

    def _is_sample_due(self, is_leader: bool, now_ms: int) -> bool:
        """Return whether to read counts now, and set the time of the next read."""
        begins = is_leader and not self._was_leader
        self._was_leader = is_leader
        if begins:
            # The first read is only the base of the second.
            self._loads.clear()
            self._next_sample_ms = now_ms + FIRST_INTERVAL_MS
            return not self._stopping
        if not is_leader or self._stopping or now_ms < self._next_sample_ms:
            return False
        self._next_sample_ms = now_ms + COUNTS_INTERVAL_MS
        return True

    def _is_leader(self, now_ms: int) -> bool:
        return self.is_candidate and is_first_candidate(
            self._machine.state, self._address, now_ms
        )

    def _is_settled(self, group: Group, now_ms: int) -> bool:
        """Return whether a change of the group's map can last.

        A group loses its map when a rank leaves. A paused rank gets no calls.
        """
        return not any(
            rank.leaving or is_paused(self._machine.state, rank.id, now_ms)
            for rank in self._ranks_of(group)
        )

    def _is_withheld(self, name: str, rank: Upstream) -> bool:
        """Return whether a paused rank gets no orders.

        Once a pass is held the whole group stands still, so orders go out anyway.
        """
        phase = self._rollouts[name].phase
        return isinstance(phase, Idle | Preparing) and is_paused(
            self._machine.state, rank.id, self._machine.clock()
        )

    def _groups(self) -> Iterator[tuple[str, ExpertLayout, Group | None]]:
        """Yield each group with experts; its Group is None if it is incomplete."""
        state = self._machine.state
        services = state.configuration.services if state.configuration else {}
        members: dict[str, list[Upstream]] = {}
        layouts: dict[str, ExpertLayout] = {}
        for upstream in state.upstreams.values():
            service = services.get(upstream.service)
            engine = service.engine if service else None
            if upstream.rank is not None and engine and engine.layout:
                members.setdefault(upstream.rank.group, []).append(upstream)
                layouts[upstream.rank.group] = engine.layout
        for name, ranks in members.items():
            group = _complete_group(name, ranks)
            if group is not None:
                self._members[name] = {rank.id: rank for rank in ranks}
            yield name, layouts[name], group

    def _dispatch(self, name: str, event: rollout.Event) -> None:
        before = self._rollouts[name]
        state, effects = rollout.reduce(before, event)
        self._rollouts[name] = state
        if state.fence > before.fence:
            self._announce_fence(state.fence)
        for effect in effects:
            self._perform(name, effect)

    def _perform(self, name: str, effect: rollout.Effect) -> None:
        match effect:
            case SendOrder(rank):
                gevent.spawn(self._send_order, name, self._members[name][rank], effect)
            case ReadReports(group):
                for rank in self._ranks_of(group):
                    gevent.spawn(self._read_report, name, rank)
            case ReadLayout(group):
                gevent.spawn(self._read_layout, name, self._ranks_of(group))
            case ChangeCompleted(version, took_ms, gain):
                self._log.emit(
                    "group-map-in-force",
                    group=name,
                    version=version,
                    took_ms=took_ms,
                    gain=round(gain, 3),
                )
            case ChangeAbandoned(version, reason):
                self._log.emit(
                    "group-map-abandoned", group=name, version=version, reason=reason
                )

    def _ranks_of(self, group: Group) -> list[Upstream]:
        members = self._members[group.name]
        return [members[rank] for rank in group.ranks]

    def _send_order(self, name: str, rank: Upstream, effect: SendOrder) -> None:
        if self._is_withheld(name, rank):
            return  # sent again after the retry interval
        outcome = self._rank_client.send_order(
            rank, effect.epoch, effect.fence, effect.order
        )
        now_ms = self._machine.clock()
        self._dispatch(
            name, OrderOutcome(now_ms, effect.rank, effect.epoch, effect.order, outcome)
        )

    def _read_report(self, name: str, rank: Upstream) -> None:
        if is_paused(self._machine.state, rank.id, self._machine.clock()):
            return  # the change waits for a fresh report
        report = self._rank_client.report(rank)
        if report is not None:
            self._dispatch(name, ReportReceived(self._machine.clock(), rank.id, report))

    def _read_layout(self, name: str, ranks: list[Upstream]) -> None:
        jobs = [gevent.spawn(self._rank_client.layout, rank) for rank in ranks]
        gevent.joinall(jobs)
        rank_layouts = [job.value for job in jobs]
        if (
            None in rank_layouts
            or len(
                {
                    (rank_layout.epoch, rank_layout.version)
                    for rank_layout in rank_layouts
                }
            )
            > 1
        ):
            return  # a change is in progress or an answer is missing; read again later
        layers = range(len(rank_layouts[0].experts))
        layout = tuple(
            tuple(rank_layout.experts[layer] for rank_layout in rank_layouts)
            for layer in layers
        )
        epoch, version, _ = rank_layouts[0]
        self._dispatch(name, LayoutRead(self._machine.clock(), epoch, version, layout))

    def _sample_loads(self, name: str, group: Group, layout: ExpertLayout) -> None:
        step = max(len(group.ranks) // SAMPLED_RANKS, 1)
        reads = [
            (rank, counts.chosen)
            for rank in self._ranks_of(group)[::step]
            if (counts := self._rank_client.counts(rank)) is not None
        ]
        loads = self._loads.setdefault(name, ExpertLoads()).update(reads, layout)
        if loads is not None:
            self._dispatch(name, LoadsMeasured(self._machine.clock(), loads))


def _complete_group(name: str, members: list[Upstream]) -> Group | None:
    ranks = sorted(members, key=lambda upstream: upstream.rank.rank)
    epochs = {upstream.rank.epoch for upstream in ranks}
    numbers = [upstream.rank.rank for upstream in ranks]
    complete = (
        len(epochs) == 1
        and all(upstream.rank.is_open for upstream in ranks)
        and numbers == list(range(ranks[0].rank.size))
    )
    return Group(name, epochs.pop(), tuple(u.id for u in ranks)) if complete else None
