"""Adapt the expert maps of groups to the load of their experts.

The leading entry samples how often experts are chosen, on some ranks only, as each
read costs the group.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

import gevent

from nutmegslip_decisions.direct import (
    SLOW_FACTOR,
    ExpertLayout,
    RankRead,
    Standing,
    StorePosition,
    Tenure,
    Upstream,
    counts_interval_ms,
    highest_fence,
    is_near_bound,
    is_over_bound,
    is_paused,
    leader_silence_ms,
    next_loads,
    next_tenure,
    standing_of,
)
from nutmegslip_decisions.experts import rollout
from nutmegslip_decisions.experts.rollout import (
    ChangeAbandoned,
    ChangeCompleted,
    Group,
    GroupUpdated,
    Idle,
    LayoutRead,
    Loads,
    LoadsMeasured,
    MapPlan,
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
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_runtime.eventlog import RateLimitedLog

ROLLOUT_INTERVAL_S = 0.1
FIRST_COUNTS_INTERVAL_MS = 600  # about ten passes
PLAN_PAUSE_S = 0.001  # lets the event loop read what has arrived
SAMPLED_RANKS = 2  # a sixth of a group of 12; the others have a similar load


class ExpertCounts(NamedTuple):
    """How often a rank's requests chose each expert, layer by layer."""

    epoch: int
    chosen: tuple[float, ...]


