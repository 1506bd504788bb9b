"""Simulate entries and sidecars in one process, with faults and a virtual clock."""

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from nutmegslip_decisions import configuration, entry, sidecar
from nutmegslip_decisions.process import (
    LinkDown,
    LinkUp,
    PeerMessage,
    PeerPieces,
    ReadService,
    Send,
    SendFailed,
    ServiceAnswered,
    ServiceFailed,
    Started,
    Tick,
)
from nutmegslip_decisions.work import Pieces, Ran

TICK_MS = 50
TOKEN_MS = 10
COLD_LIMIT = 2
MAX_DUPLICATE_DELAY_MS = 800
ACCOUNT = "a" * 64
#: The time from a published mark until no process takes work against it: 3 s to
#: come into force everywhere, plus the lease of a process that is partitioned.
MARK_OUT_BOUND_MS = 3_000 + configuration.Options("", "", "", 0).lease_ms


@dataclass
class Engine:
    """A simulated engine; ``running`` maps attempts to their epochs."""

    cold: bool = True
    epoch: int = 0
    running: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False)
class Process:
    """One incarnation of an entry or sidecar."""

    name: str
    state: Any
    reduce: Callable
    incarnation: str
    alive: bool = True
    frozen: bool = False
    inbox: list[Callable[[int], object]] = field(default_factory=list)


@dataclass
class CallerRequest:
    """The request of a caller, and the part of the answer it has received."""

    tokens: int
    deadline_ms: int
    received: int = 0
    end: object | None = None


