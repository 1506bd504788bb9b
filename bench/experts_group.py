"""Run one group of ranks on a simulated clock, with process and link faults.

Every rank has an engine that enters a step only on the permit of the sidecar
that is attached to it, and only when every engine has entered the previous step.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from nutmegslip_decisions.experts import agreement as ag
from nutmegslip_decisions.experts.placement import SHARE_UNIT, LayerMap

TICK_MS = 50
RECONNECT_MS = (5, 500)


@dataclass(slots=True)
class Network:
    """Delay, loss and repetition on links; cut links are unordered pairs of ranks."""

    delay_ms: tuple[int, int] = (1, 2)
    loss: float = 0.0
    repeat: float = 0.0
    cut: set[frozenset[int]] = field(default_factory=set)


@dataclass(slots=True)
class Engine:
    """The simulated engine of one rank."""

    step: int = -1
    map: ag.ExpertMap | None = None
    loaded: set[str] = field(default_factory=set)
    maps: dict[str, ag.ExpertMap] = field(default_factory=dict)
    attached: "Sidecar | None" = None
    fencing: int = 0
    waiting_since_ms: int | None = None


@dataclass(slots=True, eq=False)
class Sidecar:
    """One sidecar process; while frozen it queues incoming events."""

    rank: int
    state: ag.State
    clock_offset_ms: int
    frozen: bool = False
    alive: bool = True
    inbox: list[Callable[[int], ag.Event]] = field(default_factory=list)


class Group:
    """Engines, sidecars and the messages in transit between them."""

    def __init__(
        self,
        size: int,
        seed: int,
        *,
        options: ag.AgreementOptions | None = None,
        reduce: Callable[[ag.State, ag.Event], tuple] = ag.reduce,
        step_ms: int = 44,
        load_ms: int = 120,
    ) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.options = options or ag.AgreementOptions()
        self.network = Network()
        self.step_ms = step_ms
        self.load_ms = load_ms
        self.now_ms = 0
        self.digests_by_step: dict[int, set[str]] = defaultdict(set)
        self.digests: set[str] = set()
        self.proposals = 0
        self.engine_lost_ms = (0, 500)
        self.stopped = False
        self.cases: Counter[str] = Counter()
        self.waited_ms: Counter[str] = Counter()
        self.on_send: Callable[[Sidecar, object], None] | None = None
        self._reduce = reduce
        self._sequence = itertools.count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.engines = [Engine() for _ in range(size)]
        self.sidecars: list[Sidecar] = []
        for rank in range(size):
            self.start_sidecar(rank)

    def sidecar(self, rank: int) -> Sidecar:
        """Return the newest sidecar of a rank."""
        return next(s for s in reversed(self.sidecars) if s.rank == rank)

    def coordinator(self) -> Sidecar:
        """Return the sidecar that leads a formed group, or rank 0's."""
        leads = (s for s in self.sidecars if s.alive and _leads(s.state))
        return next(leads, self.sidecar(0))

    def run(self, duration_ms: int) -> None:
        """Advance time."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def start_sidecar(self, rank: int) -> Sidecar:
        """Start a sidecar for an engine, even while an older one still runs."""
        number = next(self._sequence)
        offset_ms = self.random.randrange(10**6)
        state = ag.initial_state(
            rank, self.size, f"i{number}", self.options, self.now_ms + offset_ms
        )
        sidecar = Sidecar(rank, state, offset_ms)
        self.sidecars.append(sidecar)
        self._tick(sidecar)
        self.after(5, lambda: self._attach(sidecar))
        return sidecar

    def kill(self, sidecar: Sidecar) -> None:
        """Kill a process; its state is lost."""
        sidecar.alive = False

    def replace_host(self, rank: int) -> None:
        """Replace engine and sidecar; the new engine joins at the group's step."""
        for sidecar in self.sidecars:
            sidecar.alive = sidecar.alive and sidecar.rank != rank
        others = [e.step for r, e in enumerate(self.engines) if r != rank]
        self.engines[rank] = Engine(step=max(-1, max(others) - 1))
        # Steps that only the lost engines had run are lost and run again.
        all_lost = all(engine.map is None for engine in self.engines)
        for step in [
            step for step in self.digests_by_step if all_lost or step > max(others)
        ]:
            del self.digests_by_step[step]
        self.start_sidecar(rank)

    def freeze(self, sidecar: Sidecar) -> None:
        """Pause a process; its events wait until it resumes."""
        sidecar.frozen = True

    def resume(self, sidecar: Sidecar) -> None:
        """Resume a process and deliver the events that arrived meanwhile."""
        sidecar.frozen = False
        queued, sidecar.inbox = sidecar.inbox, []
        for make_event in queued:
            self.handle_event(sidecar, make_event)

    def handle_event(
        self, sidecar: Sidecar, make_event: Callable[[int], ag.Event]
    ) -> None:
        """Deliver an event to a process, with the time of its own clock."""
        if not sidecar.alive:
            return
        if sidecar.frozen:
            sidecar.inbox.append(make_event)
            return
        event = make_event(self.now_ms + sidecar.clock_offset_ms)
        before = sidecar.state
        sidecar.state, effects = self._reduce(sidecar.state, event)
        if before.pending is not None and sidecar.state.pending is None:
            self.cases["outcome received"] += 1
        for effect in effects:
            self._run_effect(sidecar, effect)

    def propose(self, seed: int) -> None:
        """Propose a new placement at the coordinator."""
        slots = tuple((rank, seed) for rank in range(self.size))
        shares = ((SHARE_UNIT, 1),) * self.size
        placement = (LayerMap(slots, shares),)
        self.handle_event(
            self.coordinator(), lambda now: ag.MapProposed(now, placement)
        )

    def resume_steps(self) -> None:
        """Let the engines of a stopped group step again."""
        self.stopped = False
        for engine in self.engines:
            if engine.attached is not None:
                self._request_step(engine, engine.attached)

    def steps(self) -> int:
        """Return the step that every engine has entered."""
        return min(engine.step for engine in self.engines)

    def _run_effect(self, sidecar: Sidecar, effect: ag.Effect) -> None:
        engine = self.engines[sidecar.rank]
        attached = engine.attached is sidecar
        match effect:
            case ag.Send(rank=rank, message=message):
                self._send(sidecar, rank, message)
            case ag.PermitStep() if attached:
                self._enter_step(engine, effect)
            case ag.LoadWeights(map=map_) if attached:
                self.after(self.load_ms, lambda: self._finish_load(sidecar, map_))
            case ag.ConfirmEngine(token=token) if attached:
                self.after(1, lambda: self._confirm(sidecar, token))
            case ag.AttachEngine():
                delay_ms = self.random.randint(*RECONNECT_MS)
                self.after(delay_ms, lambda: self._attach(sidecar))
            case ag.StepHeld(reason=reason):
                self.cases[f"held {reason}"] += 1
            case ag.MapAbandoned(reason=reason):
                self.cases[f"abandoned {reason}"] += 1
            case ag.GroupFormed() | ag.GroupLeft() | ag.MapScheduled():
                self.cases[type(effect).__name__] += 1

    def _send(self, sidecar: Sidecar, rank: int, message: ag.Message) -> None:
        self.cases[f"sent {type(message).__name__}"] += 1
        link = frozenset((sidecar.rank, rank))
        copies = 1 + (self.random.random() < self.network.repeat)
        for _ in range(copies):
            if self.random.random() < self.network.loss:
                continue
            delay_ms = self.random.randint(*self.network.delay_ms)
            self.after(delay_ms, lambda: self._deliver(link, rank, message))
        if self.on_send is not None:
            self.on_send(sidecar, message)

    def _deliver(self, link: frozenset[int], rank: int, message: ag.Message) -> None:
        if link in self.network.cut:
            return
        for sidecar in [s for s in self.sidecars if s.alive and s.rank == rank]:
            self.handle_event(sidecar, lambda now: ag.PeerMessage(now, message))

    def _attach(self, sidecar: Sidecar) -> None:
        if not sidecar.alive:
            return
        if sidecar.frozen:
            self.after(TICK_MS, lambda: self._attach(sidecar))
            return
        engine = self.engines[sidecar.rank]
        previous = engine.attached
        engine.attached = sidecar
        if previous is not None and previous is not sidecar:
            delay_ms = self.random.randint(*self.engine_lost_ms)
            self.after(delay_ms, lambda: self.handle_event(previous, ag.EngineLost))
        current, loaded = engine.map, frozenset(engine.loaded)
        self.handle_event(
            sidecar,
            lambda now: ag.EngineAttached(
                now, engine.step if current else -1, current, loaded, engine.fencing
            ),
        )
        self._request_step(engine, sidecar)

    def _confirm(self, sidecar: Sidecar, token: int) -> None:
        if self.engines[sidecar.rank].attached is sidecar:
            self.handle_event(sidecar, lambda now: ag.EngineConfirmed(now, token))

    def _request_step(self, engine: Engine, sidecar: Sidecar) -> None:
        if self.stopped or engine.attached is not sidecar:
            return
        if engine.step > self.steps():
            return
        if engine.waiting_since_ms is None:
            engine.waiting_since_ms = self.now_ms
        step = engine.step + 1
        self.handle_event(sidecar, lambda now: ag.StepReached(now, step))

    def _enter_step(self, engine: Engine, permit: ag.PermitStep) -> None:
        if permit.step != engine.step + 1 or engine.step > self.steps():
            return
        if permit.digest not in engine.loaded:
            raise AssertionError(f"step {permit.step}: weights were not loaded")
        self.digests_by_step[permit.step].add(permit.digest)
        self.digests.add(permit.digest)
        if len(self.digests_by_step[permit.step]) > 1:
            raise AssertionError(f"step {permit.step} ran on two maps")
        engine.step = permit.step
        engine.map = engine.maps[permit.digest]
        engine.fencing = max(engine.fencing, permit.fencing)
        if engine.waiting_since_ms is not None:
            self.waited_ms["all"] += self.now_ms - engine.waiting_since_ms
        engine.waiting_since_ms = None
        if self.steps() == engine.step:
            for other in self.engines:
                self.after(
                    self.step_ms,
                    lambda e=other: e.attached and self._request_step(e, e.attached),
                )

    def _finish_load(self, sidecar: Sidecar, map_: ag.ExpertMap) -> None:
        engine = self.engines[sidecar.rank]
        if engine.attached is not sidecar:
            return
        engine.loaded.add(map_.digest)
        engine.maps[map_.digest] = map_
        self.handle_event(sidecar, lambda now: ag.WeightsLoaded(now, map_.digest))

    def _tick(self, sidecar: Sidecar) -> None:
        if not sidecar.alive:
            return
        if not sidecar.frozen:
            self.handle_event(sidecar, ag.Tick)
        self.after(TICK_MS, lambda: self._tick(sidecar))

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._sequence), action))


def _leads(state: ag.State) -> bool:
    return type(state.leadership).__name__ == "Leading"
