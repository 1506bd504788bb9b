"""Compare choices and measure goodput of direct serving under rising load.

Real reducers of several entries, which tell each other their load each 100 ms, send to
groups of lock-stepped ranks that follow the published engine model.
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

ENTRIES, GROUPS, RANKS, SLOTS = 15, 3, 24, 5  # the larger of the users' grown sites
CALM_PER_S = 134.0  # streams a second on its calm day
STEPS, STEP_MS, STEP_PER_REQUEST_MS = 6, 7.0, 0.71  # a pass, as published
READ_TOKENS_PER_MS, CHUNK_TOKENS = 61.2, 512
PROMPT_TOKENS, EVENTS = 800, 23  # means of a request; sizes are exponential
OBJECTIVE_MS, GAP_MS, DEADLINE_MS = 406, 120, 8_100
ACCOUNTS = 24
REPORT_MS, TICK_MS, PACE_MS = 100, 50, 250
LENGTH_MS, WARM_MS = 16_000, 4_000
LOADS = (1.0, 1.5, 2.0, 4.0)
LARGEST = 0.1  # the share of requests that count as the largest


@dataclass
class Call:
    """Follow one caller's request over its tries."""

    number: int
    account: int
    sent_ms: int
    prompt: int
    events: int
    tries: int = 0
    first_ms: int | None = None
    last_ms: int = 0
    left: int = 0
    unread: int = 0
    longest_gap_ms: int = 0
    refused_after_ms: int | None = None
    done_ms: int | None = None

    @property
    def is_on_time(self) -> bool:
        """Return whether the answer was whole, began in time and kept its pace."""
        return (
            self.done_ms is not None
            and self.first_ms - self.sent_ms <= OBJECTIVE_MS
            and self.longest_gap_ms <= GAP_MS
        )


@dataclass
class Rank:
    """Hold what a rank answers and what waits there."""

    active: list["Job"] = field(default_factory=list)
    waiting: list["Job"] = field(default_factory=list)


class Job(NamedTuple):
    """Join a call to the entry and ticket that sent it."""

    entry: int
    ticket: int
    call: Call


