"""Compare choice policies and measure the goodput of direct serving by load.

The reducers of several entries, which exchange load reports every 100 ms, send to
simulated groups of lock-step ranks that follow the published engine model.
"""

import heapq
import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import fmean, quantiles
from typing import NamedTuple
from unittest import mock

import defopt
from immutables import Map

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    Account,
    CallerRequest,
    Configuration,
    ConfigurationPublished,
    Effect,
    Event,
    GroupRank,
    ListingRead,
    Options,
    PaceMeasured,
    PeerReported,
    Refuse,
    RequestArrived,
    RequestEnded,
    RequestKind,
    RequestLimits,
    ResponseStarted,
    Route,
    Send,
    Service,
    State,
    Target,
    Tick,
    Upstream,
    load_report,
)
from nutmegslip_decisions.direct import _choice as choice

# The size that the larger of the users' sites grows to.
ENTRIES, GROUPS, RANKS, SLOTS_PER_RANK = 15, 3, 24, 5
BASE_RATE_PER_S = 134.0  # streams per second of that site on a quiet day
# Engine steps per pass and their duration, as published.
STEPS_PER_PASS, STEP_MS, STEP_PER_REQUEST_MS = 6, 7.0, 0.71
READ_TOKENS_PER_MS, CHUNK_TOKENS = 61.2, 512
MEAN_PROMPT_TOKENS, MEAN_EVENTS = 800, 23  # per request; exponential
FIRST_EVENT_OBJECTIVE_MS, GAP_OBJECTIVE_MS, DEADLINE_MS = 406, 120, 8_100
ACCOUNTS = 24
REPORT_INTERVAL_MS, TICK_INTERVAL_MS, PACE_INTERVAL_MS = 100, 50, 250
RUN_DURATION_MS, WARMUP_MS = 16_000, 4_000
LOADS = (1.0, 1.5, 2.0, 4.0)
LARGEST_SHARE = 0.1  # of requests, reported as the largest


@dataclass
class Call:
    """One caller's request over all its attempts."""

    number: int
    account: int
    sent_ms: int
    prompt_tokens: int
    events: int
    attempts: int = 0
    first_ms: int | None = None
    last_ms: int = 0
    remaining_events: int = 0
    unread_tokens: int = 0
    longest_gap_ms: int = 0
    refused_after_ms: int | None = None
    done_ms: int | None = None

    @property
    def is_on_time(self) -> bool:
        """Return whether the response completed and met both latency objectives."""
        return (
            self.done_ms is not None
            and self.first_ms - self.sent_ms <= FIRST_EVENT_OBJECTIVE_MS
            and self.longest_gap_ms <= GAP_OBJECTIVE_MS
        )


@dataclass
class Rank:
    """Requests that a rank is serving and those that it queues."""

    active: list["Job"] = field(default_factory=list)
    waiting: list["Job"] = field(default_factory=list)


class Job(NamedTuple):
    """A call with the entry that sent it and its ticket there."""

    entry: int
    ticket: int
    call: Call


class Figures(NamedTuple):
    """Results of one run."""

    policy: str
    load: float
    offered_per_s: float
    on_time_per_s: float
    served_share: float
    refusal_p95_ms: float
    least_account_share: float
    largest_share: float
    busiest_rank: int


def main(
    *, seed: int = 1, out: pathlib.Path = pathlib.Path("bench/direct-load.json")
) -> int:
    """Write goodput and fairness by policy and load.

    :param seed: seed of arrivals, sizes and entries
    :param out: JSON file to write
    """
    figures = [
        Simulation(seed, load).run(name, policy)
        for name, policy in POLICIES.items()
        for load in LOADS
        if name == PRODUCT_POLICY or load < 2.0
    ]
    out.write_text(json.dumps([row._asdict() for row in figures], indent=1) + "\n")
    for row in figures:
        print(row)
    return 0