class RankLayout(NamedTuple):
    """The experts of one rank by layer, for one version of the map."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class GroupCondition(NamedTuple):
    """What a plan of a group's map depends on besides the loads of its experts."""

    epoch: int
    slow_ranks: frozenset[str]


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
        is_stopping: Callable[[], bool],
        identity: int,
        position: Callable[[], StorePosition],
        log: RateLimitedLog,
    ) -> None:
        self._machine = machine
        self._rank_client = rank_client
        self._is_stopping = is_stopping
        self._identity = identity
        self._position = position
        self._log = log
        self._rollouts: dict[str, rollout.State] = {}
        self._members: dict[str, dict[str, Upstream]] = {}
        self._tenure = Tenure()
        self._sampled_ms: dict[str, int] = {}
        self._counts: dict[str, ExpertCounts] = {}
        self._loads: dict[str, Loads] = {}
        self._planned_for: dict[str, GroupCondition] = {}
        self._reading: set[str] = set()

    @property
    def standing(self) -> Standing:
        """Return what this entry reports of its leadership."""
        now_ms = self._machine.clock()
        fence = max((state.fence for state in self._rollouts.values()), default=0)
        return standing_of(
            self._tenure, stopping=self._is_stopping(), fence=fence, now_ms=now_ms
        )

    def run(self) -> None:
        """Drive the rollouts until killed."""
        while True:
            gevent.sleep(ROLLOUT_INTERVAL_S)
            now_ms = self._machine.clock()
            is_leader = self._check_leadership(now_ms)
            fence = self._next_fence()
            silence_ms = leader_silence_ms(self._machine.state, now_ms)
            for name, layout, group in self._groups():
                if name not in self._rollouts:
                    options = rollout.Options(
                        self._identity,
                        layout.places,
                        layout.spare,
                        layout.report_lag_ms,
                        layout.copy_ms,
                    )
                    self._rollouts[name] = rollout.State(options)
                self._dispatch(name, GroupUpdated(now_ms, group))
                is_late = self._is_late(name, now_ms)
                tick = Tick(now_ms, is_leader, fence, silence_ms, is_late)
                self._dispatch(name, tick)
                if not is_leader or group is None:
                    continue
                if not self._is_settled(group, now_ms):
                    continue
                if self._is_sample_due(name, layout, now_ms):
                    gevent.spawn(self._sample_loads, name, group, layout)
                elif self._is_replan_due(name, now_ms):
                    gevent.spawn(self._plan_change, name, self._loads[name])

    def _check_leadership(self, now_ms: int) -> bool:
        """Return whether this entry may begin changes."""
        busy = any(
            not isinstance(state.phase, Idle) for state in self._rollouts.values()
        )
        stopping = self._is_stopping()
        led = self._tenure.leads
        self._tenure = next_tenure(
            self._machine.state,
            self._tenure,
            stopping=stopping,
            busy=busy,
            now_ms=now_ms,
        )
        if self._tenure.leads != led:
            self._log.emit("map-leader-changed", leads=self._tenure.leads)
        if self._tenure.leads and not led:
            # Counts of an earlier term would mix in what was popular long ago.
            self._counts.clear()
            self._loads.clear()
        return self._tenure.leads and not stopping

    def _next_fence(self) -> int:
        """Return a fencing number above those that the peers have used."""
        used = highest_fence(self._machine.state) // rollout.IDENTITY_COUNT + 1
        order = max(self._position().order, used)
        return order * rollout.IDENTITY_COUNT + self._identity

    def _is_late(self, name: str, now_ms: int) -> bool:
        """Return whether the event gaps of a group's streams exceed their bound."""
        if name not in self._members:
            return False
        rank, *_ = self._members[name].values()
        return is_over_bound(self._machine.state, rank.service, name, now_ms)

    def _is_sample_due(self, name: str, layout: ExpertLayout, now_ms: int) -> bool:
        """Return whether counts are to be read now; then they are taken for read."""
        if name not in self._members:
            return False
        state, (rank, *_) = self._machine.state, self._members[name].values()
        is_near = is_near_bound(state, rank.service, name, now_ms)
        interval_ms = counts_interval_ms(layout, is_near_bound=is_near)
        if not self._counts:
            interval_ms = min(interval_ms, FIRST_COUNTS_INTERVAL_MS)
        if now_ms < self._sampled_ms.get(name, 0) + interval_ms:
            return False
        self._sampled_ms[name] = now_ms
        return True

    def _is_replan_due(self, name: str, now_ms: int) -> bool:
        """Return whether known loads are to be planned for again.

        That is so if the group has formed anew, with its first map, or other ranks of
        it are slow; the next counts would come too late.
        """
        state = self._rollouts[name]
        return (
            name in self._loads
            and rollout.may_begin_change(state, now_ms)
            and self._planned_for.get(name) != _condition(state)
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
        state, effects = rollout.reduce(self._rollouts[name], event)
        self._rollouts[name] = state
        for effect in effects:
            self._perform(name, effect)

    def _perform(self, name: str, effect: rollout.Effect) -> None:
        match effect:
            case SendOrder(rank):
                gevent.spawn(self._send_order, name, self._members[name][rank], effect)
            case ReadReports(ranks):
                # A busy process would otherwise begin reads faster than it ends them.
                for rank in ranks:
                    if rank not in self._reading:
                        self._reading.add(rank)
                        gevent.spawn(self._read_report, name, self._members[name][rank])
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
                self._planned_for.pop(name, None)
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
            name,
            OrderOutcome(
                now_ms,
                effect.rank,
                effect.epoch,
                effect.order,
                outcome,
                effect.fence,
            ),
        )

    def _read_report(self, name: str, rank: Upstream) -> None:
        try:
            self._take_report(name, rank)
        finally:
            self._reading.discard(rank.id)

    def _take_report(self, name: str, rank: Upstream) -> None:
        if is_paused(self._machine.state, rank.id, self._machine.clock()):
            return  # the change waits for a fresh report
        report = self._rank_client.report(rank)
        if report is None:
            return
        now_ms = self._machine.clock()
        known = rank.id in self._machine.state.slow_ranks
        if known or report.slowness >= SLOW_FACTOR:
            self._machine.dispatch(RankRead(now_ms, rank.id, report.slowness))
        self._dispatch(name, ReportReceived(now_ms, rank.id, report))

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
        recent = [0.0] * (layout.layers * layout.experts)
        for rank in self._ranks_of(group)[::step]:
            counts = self._rank_client.counts(rank)
            if counts is None or len(counts.chosen) != len(recent):
                continue
            last = self._counts.get(rank.id)
            self._counts[rank.id] = counts
            if last is None or last.epoch != counts.epoch:
                continue  # counts since the start of a rank say little of the present
            for index, (new, old) in enumerate(
                zip(counts.chosen, last.chosen, strict=True)
            ):
                recent[index] += max(new - old, 0.0)
        if not any(recent):
            return
        loads = next_loads(layout, self._loads.get(name), recent)
        self._loads[name] = loads
        self._plan_change(name, loads)

    def _plan_change(self, name: str, loads: Loads) -> None:
        self._planned_for[name] = _condition(self._rollouts[name])
        plan = self._plan(name, loads)
        self._dispatch(name, LoadsMeasured(self._machine.clock(), loads, plan))

    def _plan(self, name: str, loads: Loads) -> MapPlan | None:
        """Plan a change, with the streams of this entry passed on between layers."""
        state = self._rollouts[name]
        if not rollout.may_begin_change(state, self._machine.clock()):
            return None
        layers = []
        for planned in rollout.plan_layers(state, loads):
            layers.append(planned)
            gevent.sleep(PLAN_PAUSE_S)
        return MapPlan(state.layout, tuple(layers))


def _condition(state: rollout.State) -> GroupCondition:
    slow_ranks = frozenset(
        rank
        for rank, (_, report) in state.reports.items()
        if report.slowness >= SLOW_FACTOR
    )
    return GroupCondition(state.group.epoch if state.group else 0, slow_ranks)


def _complete_group(name: str, members: list[Upstream]) -> Group | None:
    """Return the group of the latest epoch, None while a rank is missing or broken.

    Ranks that failed are listed for seconds after the group has formed without them.
    """
    epoch = max(upstream.rank.epoch for upstream in members)
    ranks = sorted(
        (upstream for upstream in members if upstream.rank.epoch == epoch),
        key=lambda upstream: upstream.rank.rank,
    )
    numbers = [upstream.rank.rank for upstream in ranks]
    complete = all(upstream.rank.is_open for upstream in ranks) and numbers == list(
        range(ranks[0].rank.size)
    )
    return Group(name, epoch, tuple(u.id for u in ranks)) if complete else None