class World:
    """The processes, engines, links, platform and callers of a simulation."""

    def __init__(self, seed: int, zones: tuple[str, ...] = ("z1", "z2", "z3")) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.zones = zones
        self.cases: Counter[str] = Counter()
        self.faults: list[str] = []
        self.asked: dict[str, CallerRequest] = {}
        self.started: dict[str, int] = {}
        self.out_since: dict[str, int] = {}
        self.service_up = True
        self.cut_links: set[frozenset[str]] = set()
        self.repeat = self.loss_share = 0.0
        self._incarnations = count(1)
        self._request_ids = count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.changes: dict[str, tuple[int, Any]] = {}
        self.version = 0
        self.engines = {f"m{zone}": Engine() for zone in zones}
        self.processes: dict[str, Process] = {}
        self.publish(_catalogue())
        for name in (*self.engines, *(f"e{zone}" for zone in zones)):
            self.start(name)

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        item = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def publish(self, values: dict[str, Any]) -> None:
        for key, value in values.items():
            self.version += 1
            self.changes[key] = (self.version, value)

    def start(self, name: str) -> None:
        """Start a new incarnation of a process; an engine keeps its state."""
        incarnation = f"{next(self._incarnations):016x}"
        options = configuration.Options(name, name[1:], "one", int(incarnation, 16))
        if name.startswith("e"):
            state = entry.new_state(
                entry.EntryOptions(options, incarnation, self.now_ms)
            )
            process = Process(name, state, entry.reduce, incarnation)
        else:
            kind = sidecar.UpstreamKind.ENGINE
            sidecar_options = sidecar.SidecarOptions(
                options, incarnation, self.now_ms, kind
            )
            process = Process(
                name, sidecar.new_state(sidecar_options), sidecar.reduce, incarnation
            )
        self.processes[name] = process
        self.apply_event(process, Started)
        self.tick(process)
        for other in self.processes.values():
            if other is not process:
                self.link(process, other)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.alive = False
        if name in self.engines:
            for attempt in list(self.engines[name].running):
                self.engines[name].running.pop(attempt)
        for other in self.processes.values():
            self.schedule(
                1, lambda o=other: self.apply_event(o, lambda now: LinkDown(now, name))
            )

    def freeze(self, name: str) -> None:
        self.processes[name].frozen = True

    def wake(self, name: str) -> None:
        process = self.processes[name]
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for make_event in inbox:
            self.apply_event(process, make_event)

    def link(self, one: Process, two: Process) -> None:
        """Open the link between two processes, unless it is cut."""
        if frozenset((one.name, two.name)) in self.cut_links:
            return
        if one.alive and two.alive:
            self.apply_event(one, lambda now: LinkUp(now, two.name, two.incarnation))
            self.apply_event(two, lambda now: LinkUp(now, one.name, one.incarnation))

    def cut_link(self, one: str, two: str) -> None:
        self.cut_links.add(frozenset((one, two)))
        for local, remote in ((one, two), (two, one)):
            self.apply_event(
                self.processes[local], lambda now, remote=remote: LinkDown(now, remote)
            )

    def heal(self) -> None:
        cut, self.cut_links = self.cut_links, set()
        for one, two in (sorted(pair) for pair in sorted(cut, key=sorted)):
            self.link(self.processes[one], self.processes[two])

    def ask(self, entry_name: str, tokens: int, timeout_ms: int) -> None:
        """Send a caller's request for a stream."""
        request = f"r{next(self._request_ids)}"
        self.asked[request] = CallerRequest(tokens, self.now_ms + timeout_ms)

        def make_event(now_ms: int) -> entry.CallerArrived:
            body = json.dumps({"tokens": tokens}).encode()
            return entry.CallerArrived(
                now_ms, request, "w", ACCOUNT, "POST", "/", body, True, timeout_ms
            )

        self.apply_event(self.processes[entry_name], make_event)

    def tick(self, process: Process) -> None:
        if process.alive and self.processes[process.name] is process:
            if not process.frozen:
                self.apply_event(process, Tick)
                self.report_engine(process)
            self.schedule(TICK_MS, lambda: self.tick(process))

    def report_engine(self, process: Process) -> None:
        engine = self.engines.get(process.name)
        if engine is not None:
            reported_state = (engine.cold, engine.epoch, len(engine.running))
            event = lambda now: sidecar.EngineReported(now, *reported_state)  # noqa: E731
            self.schedule(20, lambda: self.apply_event(process, event))

    def apply_event(
        self, process: Process, make_event: Callable[[int], object]
    ) -> None:
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append(make_event)
            return
        event = make_event(self.now_ms)
        process.state, effects = process.reduce(process.state, event)
        for effect in effects:
            self.perform(process, effect)

    def perform(self, process: Process, effect: object) -> None:
        match effect:
            case Send(host, message):
                self.send(process, host, message)
            case ReadService(source, after, wait_ms):
                self.schedule(2, lambda: self.read(process, source, after, wait_ms))
            case sidecar.StartAttempt(submit):
                self.start_attempt(process, submit)
            case sidecar.CancelAttempt(attempt):
                self.engines[process.name].running.pop(attempt, None)
                cut = lambda now: sidecar.EngineCut(now, attempt, "x")  # noqa: E731
                self.schedule(1, lambda: self.apply_event(process, cut))
            case entry.Deliver(request, pieces):
                self.deliver(request, pieces)
            case entry.Complete(request):
                self.record_outcome(request, effect)
                caller_request = self.asked[request]
                if caller_request.received != caller_request.tokens:
                    self.faults.append(f"{request} was completed with pieces missing")
            case entry.Fail(request):
                self.record_outcome(request, effect)
                self.cases[f"failed {effect.kind}, ran {effect.ran}"] += 1

    def send(self, process: Process, host: str, message: object) -> None:
        other = self.processes.get(host)
        cut = frozenset((process.name, host)) in self.cut_links
        if other is None or not other.alive or cut:
            failed = lambda now: SendFailed(now, host, message)  # noqa: E731
            self.schedule(1, lambda: self.apply_event(process, failed))
            return
        if self.random.random() < self.loss_share:
            self.cases["message lost"] += 1
            return
        times = 2 if self.random.random() < self.repeat else 1
        for copy in range(times):
            delay_ms = self.random.randint(
                1, 4 if copy == 0 else MAX_DUPLICATE_DELAY_MS
            )
            self.schedule(delay_ms, lambda: self.receive(process, other, message))

    def receive(self, process: Process, other: Process, message: object) -> None:
        if isinstance(message, Pieces):
            self.apply_event(
                other, lambda now: PeerPieces(now, process.name, (message,))
            )
        else:
            self.apply_event(other, lambda now: PeerMessage(now, process.name, message))

    def read(
        self, process: Process, source: configuration.Source, after: int, wait_ms: int
    ) -> None:
        if not self.service_up:
            self.apply_event(process, lambda now: ServiceFailed(now, source))
            return
        found = self.hosts() if source is configuration.Source.HOSTS else self.changes
        version = max(number for number, _ in found.values())
        if version <= after and wait_ms > 0:
            wait = min(wait_ms, 200)
            self.schedule(
                wait, lambda: self.read(process, source, after, wait_ms - wait)
            )
            return
        new_changes = sorted(
            (n, key, value) for key, (n, value) in found.items() if n > after
        )
        changes = [
            {"version": n, "key": key, "value": value} for n, key, value in new_changes
        ]
        body = json.dumps({"version": version, "oldest": 0, "changes": changes})
        self.apply_event(
            process, lambda now: ServiceAnswered(now, source, body.encode())
        )

    def hosts(self) -> dict[str, tuple[int, Any]]:
        names = (*self.engines, *(f"e{zone}" for zone in self.zones))
        return {name: (n, _host(name)) for n, name in enumerate(names, 1)}

    def start_attempt(self, process: Process, submit) -> None:
        """Start an attempt at the engine of a sidecar."""
        engine, attempt = self.engines[process.name], submit.attempt_id
        request = attempt.rpartition(".")[0]
        self.started[request] = self.started.get(request, 0) + 1
        # The requests of a killed entry are removed.
        outcome = self.asked[request].end if request in self.asked else None
        if isinstance(outcome, entry.Fail) and outcome.ran is Ran.NO:
            self.faults.append(
                f"{request} was started after it was reported as not run"
            )
        out_since = self.out_since.get(process.name[1:], self.now_ms)
        if self.now_ms > out_since + MARK_OUT_BOUND_MS:
            self.faults.append(f"{process.name} took work while marked out")
        engine.running[attempt] = engine.epoch
        current = [a for a, epoch in engine.running.items() if epoch == engine.epoch]
        if engine.cold and len(current) > COLD_LIMIT:
            self.faults.append(f"{process.name} exceeded its cold limit")
        reported_state = (engine.cold, engine.epoch)
        accepted = lambda now: sidecar.EngineAccepted(now, attempt, *reported_state)  # noqa: E731
        self.schedule(1, lambda: self.apply_event(process, accepted))
        tokens = json.loads(submit.body)["tokens"]
        first = submit.resume_from
        if first:
            self.cases["resumed"] += 1
        self.schedule(TOKEN_MS, lambda: self.generate(process, attempt, first, tokens))

    def generate(self, process: Process, attempt: str, number: int, total: int) -> None:
        engine = self.engines[process.name]
        if attempt not in engine.running or not process.alive:
            return
        if engine.running[attempt] != engine.epoch:
            engine.running.pop(attempt)
            cut = lambda now: sidecar.EngineCut(now, attempt, "cold")  # noqa: E731
            self.apply_event(process, cut)
            return
        if number < total:
            batch = Pieces(attempt, number, (piece(number),))
            self.apply_event(process, lambda now: sidecar.EnginePieces(now, (batch,)))
            step = lambda: self.generate(process, attempt, number + 1, total)  # noqa: E731
            self.schedule(TOKEN_MS, step)
            return
        engine.running.pop(attempt)
        self.apply_event(
            process,
            lambda now: sidecar.EngineFinished(
                now, attempt, 200, "text/event-stream", b"", total
            ),
        )

    def deliver(self, request: str, pieces: tuple[bytes, ...]) -> None:
        caller_request = self.asked[request]
        expected = tuple(
            piece(n)
            for n in range(
                caller_request.received, caller_request.received + len(pieces)
            )
        )
        if pieces != expected or caller_request.end is not None:
            self.faults.append(f"{request} received {pieces} instead of {expected}")
        caller_request.received += len(pieces)

    def record_outcome(self, request: str, effect: object) -> None:
        caller_request = self.asked[request]
        if caller_request.end is not None:
            self.faults.append(f"{request} was answered twice")
        caller_request.end = effect
        not_run = isinstance(effect, entry.Fail) and effect.ran is Ran.NO
        if not_run and request in self.started:
            self.faults.append(f"{request} was started but reported as not run")


def piece(number: int) -> bytes:
    return b"t%d" % number


def _host(name: str) -> dict[str, Any]:
    role = "entry" if name.startswith("e") else "sidecar"
    common = {"address": "x:1", "zone": name[1:], "region": "one", "role": role}
    return common | ({"workloads": ["w"]} if role == "sidecar" else {})


def _catalogue() -> dict[str, Any]:
    workload = {
        "owner": "o",
        "kind": "model",
        "class": "interactive",
        "cold_limit": COLD_LIMIT,
        "warm_limit": 8,
    }
    return {"account/o": {"key_sha256": [ACCOUNT]}, "workload/w": workload}