class Simulation:
    """Discrete-event simulation of entries and groups."""

    def __init__(self, seed: int, load: float) -> None:
        self._rng = Random(seed)
        self._load = load
        self._now_ms = 0
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = count()
        self._tickets = count(1)
        self._calls: list[Call] = []
        self._calls_by_ticket: dict[tuple[int, int], Call] = {}
        self._ranks = {name: Rank() for name in _upstream_ids()}
        self._gaps: dict[str, list[int]] = defaultdict(list)
        self._busiest = 0
        self._states = [_initial_state(number) for number in range(ENTRIES)]

    def run(self, name: str, policy: Callable) -> Figures:
        """Run the simulation with a policy and return its results."""
        with mock.patch.object(choice, "_least_loaded", policy):
            for number in range(ENTRIES):
                self._schedule(
                    self._rng.randrange(REPORT_INTERVAL_MS), self._report(number)
                )
                self._schedule(
                    self._rng.randrange(TICK_INTERVAL_MS), self._tick(number)
                )
                self._schedule(
                    self._rng.randrange(PACE_INTERVAL_MS), self._pace(number)
                )
            for group in range(GROUPS):
                self._schedule(0, self._run_passes(f"g{group}"))
            self._schedule(0, self._arrive)
            while self._scheduled and self._now_ms < RUN_DURATION_MS + DEADLINE_MS:
                self._now_ms, _, action = heapq.heappop(self._scheduled)
                action()
        return self._figures(name)

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._scheduled, (at_ms, next(self._sequence), action))

    def _arrive(self) -> None:
        if self._now_ms > RUN_DURATION_MS:
            return
        rng = self._rng
        call = Call(
            number=len(self._calls),
            account=min(int(rng.expovariate(0.15)), ACCOUNTS - 1),
            sent_ms=self._now_ms,
            prompt_tokens=int(rng.expovariate(1 / MEAN_PROMPT_TOKENS)) + 40,
            events=int(rng.expovariate(1 / MEAN_EVENTS)) + 1,
        )
        self._calls.append(call)
        self._send_attempt(call)
        gap_ms = rng.expovariate(self._load * BASE_RATE_PER_S / 1_000)
        self._schedule(self._now_ms + max(round(gap_ms), 0), self._arrive)

    def _send_attempt(self, call: Call) -> None:
        call.attempts += 1
        entry, ticket = self._rng.randrange(ENTRIES), next(self._tickets)
        self._calls_by_ticket[entry, ticket] = call
        deadline_ms = call.sent_ms + DEADLINE_MS
        request = CallerRequest(
            ticket,
            f"{call.number}-{call.attempts}",
            "h",
            "/v/1",
            f"k{call.account}",
            deadline_ms,
        )
        self._apply(entry, RequestArrived(self._now_ms, request))

    def _apply(self, entry: int, event: Event) -> None:
        self._states[entry], effects = direct.reduce(self._states[entry], event)
        for effect in effects:
            self._execute(entry, effect)

    def _execute(self, entry: int, effect: Effect) -> None:
        match effect:
            case Send(request, upstream):
                call = self._calls_by_ticket[entry, request.ticket]
                call.unread_tokens, call.remaining_events = (
                    call.prompt_tokens,
                    call.events,
                )
                rank = self._ranks[upstream.id]
                rank.waiting.append(Job(entry, request.ticket, call))
                total = len(rank.waiting) + len(rank.active)
                self._busiest = max(self._busiest, total)
            case Refuse(ticket, retry_after_ms=after_ms):
                call = self._calls_by_ticket[entry, ticket]
                call.refused_after_ms = self._now_ms - call.sent_ms
                if call.attempts == 1 and after_ms:
                    retry_at_ms = self._now_ms + after_ms
                    self._schedule(retry_at_ms, lambda: self._send_attempt(call))

    def _run_passes(self, group: str) -> Callable[[], None]:
        ranks = [rank for name, rank in self._ranks.items() if name.startswith(group)]

        def run() -> None:
            for rank in ranks:
                while rank.waiting and len(rank.active) < SLOTS_PER_RANK:
                    rank.active.append(rank.waiting.pop(0))
            decoding = max(len(rank.active) for rank in ranks)
            read_tokens = max(_read_prompts(rank) for rank in ranks)
            pass_ms = STEPS_PER_PASS * (STEP_MS + STEP_PER_REQUEST_MS * decoding)
            pass_ms += read_tokens / READ_TOKENS_PER_MS
            end_ms = self._now_ms + round(pass_ms)
            self._schedule(end_ms, lambda: self._emit(group, ranks))
            self._schedule(end_ms, run)

        return run

    def _emit(self, group: str, ranks: list[Rank]) -> None:
        for rank in ranks:
            for job in [job for job in rank.active if not job.call.unread_tokens]:
                self._deliver_event(group, job)
                if not job.call.remaining_events:
                    rank.active.remove(job)
                    job.call.done_ms = self._now_ms
                    self._apply(job.entry, RequestEnded(self._now_ms, job.ticket, True))

    def _deliver_event(self, group: str, job: Job) -> None:
        call = job.call
        call.remaining_events -= 1
        if call.first_ms is None:
            call.first_ms = self._now_ms
            self._apply(job.entry, ResponseStarted(self._now_ms, job.ticket))
        else:
            gap_ms = self._now_ms - call.last_ms
            call.longest_gap_ms = max(call.longest_gap_ms, gap_ms)
            self._gaps[f"{job.entry}{group}"].append(gap_ms)
        call.last_ms = self._now_ms

    def _report(self, entry: int) -> Callable[[], None]:
        def run() -> None:
            report = Map(load_report(self._states[entry]))
            for other in range(ENTRIES):
                if other != entry:
                    self._apply(other, PeerReported(self._now_ms, f"e{entry}", report))
            self._schedule(self._now_ms + REPORT_INTERVAL_MS, run)

        return run

    def _tick(self, entry: int) -> Callable[[], None]:
        def run() -> None:
            self._apply(entry, Tick(self._now_ms))
            self._schedule(self._now_ms + TICK_INTERVAL_MS, run)

        return run

    def _pace(self, entry: int) -> Callable[[], None]:
        def run() -> None:
            for group in (f"g{number}" for number in range(GROUPS)):
                gaps = self._gaps.pop(f"{entry}{group}", ())
                if gaps:
                    event = PaceMeasured(self._now_ms, "s", group, fmean(gaps))
                    self._apply(entry, event)
            self._schedule(self._now_ms + PACE_INTERVAL_MS, run)

        return run

    def _figures(self, policy: str) -> Figures:
        calls = [call for call in self._calls if call.sent_ms >= WARMUP_MS]
        seconds = (RUN_DURATION_MS - WARMUP_MS) / 1_000
        served = [call for call in calls if call.done_ms is not None]
        share = len(served) / len(calls)
        largest = sorted(calls, key=lambda call: call.prompt_tokens + 10 * call.events)
        largest = largest[-int(LARGEST_SHARE * len(calls)) :]
        offered = Counter(call.account for call in calls)
        completed = Counter(call.account for call in served)
        refusals_ms = [
            c.refused_after_ms for c in calls if c.refused_after_ms is not None
        ]
        early_refusals_ms = [ms for ms in refusals_ms if ms <= FIRST_EVENT_OBJECTIVE_MS]
        return Figures(
            policy,
            self._load,
            round(len(calls) / seconds, 1),
            round(sum(call.is_on_time for call in calls) / seconds, 1),
            round(share, 3),
            quantiles(early_refusals_ms, n=20)[-1]
            if len(early_refusals_ms) > 1
            else 0.0,
            round(
                min(completed[a] / n for a, n in offered.items() if n >= 20) / share, 2
            ),
            round(
                sum(c.done_ms is not None for c in largest) / len(largest) / share, 2
            ),
            self._busiest,
        )


