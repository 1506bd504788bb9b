"""Entries before one service whose attempts fail, with a count of all retries."""

from bisect import bisect_left
from random import Random
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Options,
    PeerReported,
    Process,
    RequestEnded,
    ResponseStarted,
    Send,
    Tick,
    limit_report,
    load_report,
    spending_report,
)
from tests.direct_world import World, upstream

STEP_MS = 10
FAIL_MS, BEGIN_MS, ANSWER_MS = 60, 80, 300  # from the sending of a request
DOWN_MS = 500  # of a restarted entry
REPORT_MS, TICK_MS = 100, 50
START_MS = 1_000_000
WARM_MS = 20_000  # for which the entries run before the load begins
WINDOW_MS, RATIO, SLACK = 10_000, 0.2, 40.0


class Load(NamedTuple):
    """Requests for each entry and second; times are from the start of the load.

    Attempts fail with ``fail_share`` from ``fail_from_ms`` to ``fail_to_ms``.
    ``restarts`` are (time, entry); ``cuts`` are (from, to, entry): the entry hears
    no other and is not heard.
    """

    per_s: float = 15.0
    fail_share: float = 0.9
    fail_from_ms: int = 2_000
    fail_to_ms: int = 20_000
    restarts: tuple[tuple[int, int], ...] = ()
    cuts: tuple[tuple[int, int, int], ...] = ()
    length_ms: int = 24_000


class Attempt(NamedTuple):
    """A request at an upstream."""

    entry: int
    request: object
    sent_ms: int
    fails: bool
    upstream_id: str
    begun: bool = False


class Fleet:
    """Entries that share a retry budget; ``run`` plays a load."""

    def __init__(self, seed: int, load: Load, entries: int = 6) -> None:
        self.random = Random(seed)
        self.load = load
        self.now_ms = START_MS
        self.upstreams = [upstream(f"m{n}", "model", slots=30) for n in range(4)]
        self.entries = [self._new_entry(number) for number in range(entries)]
        self.attempts: list[Attempt] = []
        self.down_until_ms = [0] * entries
        self.arrivals_ms: list[int] = []
        self.retries_ms: list[int] = []

    @property
    def begin_ms(self) -> int:
        """Return when the load begins."""
        return START_MS + WARM_MS

    def run(self) -> None:
        """Play the load to its end."""
        while self.now_ms < self.begin_ms + self.load.length_ms:
            self.step()

    def step(self) -> None:
        """Play one step."""
        self.now_ms += STEP_MS
        self._restart_entries()
        for number, world in enumerate(self.entries):
            world.now_ms = self.now_ms
            if self.is_down(number):
                continue
            self._arrivals(number)
            if not self.now_ms % TICK_MS:
                self._take(number, Tick(self.now_ms))
            if not (self.now_ms + STEP_MS * number) % REPORT_MS:
                self._report(number)
        self._end_attempts()

    def is_down(self, number: int) -> bool:
        """Return whether an entry is being restarted."""
        return self.down_until_ms[number] > self.now_ms

    def excess(self) -> float:
        """Return the greatest excess of retries over the budget in any window."""
        return max(
            (
                self._count(self.retries_ms, from_ms)
                - RATIO
                * max(
                    self._count(self.arrivals_ms, from_ms - shift_ms)
                    for shift_ms in (0, WINDOW_MS // 2, WINDOW_MS)
                )
                - SLACK
                for from_ms in self.retries_ms
            ),
            default=0.0,
        )

    def _count(self, times_ms: list[int], from_ms: int) -> int:
        return bisect_left(times_ms, from_ms + WINDOW_MS) - bisect_left(
            times_ms, from_ms
        )

    def _new_entry(self, number: int) -> World:
        options = Options(
            f"e{number}",
            f"10.0.0.{number}",
            entries=3,
            budget_ratio=RATIO,
            budget_window_ms=WINDOW_MS,
            budget_slack=SLACK,
            cold_multiplier=100.0,
        )
        world = World(*self.upstreams, options=options)
        world.now_ms = self.now_ms
        process = Process(
            self.random.getrandbits(32), self.now_ms, is_first=self.now_ms == START_MS
        )
        world.state = world.state._replace(process=process)
        return world

    def _restart_entries(self) -> None:
        for at_ms, number in self.load.restarts:
            if self.begin_ms + at_ms == self.now_ms:
                self.attempts = [a for a in self.attempts if a.entry != number]
                self.entries[number] = self._new_entry(number)
                self.down_until_ms[number] = self.now_ms + DOWN_MS

    def _arrivals(self, number: int) -> None:
        loaded = self.now_ms > self.begin_ms
        if loaded and self.random.random() < self.load.per_s * STEP_MS / 1_000:
            self.arrivals_ms.append(self.now_ms)
            world = self.entries[number]
            name = f"{number}-{self.now_ms}"
            effects = world.arrive("/verses/1", request_id=name, wait_ms=8_000)
            self._perform(number, effects)

    def _take(self, number: int, event: object) -> None:
        self._perform(number, self.entries[number].take(event))

    def _perform(self, number: int, effects: tuple) -> None:
        since_ms = self.now_ms - self.begin_ms
        failing = self.load.fail_from_ms <= since_ms < self.load.fail_to_ms
        for effect in effects:
            if isinstance(effect, Send):
                if effect.request.sends > 1:
                    self.retries_ms.append(self.now_ms)
                fails = failing and self.random.random() < self.load.fail_share
                upstream_id = effect.upstream.id
                self.attempts.append(
                    Attempt(number, effect.request, self.now_ms, fails, upstream_id)
                )

    def _end_attempts(self) -> None:
        attempts, self.attempts = self.attempts, []
        for attempt in attempts:
            ticket = attempt.request.ticket
            age_ms = self.now_ms - attempt.sent_ms
            if attempt.fails and age_ms >= FAIL_MS:
                failed = AttemptFailed(self.now_ms, ticket, Broken("reset"))
                self._take(attempt.entry, failed)
            elif age_ms >= ANSWER_MS:
                self._take(attempt.entry, RequestEnded(self.now_ms, ticket, True))
            elif age_ms >= BEGIN_MS and not attempt.begun:
                self._take(attempt.entry, ResponseStarted(self.now_ms, ticket))
                self.attempts.append(attempt._replace(begun=True))
            else:
                self.attempts.append(attempt)

    def _report(self, number: int) -> None:
        state = self.entries[number].state
        report = PeerReported(
            self.now_ms,
            f"10.0.0.{number}",
            Map(load_report(state)),
            spending=spending_report(state, self.now_ms),
            limits=limit_report(state, self.now_ms),
        )
        for other in range(len(self.entries)):
            heard = not (self._is_cut(number) or self._is_cut(other))
            if other != number and heard and not self.is_down(other):
                self._take(other, report)

    def _is_cut(self, number: int) -> bool:
        since_ms = self.now_ms - self.begin_ms
        return any(
            number == cut and from_ms <= since_ms < to_ms
            for from_ms, to_ms, cut in self.load.cuts
        )
