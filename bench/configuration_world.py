"""Run the configuration reducers of several processes on a simulated clock."""

import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from nutmegslip_decisions.configuration import (
    CatalogueInForce,
    Effect,
    Event,
    LeaseChanged,
    MessageReceived,
    Options,
    ReadService,
    Refused,
    RosterInForce,
    Send,
    ServiceAnswered,
    ServiceFailed,
    Source,
    Started,
    SyncState,
    Tick,
    may_take_work,
    new_state,
    reduce,
)

TICK_MS = 200
SEEDS_SMALL, SEEDS_LARGE = 16, 2  # seed peers of a process, by size of the world
SMALL_WORLD_HOSTS = 20
LOCAL_CLOCK_MAX_MS = 10**9


class Feed:
    """One simulated published source; a stale feed returns an old version."""

    def __init__(self) -> None:
        self.version = 0
        self.latest: dict[str, tuple[int, Any]] = {}
        self.log: list[tuple[int, str, Any]] = []
        self.stale_at: int | None = None

    def publish(self, edits: dict[str, Any]) -> int:
        """Publish one version that sets or removes keys."""
        self.version += 1
        for key, value in edits.items():
            self.latest[key] = (self.version, value)
            self.log.append((self.version, key, value))
        return self.version

    @property
    def returned_version(self) -> int:
        """Return the version that a read returns."""
        return self.version if self.stale_at is None else self.stale_at

    def response_body(self, after: int) -> bytes:
        """Return the body of the response to a read."""
        latest, version = self.latest, self.returned_version
        if self.stale_at is not None:
            latest = {k: (v, x) for v, k, x in self.log if v <= version}
        changes = [
            {"version": v, "key": key, "value": value}
            for key, (v, value) in sorted(latest.items(), key=lambda row: row[1][0])
            if v > after
        ]
        body = {"version": version, "oldest": 0, "changes": changes}
        return json.dumps(body).encode()


@dataclass
class Process:
    """One process; ``clock_ms`` is its local clock at world time zero."""

    options: Options
    state: SyncState
    clock_ms: int
    started_ms: int
    generation: int = 0
    frozen: bool = False
    deferred: list[Callable[[int], Event]] = field(default_factory=list)


class World:
    """Processes, with a faulty network and a faulty configuration service."""

    def __init__(self, hosts: dict[str, dict], seed: int, **options: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0
        self.feeds = {source: Feed() for source in Source}
        self.processes: dict[str, Process] = {}
        self.reached: Counter[str] = Counter()
        self.reads = self.messages = 0
        self.service_up = True
        self.service_delay_ms = 2
        self.delay_max_ms = 5
        self.drop_rate = self.repeat_rate = 0.0
        self.cut_links: set[frozenset[str]] = set()
        self.after_event: Callable[[str, SyncState, tuple[Effect, ...]], None] = (
            lambda name, before, effects: None
        )
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._options = options
        self._seeds = SEEDS_SMALL if len(hosts) <= SMALL_WORLD_HOSTS else SEEDS_LARGE
        for name, host in hosts.items():
            self.feeds[Source.HOSTS].publish({name: host})
        for name, host in hosts.items():
            self.start(name, host)

    def start(self, name: str, host: dict) -> None:
        """Start a process, or restart it with empty state."""
        old = self.processes.get(name)
        options = Options(
            name,
            host["zone"],
            host["region"],
            self.random.getrandbits(62),
            tuple(sorted(self.processes)[: self._seeds]),
            **self._options,
        )
        generation = old.generation + 1 if old else 0
        self.processes[name] = Process(
            options,
            new_state(options),
            self.random.randrange(LOCAL_CLOCK_MAX_MS),
            self.now_ms,
            generation,
        )
        self.deliver(name, generation, Started)
        self._schedule(
            self.random.randrange(TICK_MS), lambda: self._tick(name, generation)
        )

    def stop(self, name: str) -> None:
        """Remove a process permanently."""
        del self.processes[name]

    def freeze(self, name: str) -> None:
        """Pause a process; its events wait until it resumes."""
        self.processes[name].frozen = True

    def resume(self, name: str) -> None:
        """Resume a frozen process and deliver its deferred events."""
        process = self.processes[name]
        process.frozen = False
        deferred, process.deferred = process.deferred, []
        for make_event in deferred:
            self.deliver(name, process.generation, make_event)

    def local_ms(self, name: str) -> int:
        """Return the local clock of a process."""
        return self.processes[name].clock_ms + self.now_ms

    def holds_lease(self, name: str) -> bool:
        """Return whether a process would take new work now."""
        process = self.processes[name]
        return not process.frozen and may_take_work(process.state, self.local_ms(name))

    def run(self, duration_ms: int) -> None:
        """Advance time, and run every action that becomes due."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def deliver(
        self, name: str, generation: int, make_event: Callable[[int], Event]
    ) -> None:
        """Deliver an event to a process, unless it was restarted or stopped since."""
        process = self.processes.get(name)
        if process is None or process.generation != generation:
            return
        if process.frozen:
            process.deferred.append(make_event)
            return
        before = process.state
        process.state, effects = reduce(before, make_event(self.local_ms(name)))
        for effect in effects:
            self._run_effect(name, generation, effect)
        self.after_event(name, before, effects)

    def _tick(self, name: str, generation: int) -> None:
        process = self.processes.get(name)
        if process is None or process.generation != generation:
            return
        if not process.frozen:
            self.deliver(name, generation, Tick)
        self._schedule(TICK_MS, lambda: self._tick(name, generation))

    def _run_effect(self, name: str, generation: int, effect: Effect) -> None:
        match effect:
            case Send(host, message):
                self._send(name, host, message)
            case ReadService(source, after, wait_ms):
                self.reads += 1
                until_ms = self.now_ms + wait_ms
                self._schedule(
                    self.service_delay_ms,
                    lambda: self._answer_read(
                        name, generation, source, after, until_ms
                    ),
                )
            case CatalogueInForce() | RosterInForce() | Refused() | LeaseChanged():
                self.reached[type(effect).__name__] += 1

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self.messages += 1
        copies = 1 + (self.random.random() < self.repeat_rate)
        for _ in range(copies):
            if self.random.random() < self.drop_rate:
                continue
            delay_ms = self.random.randint(0, self.delay_max_ms)
            self._schedule(delay_ms, lambda: self._receive(sender, receiver, message))

    def _receive(self, sender: str, receiver: str, message: Any) -> None:
        process = self.processes.get(receiver)
        if process is None or frozenset((sender, receiver)) in self.cut_links:
            return
        self.deliver(
            receiver,
            process.generation,
            lambda now_ms: MessageReceived(now_ms, sender, message),
        )

    def _answer_read(
        self, name: str, generation: int, source: Source, after: int, until_ms: int
    ) -> None:
        if not self.service_up or frozenset((name, "service")) in self.cut_links:
            self.deliver(name, generation, lambda now_ms: ServiceFailed(now_ms, source))
            return
        feed = self.feeds[source]
        if feed.returned_version <= after and self.now_ms < until_ms:
            self._schedule(
                20, lambda: self._answer_read(name, generation, source, after, until_ms)
            )
            return
        body = feed.response_body(after)
        self.deliver(
            name, generation, lambda now_ms: ServiceAnswered(now_ms, source, body)
        )

    def _schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._queue, entry)
