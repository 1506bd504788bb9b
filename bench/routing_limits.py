"""Measure by how much account limits over many entries are exceeded.

Run ``python -m bench.routing_limits --seed 1 --out out/routing-limits.json``.
"""

import itertools
import json
import pathlib
import random
import sys

import defopt
from immutables import Map

from bench.routing_fakes import LINK_DELAY_MS, TICK_INTERVAL_MS, Clock
from nutmegslip_decisions.limits import (
    Admit,
    HeadroomChanged,
    LimitsChanged,
    LimitsEvent,
    LimitsOptions,
    LimitsState,
    MessageReceived,
    RequestDone,
    RequestOffered,
    Send,
    Tick,
    reduce,
)
from nutmegslip_decisions.model import (
    Account,
    Catalogue,
    Limits,
    RequestClass,
    Workload,
    WorkloadKind,
)

RATE_PER_S, BURST, CONCURRENCY = 20.0, 10, 15
REQUEST_DURATION_MS = 400
DEADLINE_MS = 3_000
RUN_DURATION_S = 30
UNLIMITED_HEADROOM = 10**6  # more than any run uses
LEASED = LimitsOptions()
#: Asks the home entry for a share for each request, without prefetching.
HOME_ONLY = LimitsOptions(share_prefetch_ms=0)
POLICIES = {"fixed split": None, "home entry": HOME_ONLY, "leased": LEASED}


class EntryGroup:
    """Admission of several entries over links with a delay."""

    def __init__(
        self, entries: int, options: LimitsOptions | None, link_delay_ms: float
    ) -> None:
        self.clock, self.link_delay_ms = Clock(), link_delay_ms
        self.messages = 0
        self.admitted_ms: list[float] = []
        self.waits_ms: list[float] = []
        self.offered_ms: dict[str, float] = {}
        self.in_flight = self.max_in_flight = 0
        self.isolated: set[str] = set()
        self.names = tuple(f"e{index}" for index in range(entries))
        self.states = {
            name: LimitsState(name, options or LEASED) for name in self.names
        }
        limits = Limits(RATE_PER_S, BURST, CONCURRENCY)
        if options is None:
            limits = _fixed_split(entries)
        catalogue = Catalogue(
            1,
            Map({"w": _workload()}),
            Map({"acme": Account("acme", (), limits)}),
        )
        for name in self.names:
            peers = self.names if options else (name,)
            self.apply(name, LimitsChanged(0, catalogue, peers))
            self.apply(name, HeadroomChanged(0, "w", UNLIMITED_HEADROOM))
            self._tick(name)

    def apply(self, name: str, event: LimitsEvent) -> None:
        """Apply an event at one entry and run the effects."""
        self.states[name], effects = reduce(self.states[name], event)
        for effect in effects:
            match effect:
                case Admit(request_id):
                    self._admitted(name, request_id)
                case Send(host, message):
                    self.messages += 1
                    if not self.isolated & {name, host}:
                        self.clock.after(
                            self.link_delay_ms,
                            lambda h=host, m=message: self.apply(
                                h, MessageReceived(int(self.clock.now_ms), name, m)
                            ),
                        )

    def offer(self, name: str, request_id: str) -> None:
        """Offer a request of the only account at an entry."""
        now_ms = int(self.clock.now_ms)
        self.offered_ms[request_id] = self.clock.now_ms
        event = RequestOffered(
            now_ms, request_id, "w", RequestClass.STANDARD, "acme", now_ms + DEADLINE_MS
        )
        self.apply(name, event)

    def _admitted(self, name: str, request_id: str) -> None:
        self.admitted_ms.append(self.clock.now_ms)
        self.waits_ms.append(self.clock.now_ms - self.offered_ms[request_id])
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.clock.after(REQUEST_DURATION_MS, lambda: self._done(name, request_id))

    def _done(self, name: str, request_id: str) -> None:
        self.in_flight -= 1
        self.apply(name, RequestDone(int(self.clock.now_ms), request_id))

    def _tick(self, name: str) -> None:
        self.clock.after(TICK_INTERVAL_MS, lambda: self._tick(name))
        self.apply(name, Tick(int(self.clock.now_ms)))


def run(
    policy: str, entries: int, load: float, *, seed: int, isolated: int = 0
) -> dict:
    """Offer ``load`` times the rate limit, spread over entries; return the figures."""
    group = EntryGroup(entries, POLICIES[policy], LINK_DELAY_MS)
    group.isolated = set(group.names[:isolated])
    rng = random.Random(seed)
    at_ms = 0.0
    for count in itertools.count():
        at_ms += rng.expovariate(load * RATE_PER_S / 1_000)
        if at_ms > RUN_DURATION_S * 1_000:
            break
        name = rng.choice(group.names)
        group.clock.after(at_ms, lambda n=name, c=count: group.offer(n, f"r{c}"))
    group.clock.run_until(RUN_DURATION_S * 1_000 + DEADLINE_MS)
    exact = _token_bucket_admissions(sorted(group.offered_ms.values()))
    return {
        "way": policy,
        "entries": entries,
        "cut_off": isolated,
        "offered_of_limit": load,
        "offered": len(group.offered_ms),
        "admitted": len(group.admitted_ms),
        "one_exact_bucket_admits": exact,
        "greatest_excess_requests": round(_max_excess(group.admitted_ms), 1),
        "stated_excess_requests": _allowed_excess(entries, isolated),
        "most_in_hand": group.max_in_flight,
        "longest_wait_ms": round(max(group.waits_ms, default=0), 1),
        "messages_per_offer": round(group.messages / len(group.offered_ms), 2),
    }


def _allowed_excess(entries: int, isolated: int) -> float:
    """Return the documented bound on the excess of one run."""
    leased = RATE_PER_S * LEASED.share_valid_ms / 1_000
    if not isolated:
        return leased
    isolated_excess = (
        max(BURST, entries) + RATE_PER_S * RUN_DURATION_S * isolated / entries
    )
    return round(leased + isolated_excess, 1)


def _max_excess(times: list[float]) -> float:
    """Return the largest excess over burst and rate in any time window."""
    excess = lowest = 0.0
    for index, at_ms in enumerate(times):
        earned = RATE_PER_S * at_ms / 1_000
        lowest = min(lowest, index - earned) if index else index - earned
        excess = max(excess, index + 1 - earned - lowest - BURST)
    return excess


def _token_bucket_admissions(times: list[float]) -> int:
    tokens, last_ms, admitted = float(BURST), 0.0, 0
    for at_ms in times:
        tokens = min(tokens + (at_ms - last_ms) * RATE_PER_S / 1_000, BURST)
        last_ms = at_ms
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted


def _fixed_split(entries: int) -> Limits:
    """Return the limits of an entry that shares nothing with the others."""
    return Limits(
        RATE_PER_S / entries,
        max(BURST // entries, 1),
        max(CONCURRENCY // entries, 1),
    )


def _workload() -> Workload:
    return Workload("w", "bench", WorkloadKind.MODEL, RequestClass.STANDARD)


def main(*, seed: int = 1, out: pathlib.Path) -> None:
    """Compare policies that share limits and write the figures.

    :param seed: seed of arrivals
    :param out: JSON file to write
    """
    rows = [
        run(policy, entries, load, seed=seed, isolated=isolated)
        for policy in POLICIES
        for entries in (3, 55)
        for load in (0.5, 0.9, 3.0)
        for isolated in ((0, entries // 3) if policy == "leased" else (0,))
    ]
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"seed": seed, "rows": rows}, indent=1))
    for row in rows:
        print(json.dumps(row), file=sys.stderr)


if __name__ == "__main__":
    defopt.run(main)
