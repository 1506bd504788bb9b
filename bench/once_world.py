"""Run entries and sidecars of one workload over a faulty network, in one process.

Time is simulated. Every process has its own clock, so that a clock value sent to
another process by mistake is detected. The oracle is three dictionaries: requests,
runs, and keys reported as not run.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from immutables import Map

from nutmegslip_decisions import once
from nutmegslip_decisions.model import NEVER_MS, Host, Role, Roster
from nutmegslip_decisions.once import OutcomeKind

WORKLOAD = "push"
OPTIONS = once.OnceOptions(
    retention_ms=20_000,
    margin_ms=8_000,
    stage_timeout_ms=100,
    attempt_timeout_ms=800,
    lag_ms=3_500,
    claim_ms=1_000,
    rejected_retry_ms=200,
)
LEASE_MS = 2_000
RENEW_MS = 500
CONFIG_LAG_MS = 1_000
LINK_MS = 1
BUSY_TICK_MS = 50
IDLE_TICK_MS = 500


class GuaranteeViolatedError(AssertionError):
    """A guarantee to a caller is violated."""


@dataclass
class Process:
    """The process of one host: dead, running or frozen."""

    host: str
    role: Role
    clock_ms: int
    generation: int = 0
    alive: bool = False
    frozen: bool = False
    cut_off: bool = False
    out: bool = False
    tick_at_ms: int = NEVER_MS
    state: Any = None
    queue: list[Callable[[int], Any]] = field(default_factory=list)


@dataclass
class Request:
    """One request of a caller and its outcome."""

    key: str
    entry: str
    generation: int
    sent_ms: int
    deadline_ms: int
    outcome: once.Answered | None = None
    answered_ms: int = 0


@dataclass
class Run:
    """One run at an upstream."""

    host: str
    started_ms: int
    answer: once.Answer


class World:
    """Processes, network, upstreams and the oracle."""

    def __init__(
        self,
        seed: int,
        entries: int = 3,
        sidecars: int = 3,
        options: once.OnceOptions = OPTIONS,
        warm_up_ms: int | None = None,
        first_start: bool = False,
    ):
        self.random = random.Random(seed)
        self.options = options
        self.now_ms = 0
        self.cases: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = {}
        self.not_run: dict[str, int] = {}
        self.blocked: set[frozenset[str]] = set()
        self._known_down: set[frozenset[str]] = set()
        self.frozen_predecessors: list[Process] = []
        self.silent = False
        self.link_timeout_ms: int | None = None
        self.loss_rate = self.repeat_rate = 0.0
        self.spike_ms = 0
        self.not_sent_rate = self.cut_off_rate = 0.0
        self.run_ms = 5
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.processes: dict[str, Process] = {}
        self.rosters: list[tuple[int, Roster]] = []
        names = {f"e{n}": Role.ENTRY for n in range(entries)}
        names |= {f"s{n}": Role.SIDECAR for n in range(sidecars)}
        self.listed: dict[str, Role] = {}
        self.publish(names)
        for host in names:
            self.start(host, first_start)
        duration_ms = options.memory_ms + 2_000 if warm_up_ms is None else warm_up_ms
        self.advance(duration_ms)

    # Faults and operator edits.

    def publish(self, hosts: dict[str, Role]) -> None:
        """Publish a new list of hosts."""
        self.listed = dict(hosts)
        listed = Map(
            {
                name: Host(
                    name, role, name, _zone(name), "r", workloads=_workloads(role)
                )
                for name, role in hosts.items()
            }
        )
        self.rosters.append((self.now_ms, Roster(len(self.rosters) + 1, listed)))

    def start(self, host: str, first_start: bool = False) -> None:
        """Start a process with empty state."""
        role = self.listed.get(host) or self.processes[host].role
        old = self.processes.get(host)
        clock_ms = self.random.randrange(10**9) - self.now_ms
        process = Process(
            host, role, clock_ms, generation=old.generation + 1 if old else 1
        )
        new = once.new_entry if role is Role.ENTRY else once.new_sidecar
        process.alive = True
        if old and old.alive and old.frozen:
            # The old process stays frozen while its successor runs.
            self.frozen_predecessors.append(old)
        process.out = old.out if old else False
        process.cut_off = old.cut_off if old else False
        process.state = new(
            host,
            f"{host}.{process.generation}",
            self.now_ms + clock_ms,
            self.options,
            first_start=first_start,
        )
        self.processes[host] = process
        self._renew(process)
        self.open_links(host)

    def kill(self, host: str) -> None:
        """Kill a process; its state is lost."""
        process = self.processes[host]
        process.alive = False
        if self.link_timeout_ms is not None:
            for peer in self.processes:
                self._after(
                    self.link_timeout_ms, partial(self._report_link_down, peer, host)
                )

    def stop(self, host: str, deadline_ms: int = 3_000) -> None:
        """Stop a process gracefully; it ends with its ``Stopped`` effect."""
        process = self.processes[host]
        until_ms = self.now_ms + process.clock_ms + deadline_ms
        self._handle_event(process, partial(once.StopRequested, deadline_ms=until_ms))

    def freeze(self, host: str) -> None:
        """Pause a process; its events wait until it resumes."""
        self.processes[host].frozen = True

    def resume(self, host: str) -> None:
        """Resume the frozen processes of a host; they handle queued events first."""
        for process in (self.processes[host], *self.frozen_predecessors):
            if process.host == host and process.frozen:
                self._resume(process)

    def _resume(self, process: Process) -> None:
        process.frozen = False
        queue, process.queue = process.queue, []
        for make_event in (*queue, once.Tick):
            self._handle_event(process, make_event)

    def block(self, one: str, other: str) -> None:
        """Cut the link between two hosts.

        Both are notified after ``link_timeout_ms``, if that is set.
        """
        self.blocked.add(frozenset((one, other)))
        if self.link_timeout_ms is not None:
            self._after(
                self.link_timeout_ms, partial(self._report_link_down, one, other)
            )

    def _report_link_down(self, one: str, other: str) -> None:
        pair = frozenset((one, other))
        if pair not in self.blocked and all(self.processes[h].alive for h in pair):
            return
        self._known_down.add(pair)
        for host, peer in ((one, other), (other, one)):
            self._handle_event(
                self.processes[host], partial(once.PeerUnreachable, host=peer)
            )

    def heal(self) -> None:
        """Restore every cut link."""
        hosts = {host for pair in self.blocked for host in pair}
        self.blocked.clear()
        for host in sorted(hosts):
            self.open_links(host)

    def open_links(self, host: str) -> None:
        """Send the first message of each link of a host."""
        self._known_down = {pair for pair in self._known_down if host not in pair}
        for other in sorted(self.processes):
            pair = (host, other)
            sidecar, entry = pair if self._is_sidecar(host) else pair[::-1]
            if self._is_sidecar(sidecar) and not self._is_sidecar(entry):
                self._open_link(sidecar, entry)

    def _open_link(self, sidecar: str, entry: str) -> None:
        process = self.processes[sidecar]
        if process.alive and not process.frozen:
            clock_ms = self.now_ms + process.clock_ms
            beat = once.sidecar_heartbeat(process.state, clock_ms)
            self._send(process, entry, beat)

    # Callers.

    def submit(
        self,
        key: str,
        entry: str,
        deadline_ms: int = 2_000,
        avoid: frozenset = frozenset(),
    ) -> str | None:
        """Send a request through an entry; return its number if the entry runs."""
        process = self.processes[entry]
        if not process.alive:
            return None
        number = f"{process.state.incarnation}#{next(self._count)}"
        self.requests[number] = Request(
            key, entry, process.generation, self.now_ms, self.now_ms + deadline_ms
        )
        self._count_retry(key, entry)
        until_ms = self.now_ms + deadline_ms
        self._handle_event(
            process,
            lambda now: once.Submitted(
                now,
                number,
                WORKLOAD,
                key,
                f"body of {key}",
                b"",
                until_ms + process.clock_ms,
                avoid,
            ),
        )
        return number

    # Time.

    def advance(self, duration_ms: int) -> None:
        """Advance time."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms
        self._check_deadlines()

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._count), action))

    # Processes.

    def _tick(self, process: Process) -> None:
        if not process.alive or self.now_ms != process.tick_at_ms:
            return
        process.tick_at_ms = NEVER_MS
        if not process.frozen:
            self._handle_event(process, once.Tick)
        self._schedule_tick(process, IDLE_TICK_MS)

    def _schedule_tick(self, process: Process, delay_ms: int) -> None:
        """Schedule the next tick after the delay at the latest."""
        state = process.state
        busy = state.open if process.role is Role.ENTRY else state.pending
        active = state.is_active(self.now_ms + process.clock_ms)
        if busy or not active or state.stop_deadline_ms is not None:
            delay_ms = BUSY_TICK_MS
        if self.now_ms + delay_ms < process.tick_at_ms:
            process.tick_at_ms = self.now_ms + delay_ms
            self._after(delay_ms, partial(self._tick, process))

    def _renew(self, process: Process) -> None:
        """Update configuration and lease of a process, unless it is cut off."""
        if not process.alive:
            return
        if not (process.cut_off or process.frozen):
            self._update_configuration(process)
        self._after(RENEW_MS, partial(self._renew, process))

    def _update_configuration(self, process: Process) -> None:
        as_of_ms = self.now_ms - self.random.randrange(CONFIG_LAG_MS + 1)
        # A new process reads from several peers and takes the newest version.
        if process.state.members.version < 0:
            as_of_ms = self.now_ms
        version = process.state.members.version
        seen = [r for at_ms, r in self.rosters if at_ms <= as_of_ms]
        seen = seen[-1:] if version < 0 else [r for r in seen if r.version > version]
        for roster in seen:
            self._handle_event(process, partial(once.RosterChanged, roster=roster))
        if process.role is Role.SIDECAR:
            self._handle_event(
                process,
                lambda now: once.PermissionChanged(
                    now, now + LEASE_MS, not process.out
                ),
            )

    def _handle_event(self, process: Process, make_event: Callable[[int], Any]) -> None:
        if not process.alive:
            return
        if process.frozen:
            process.queue.append(make_event)
            return
        event = make_event(self.now_ms + process.clock_ms)
        self._count_event(process, event)
        entry = process.role is Role.ENTRY
        reduce = once.reduce_entry if entry else once.reduce_sidecar
        before = process.state
        process.state, effects = reduce(before, event)
        if process.state.transfer.is_claimed and not before.transfer.is_claimed:
            self.cases["memory claimed"] += 1
        for effect in effects:
            self._run_effect(process, before, effect)
        self._schedule_tick(process, IDLE_TICK_MS)

    def _run_effect(self, process: Process, before: Any, effect: Any) -> None:
        match effect:
            case once.SendToPeer(host, message):
                self._send(process, host, message)
            case once.StartUpstream(key):
                self._count_start(process, before, key)
                self._run_upstream(process, key)
            case once.Answered():
                self._record_answer(process, effect)
            case once.Stopped():
                self._finish_stop(process)

    def _finish_stop(self, process: Process) -> None:
        if not process.alive:
            return
        self.cases["stopped gracefully"] += 1
        process.alive = False
        if process is self.processes[process.host]:
            # It closes its links, so its peers notice immediately.
            for peer in sorted(set(self.processes) - {process.host}):
                self._after(
                    LINK_MS, partial(self._report_link_down, peer, process.host)
                )

    # Network.

    def _send(self, process: Process, host: str, message: Any) -> None:
        self.messages[type(message).__name__] += 1
        target = self.processes.get(host)
        cut = frozenset((process.host, host)) in self.blocked
        if target is None or not target.alive or cut:
            self._after(
                LINK_MS, partial(self._handle_undelivered, process, host, message)
            )
            return
        if self.random.random() < self.loss_rate:
            return
        copies = 2 if self.random.random() < self.repeat_rate else 1
        for _ in range(copies):
            delay_ms = LINK_MS + self.random.randrange(self.spike_ms + 1)
            self._after(delay_ms, partial(self._deliver, process.host, host, message))

    def _handle_undelivered(self, process: Process, host: str, message: Any) -> None:
        if self.silent and frozenset((process.host, host)) not in self._known_down:
            return
        if isinstance(message, once.StartRequest) and self.random.random() < 0.5:
            self._handle_event(
                process,
                partial(once.SendFailed, host=host, request=message.request),
            )
            return
        self._handle_event(process, partial(once.PeerUnreachable, host=host))

    def _deliver(self, source: str, host: str, message: Any) -> None:
        if frozenset((source, host)) in self.blocked:
            return
        self._handle_event(
            self.processes[host], partial(once.Received, message=message)
        )

    # Upstreams and the oracle.

    def _run_upstream(self, process: Process, key: str) -> None:
        chance = self.random.random()
        if chance < self.not_sent_rate:
            outcome = partial(once.UpstreamNotSent, key=key)
            self._after(1, partial(self._handle_event, process, outcome))
            return
        answer = once.Answer(200, "text/plain", f"{key}/{next(self._count)}".encode())
        runs = self.runs.setdefault(key, [])
        for earlier in runs:
            if self.now_ms - earlier.started_ms <= self.options.retention_ms:
                raise GuaranteeViolatedError(
                    f"{key} ran on {earlier.host} and again on {process.host}"
                )
        runs.append(Run(process.host, self.now_ms, answer))
        if self.now_ms - self.not_run.get(key, -(10**9)) <= self.options.retention_ms:
            raise GuaranteeViolatedError(f"{key} ran after it was refused as not run")
        requests = [r for r in self.requests.values() if r.key == key]
        if all(_outcome_kind(r) is OutcomeKind.NOT_SENT for r in requests):
            raise GuaranteeViolatedError(
                f"{key} ran though none of its requests was sent"
            )
        cut = chance < self.not_sent_rate + self.cut_off_rate
        outcome = (
            partial(once.UpstreamCutOff, key=key)
            if cut
            else partial(once.UpstreamFinished, key=key, answer=answer)
        )
        delay_ms = 1 + self.random.randrange(2 * self.run_ms)
        self._after(delay_ms, partial(self._handle_event, process, outcome))

    def _record_answer(self, process: Process, effect: once.Answered) -> None:
        request = self.requests[effect.request]
        if request.outcome is not None:
            raise GuaranteeViolatedError(f"{effect.request} was answered twice")
        request.outcome = effect
        request.answered_ms = self.now_ms
        self.cases[f"answered {effect.kind}"] += 1
        runs = self.runs.get(request.key, [])
        recent_ms = self.now_ms - self.options.retention_ms
        recent = [run for run in runs if run.started_ms >= recent_ms]
        match effect.kind:
            case OutcomeKind.NOT_RUN:
                self.not_run[request.key] = self.now_ms
                if recent:
                    raise GuaranteeViolatedError(
                        f"{request.key} ran and is reported as not run"
                    )
            case OutcomeKind.FINISHED:
                if effect.answer not in [run.answer for run in runs]:
                    raise GuaranteeViolatedError(
                        f"{request.key} got an answer of no run"
                    )

    def _check_deadlines(self) -> None:
        for number, request in self.requests.items():
            process = self.processes[request.entry]
            lost = (
                process.generation != request.generation
                or not process.alive
                or process.frozen
            )
            late = self.now_ms > request.deadline_ms + BUSY_TICK_MS
            if request.outcome is None and late and not lost:
                raise GuaranteeViolatedError(f"{number} has no answer by its deadline")

    # Counts of the cases reached.

    def _count_retry(self, key: str, entry: str) -> None:
        others = [r for r in self.requests.values() if r.key == key]
        if any(r.entry != entry for r in others):
            self.cases["retry through another entry"] += 1
            memory_ms = self.options.memory_ms
            for p in self.processes.values():
                if not self._is_sidecar(p.host) or not p.alive or p.generation == 1:
                    continue
                age_ms = self.now_ms + p.clock_ms - p.state.started_ms
                if any(
                    age_ms < min(memory_ms, self.now_ms - r.sent_ms) for r in others
                ):
                    self.cases["retry through another entry after a restart"] += 1

    def _count_event(self, process: Process, event: Any) -> None:
        match event:
            case once.Received(now, once.StartRequest() as request):
                self._count_start_request(process, request, now)
            case once.Received(_, once.TombstoneReply() as reply):
                self.cases[f"tombstone reply {reply.verdict}"] += 1
            case once.Received(_, once.StartReply() as reply):
                self.cases[f"start reply {reply.verdict}"] += 1
            case once.Received(_, once.AttestReply() as reply) if reply.holders:
                self.cases["attested with holders"] += 1

    def _count_start_request(
        self, process: Process, request: once.StartRequest, now_ms: int
    ) -> None:
        state = process.state
        if request.to_incarnation != state.incarnation:
            self.cases["request for an earlier incarnation"] += 1
        if now_ms >= request.deadline_ms:
            self.cases["late copy past its deadline"] += 1
        if now_ms >= state.lease_until_ms:
            self.cases["request at a sidecar without lease"] += 1
        record = state.records.get(request.key)
        if record is not None:
            self.cases[f"request finds {type(record).__name__}"] += 1
        for other in self.processes.values():
            if other is process or not self._is_sidecar(other.host):
                continue
            if request.key in other.state.pending:
                self.cases["two sidecars asked at once"] += 1

    def _count_start(self, process: Process, before: Any, key: str) -> None:
        pending = before.pending.get(key)
        if pending is None:
            self.cases["started alone"] += 1
        elif pending.gather.asks_entries:
            self.cases["started on attestations of entries"] += 1
        elif pending.gather.sender_is_guard:
            self.cases["started on promises of sidecars"] += 1
        else:
            self.cases["started for an entry that is no guard"] += 1

    def _is_sidecar(self, host: str) -> bool:
        return self.processes[host].role is Role.SIDECAR


def _zone(host: str) -> str:
    return f"z{int(host[1:]) % 3}"


def _workloads(role: Role) -> tuple[str, ...]:
    return (WORKLOAD,) if role is Role.SIDECAR else ()


def _outcome_kind(request: Request) -> OutcomeKind | None:
    return request.outcome.kind if request.outcome else None