def _read_prompts(rank: Rank) -> int:
    """Prefill prompts in order, up to a chunk per step; return the tokens read."""
    remaining_tokens = CHUNK_TOKENS * STEPS_PER_PASS
    for job in rank.active:
        read = min(job.call.unread_tokens, remaining_tokens)
        job.call.unread_tokens -= read
        remaining_tokens -= read
    return CHUNK_TOKENS * STEPS_PER_PASS - remaining_tokens


def _initial_state(number: int) -> State:
    route = Route(
        "v",
        "h",
        "/v/",
        RequestKind.STREAM,
        DEADLINE_MS,
        FIRST_EVENT_OBJECTIVE_MS,
        1,
        (Target("s", 1),),
        attempts=2,
        resumable=True,
        gap_ms=GAP_OBJECTIVE_MS,
    )
    accounts = Map({f"k{index}": Account(f"a{index}") for index in range(ACCOUNTS)})
    services = Map({"s": Service("s")})
    published = Configuration(1, (route,), services, RequestLimits(), accounts)
    upstreams = tuple(
        Upstream(
            name,
            "s",
            "127.0.0.1",
            1,
            "a",
            SLOTS_PER_RANK,
            rank=GroupRank(name[:2], 1, index % RANKS, True, RANKS),
        )
        for index, name in enumerate(_upstream_ids())
    )
    state = State(Options(f"e{number}", entries=ENTRIES, budget_slack=126.0))
    state, _ = direct.reduce(state, ConfigurationPublished(0, published))
    return direct.reduce(state, ListingRead(0, upstreams))[0]


def _upstream_ids() -> list[str]:
    return [f"g{group}-{rank:02}" for group in range(GROUPS) for rank in range(RANKS)]


PRODUCT_POLICY = "twelve drawn"
_turns = count()
POLICIES: dict[str, Callable] = {
    "round robin": lambda candidates, _: candidates[next(_turns) % len(candidates)],
    "least reported": lambda candidates, _: min(
        candidates, key=lambda candidate: candidate.load
    ),
    "two drawn": lambda candidates, request: min(
        Random(request.request_id).sample(candidates, min(2, len(candidates))),
        key=lambda candidate: candidate.load,
    ),
    PRODUCT_POLICY: choice._least_loaded,
}


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
