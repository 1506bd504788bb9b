"""Replay a load on entries that share upstreams and report to each other."""

import random
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from immutables import Map

from nutmegslip_decisions.direct import (
    Account,
    CallerRequest,
    ConfigurationPublished,
    Options,
    PeerReported,
    Refuse,
    RequestArrived,
    RequestEnded,
    RequestKind,
    ResponseStarted,
    Route,
    Send,
    Target,
    Tick,
    demand_report,
    load_report,
)
from nutmegslip_decisions.direct._budget import load_of
from tests.direct_world import HOST, World, configuration, upstream

HOLD_MS = 2_000  # for which a stream holds its slot in the mean; from 0.4 to 1.6 of it
START_MS = 100
STEP_MS = 10


def _route(name: str, priority: int, objective_ms: int) -> Route:
    targets = (Target("model", 1),)
    return Route(
        name,
        HOST,
        f"/{name}/",
        RequestKind.STREAM,
        8_000,
        objective_ms,
        priority,
        targets,
        attempts=2,
    )


ROUTES = (_route("alarms", 0, 500), _route("notes", 1, 500), _route("digests", 2, 1000))


class Fleet:
    """Entries before the upstreams of one service, which requests hold for some time.

    ``served`` and ``refused`` count by route and account.
    """

    def __init__(self, entries: int, slots: int, accounts: int) -> None:
        names = [f"account-{number}" for number in range(accounts)]
        published = configuration(
            2, routes=ROUTES, accounts=Map({name: Account(name) for name in names})
        )
        upstreams = [upstream(f"m{n}", "model", slots=5) for n in range(slots // 5)]
        self.worlds = [
            World(
                *upstreams, options=Options(f"10.0.0.{n}", f"10.0.0.{n}", "a", entries)
            )
            for n in range(entries)
        ]
        for world in self.worlds:
            world.take(ConfigurationPublished(world.now_ms, published))
        self.now_ms = self.worlds[0].now_ms
        self.served: Counter[tuple[str, str]] = Counter()
        self.refused: Counter[tuple[str, str]] = Counter()
        self.in_flight = 0
        self.losing_reports = False
        self._asked: dict[tuple[int, int], tuple[str, str]] = {}
        self._due: list[tuple[int, int, int, bool]] = []
        self._tickets = count(1)
        self._draw = random.Random(0)
        self._warm_up()

    def _warm_up(self) -> None:
        """Measure how long a request holds its slot, as after minutes of load."""
        for world in self.worlds:
            load = load_of(world.state, "model")
            load = load._replace(hold_ms=HOLD_MS, start_ms=START_MS)
            loads = world.state.loads.set("model", load)
            world.state = world.state._replace(loads=loads)

    def run(self, duration_ms: int, arrivals: Callable[[int], list]) -> None:
        """Replay for a time; ``arrivals`` returns (entry, route, account) of a step."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self._end_due()
            for entry, route, account in arrivals(self.now_ms):
                self._arrive(entry, route, account)
            if self.now_ms % 50 == 0:
                for number in range(len(self.worlds)):
                    self._take(number, Tick(self.now_ms))
            if self.now_ms % 100 == 0 and not self.losing_reports:
                self._report()

    def _arrive(self, entry: int, route: str, account: str) -> None:
        ticket = next(self._tickets)
        self._asked[entry, ticket] = (route, account)
        path = f"/{route}/{ticket}"
        request = CallerRequest(ticket, f"r{ticket}", HOST, path, account, None)
        self._take(entry, RequestArrived(self.now_ms, request))

    def _end_due(self) -> None:
        while self._due and self._due[0][0] <= self.now_ms:
            _, entry, ticket, ends = heappop(self._due)
            if ends:
                self.in_flight -= 1
                self._take(entry, RequestEnded(self.now_ms, ticket, answered=True))
            else:
                self._take(entry, ResponseStarted(self.now_ms, ticket))

    def _report(self) -> None:
        reports = [
            PeerReported(
                self.now_ms,
                world.state.options.address,
                Map(load_report(world.state)),
                demand=demand_report(world.state, self.now_ms),
            )
            for world in self.worlds
        ]
        for number in range(len(self.worlds)):
            for sender, report in enumerate(reports):
                if sender != number:
                    self._take(number, report)

    def _take(self, entry: int, event: object) -> None:
        for effect in self.worlds[entry].take(event):
            match effect:
                case Send(request, _):
                    self.in_flight += 1
                    self.served[self._asked[entry, request.ticket]] += 1
                    start = (self.now_ms + START_MS, entry, request.ticket, False)
                    heappush(self._due, start)
                    held_ms = int(HOLD_MS * self._draw.uniform(0.4, 1.6))
                    end = (self.now_ms + held_ms, entry, request.ticket, True)
                    heappush(self._due, end)
                case Refuse(ticket):
                    self.refused[self._asked[entry, ticket]] += 1