class Figures(NamedTuple):
    """Hold what one run showed."""

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
    :param out: file for the figures
    """
    figures = [
        Site(seed, load).run(name, policy)
        for name, policy in POLICIES.items()
        for load in LOADS
        if name == OURS or load < 2.0
    ]
    out.write_text(json.dumps([one._asdict() for one in figures], indent=1) + "\n")
    for one in figures:
        print(one)
    return 0


class Site:
    """Run entries and groups under one clock."""

    def __init__(self, seed: int, load: float) -> None:
        self._draw = Random(seed)
        self._load = load
        self._now_ms = 0
        self._later: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._tickets = count(1)
        self._calls: list[Call] = []
        self._tried: dict[tuple[int, int], Call] = {}
        self._ranks = {name: Rank() for name in _upstream_ids()}
        self._gaps: dict[str, list[int]] = defaultdict(list)
        self._busiest = 0
        self._states = [_entry(number) for number in range(ENTRIES)]

    def run(self, name: str, policy: Callable) -> Figures:
        """Return the figures of a policy."""
        with mock.patch.object(choice, "_least_loaded", policy):
            for number in range(ENTRIES):
                self._at(self._draw.randrange(REPORT_MS), self._report(number))
                self._at(self._draw.randrange(TICK_MS), self._tick(number))
                self._at(self._draw.randrange(PACE_MS), self._pace(number))
            for group in range(GROUPS):
                self._at(0, self._pass(f"g{group}"))
            self._at(0, self._arrive)
            while self._later and self._now_ms < LENGTH_MS + DEADLINE_MS:
                self._now_ms, _, act = heapq.heappop(self._later)
                act()
        return self._figures(name)

    def _at(self, at_ms: int, act: Callable[[], None]) -> None:
        heapq.heappush(self._later, (at_ms, next(self._order), act))

    def _arrive(self) -> None:
        if self._now_ms > LENGTH_MS:
            return
        draw = self._draw
        call = Call(
            number=len(self._calls),
            account=min(int(draw.expovariate(0.15)), ACCOUNTS - 1),
            sent_ms=self._now_ms,
            prompt=int(draw.expovariate(1 / PROMPT_TOKENS)) + 40,
            events=int(draw.expovariate(1 / EVENTS)) + 1,
        )
        self._calls.append(call)
        self._try(call)
        gap_ms = draw.expovariate(self._load * CALM_PER_S / 1_000)
        self._at(self._now_ms + max(round(gap_ms), 0), self._arrive)

    def _try(self, call: Call) -> None:
        call.tries += 1
        entry, ticket = self._draw.randrange(ENTRIES), next(self._tickets)
        self._tried[entry, ticket] = call
        deadline_ms = call.sent_ms + DEADLINE_MS
        asked = CallerRequest(
            ticket,
            f"{call.number}-{call.tries}",
            "h",
            "/v/1",
            f"k{call.account}",
            deadline_ms,
        )
        self._take(entry, RequestArrived(self._now_ms, asked))

    def _take(self, entry: int, event: Event) -> None:
        self._states[entry], effects = direct.reduce(self._states[entry], event)
        for effect in effects:
            self._perform(entry, effect)

    def _perform(self, entry: int, effect: Effect) -> None:
        match effect:
            case Send(request, upstream):
                call = self._tried[entry, request.ticket]
                call.unread, call.left = call.prompt, call.events
                rank = self._ranks[upstream.id]
                rank.waiting.append(Job(entry, request.ticket, call))
                held = len(rank.waiting) + len(rank.active)
                self._busiest = max(self._busiest, held)
            case Refuse(ticket, retry_after_ms=after_ms):
                call = self._tried[entry, ticket]
                call.refused_after_ms = self._now_ms - call.sent_ms
                if call.tries == 1 and after_ms:
                    back_ms = self._now_ms + after_ms
                    self._at(back_ms, lambda: self._try(call))

    def _pass(self, group: str) -> Callable[[], None]:
        ranks = [rank for name, rank in self._ranks.items() if name.startswith(group)]

        def run() -> None:
            for rank in ranks:
                while rank.waiting and len(rank.active) < SLOTS:
                    rank.active.append(rank.waiting.pop(0))
            writing = max(len(rank.active) for rank in ranks)
            read = max(_read(rank) for rank in ranks)
            took_ms = STEPS * (STEP_MS + STEP_PER_REQUEST_MS * writing)
            took_ms += read / READ_TOKENS_PER_MS
            ends_ms = self._now_ms + round(took_ms)
            self._at(ends_ms, lambda: self._emit(group, ranks))
            self._at(ends_ms, run)

        return run

    def _emit(self, group: str, ranks: list[Rank]) -> None:
        for rank in ranks:
            for job in [job for job in rank.active if not job.call.unread]:
                self._event(group, job)
                if not job.call.left:
                    rank.active.remove(job)
                    job.call.done_ms = self._now_ms
                    self._take(job.entry, RequestEnded(self._now_ms, job.ticket, True))

    def _event(self, group: str, job: Job) -> None:
        call = job.call
        call.left -= 1
        if call.first_ms is None:
            call.first_ms = self._now_ms
            self._take(job.entry, ResponseStarted(self._now_ms, job.ticket))
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
                    self._take(other, PeerReported(self._now_ms, f"e{entry}", report))
            self._at(self._now_ms + REPORT_MS, run)

        return run

    def _tick(self, entry: int) -> Callable[[], None]:
        def run() -> None:
            self._take(entry, Tick(self._now_ms))
            self._at(self._now_ms + TICK_MS, run)

        return run

    def _pace(self, entry: int) -> Callable[[], None]:
        def run() -> None:
            for group in (f"g{number}" for number in range(GROUPS)):
                gaps = self._gaps.pop(f"{entry}{group}", ())
                if gaps:
                    event = PaceMeasured(self._now_ms, "s", group, fmean(gaps))
                    self._take(entry, event)
            self._at(self._now_ms + PACE_MS, run)

        return run

    def _figures(self, policy: str) -> Figures:
        calls = [call for call in self._calls if call.sent_ms >= WARM_MS]
        seconds = (LENGTH_MS - WARM_MS) / 1_000
        served = [call for call in calls if call.done_ms is not None]
        share = len(served) / len(calls)
        largest = sorted(calls, key=lambda call: call.prompt + 10 * call.events)
        largest = largest[-int(LARGEST * len(calls)) :]
        asked = Counter(call.account for call in calls)
        answered = Counter(call.account for call in served)
        refused = [c.refused_after_ms for c in calls if c.refused_after_ms is not None]
        first = [ms for ms in refused if ms <= OBJECTIVE_MS]
        return Figures(
            policy,
            self._load,
            round(len(calls) / seconds, 1),
            round(sum(call.is_on_time for call in calls) / seconds, 1),
            round(share, 3),
            quantiles(first, n=20)[-1] if len(first) > 1 else 0.0,
            round(min(answered[a] / n for a, n in asked.items() if n >= 20) / share, 2),
            round(
                sum(c.done_ms is not None for c in largest) / len(largest) / share, 2
            ),
            self._busiest,
        )


def _read(rank: Rank) -> int:
    """Read prompts in turn, up to a chunk for each step; return the tokens read."""
    left = CHUNK_TOKENS * STEPS
    for job in rank.active:
        read = min(job.call.unread, left)
        job.call.unread -= read
        left -= read
    return CHUNK_TOKENS * STEPS - left


def _entry(number: int) -> State:
    route = Route(
        "v",
        "h",
        "/v/",
        RequestKind.STREAM,
        DEADLINE_MS,
        OBJECTIVE_MS,
        1,
        (Target("s", 1),),
        attempts=2,
        resumable=True,
        gap_ms=GAP_MS,
    )
    accounts = Map({f"k{one}": Account(f"a{one}") for one in range(ACCOUNTS)})
    services = Map({"s": Service("s")})
    published = Configuration(1, (route,), services, RequestLimits(), accounts)
    upstreams = tuple(
        Upstream(
            name,
            "s",
            "127.0.0.1",
            1,
            "a",
            SLOTS,
            rank=GroupRank(name[:2], 1, index % RANKS, True, RANKS),
        )
        for index, name in enumerate(_upstream_ids())
    )
    state = State(Options(f"e{number}", entries=ENTRIES, budget_slack=126.0))
    state, _ = direct.reduce(state, ConfigurationPublished(0, published))
    return direct.reduce(state, ListingRead(0, upstreams))[0]


def _upstream_ids() -> list[str]:
    return [f"g{group}-{rank:02}" for group in range(GROUPS) for rank in range(RANKS)]


OURS = "twelve drawn"
_turns = count()
POLICIES: dict[str, Callable] = {
    "round robin": lambda rooms, _: rooms[next(_turns) % len(rooms)],
    "least reported": lambda rooms, _: min(rooms, key=lambda room: room.load),
    "two drawn": lambda rooms, request: min(
        Random(request.request_id).sample(rooms, min(2, len(rooms))),
        key=lambda room: room.load,
    ),
    OURS: choice._least_loaded,
}


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
